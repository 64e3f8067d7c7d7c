/** Number of crashes for which a task was suspected after which it is given up. */
const MAX_SUSPECTED_CRASHES = 3
/** Number of crashes under a task, whatever else had started on the targets, after which it is given up. */
const MAX_CRASHES = 4

/** By the key of an incarnation of a target, whether the task is suspected to have crashed it. */
type Suspicions = Readonly<Record<string, boolean>>

/** Crashes under a task as they are stored. `possible`: the targets that have fallen silent, and may have crashed. */
export type StoredCrashes = { readonly confirmed: Suspicions, readonly possible: Suspicions }

/** The incarnations of targets that have crashed under one task. A crash that shows in several ways counts once. */
export class CrashRecord {
  private readonly confirmed = new Map<string, boolean>()
  private readonly possible = new Map<string, boolean>()

  private constructor () {}

  /**
   * Creates an empty record.
   *
   * @example
   * const crashes = CrashRecord.create()
   * crashes.addPossible('10.128.0.9:8080#1770390718037', true)
   * crashes.confirm('10.128.0.9:8080#1770390718037')
   * crashes.isSuspect // true
   */
  static create (): CrashRecord {
    return new CrashRecord()
  }

  get count (): number {
    return this.confirmed.size
  }

  /** Whether the task may crash the targets on which it starts. */
  get isSuspect (): boolean {
    return this.suspectedCount > 0
  }

  /** Whether so many targets have crashed under the task that it must not start again. */
  get isExhausted (): boolean {
    return this.suspectedCount >= MAX_SUSPECTED_CRASHES || this.count >= MAX_CRASHES
  }

  get isEmpty (): boolean {
    return this.confirmed.size === 0 && this.possible.size === 0
  }

  /** Keys of the incarnations that may have crashed under the task. */
  get possibleCrashes (): Iterable<string> {
    return this.possible.keys()
  }

  isConfirmed (incarnation: string): boolean {
    return this.confirmed.has(incarnation)
  }

  /** Records a target that has fallen silent under the task. `suspected`: the task had just started there. */
  addPossible (incarnation: string, suspected: boolean): void {
    if (!this.isConfirmed(incarnation)) this.possible.set(incarnation, suspected)
  }

  /** Removes a target that has come back as it was. */
  withdraw (incarnation: string): void {
    this.possible.delete(incarnation)
  }

  /** Counts a target that has certainly crashed. */
  confirm (incarnation: string): void {
    const suspected = this.possible.get(incarnation)
    if (suspected === undefined) return
    this.possible.delete(incarnation)
    this.confirmed.set(incarnation, suspected)
  }

  clear (): void {
    this.confirmed.clear()
    this.possible.clear()
  }

  toStored (): StoredCrashes {
    return { confirmed: Object.fromEntries(this.confirmed), possible: Object.fromEntries(this.possible) }
  }

  restore ({ confirmed, possible }: StoredCrashes): void {
    for (const [incarnation, suspected] of Object.entries(confirmed)) this.confirmed.set(incarnation, suspected)
    for (const [incarnation, suspected] of Object.entries(possible)) this.possible.set(incarnation, suspected)
  }

  private get suspectedCount (): number {
    return [...this.confirmed.values()].filter((suspected) => suspected).length
  }
}
