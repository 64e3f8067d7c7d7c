/** Keys of incarnations of targets. An entry that is not `true` was stored by an earlier version and shows nothing about the task. */
type StoredIncarnations = Readonly<Record<string, unknown>>

/** Crashes under a task as they are stored. `possible`: the targets that have fallen silent, and may have crashed. */
export type StoredCrashes = { readonly confirmed: StoredIncarnations, readonly possible: StoredIncarnations }

/**
 * The incarnations of targets that have crashed just after the start of one task, since it last worked on a target. A crash
 * that shows in several ways counts once.
 */
export class CrashRecord {
  private readonly confirmed = new Set<string>()
  private readonly possible = new Set<string>()

  private constructor () {}

  /**
   * Creates an empty record.
   *
   * @example
   * const crashes = CrashRecord.create()
   * crashes.addPossible('10.128.0.9:8080#1770390718037')
   * crashes.confirm('10.128.0.9:8080#1770390718037')
   * crashes.count // 1
   */
  static create (): CrashRecord {
    return new CrashRecord()
  }

  /** Number of certain crashes. */
  get count (): number {
    return this.confirmed.size
  }

  /** Number of targets that have certainly crashed, each counted once however often it did. */
  get targetCount (): number {
    return new Set([...this.confirmed].map(getAddress)).size
  }

  /** Whether a target at the address has crashed under the task, or may have. */
  includes (address: string): boolean {
    return this.isSuspect && [...this.confirmed, ...this.possible].some((incarnation) => getAddress(incarnation) === address)
  }

  /** Whether the task may crash the targets on which it starts. */
  get isSuspect (): boolean {
    return !this.isEmpty
  }

  get isEmpty (): boolean {
    return this.confirmed.size === 0 && this.possible.size === 0
  }

  /** Keys of the incarnations that may have crashed under the task. */
  get possibleCrashes (): Iterable<string> {
    return this.possible
  }

  /** Records a target that has fallen silent just after the start of the task. */
  addPossible (incarnation: string): void {
    if (!this.confirmed.has(incarnation)) this.possible.add(incarnation)
  }

  /** Removes a target that has come back as it was. */
  withdraw (incarnation: string): void {
    this.possible.delete(incarnation)
  }

  /** Counts a target that has certainly crashed. */
  confirm (incarnation: string): void {
    if (this.possible.delete(incarnation)) this.confirmed.add(incarnation)
  }

  clear (): void {
    this.confirmed.clear()
    this.possible.clear()
  }

  toStored (): StoredCrashes {
    return { confirmed: toStoredIncarnations(this.confirmed), possible: toStoredIncarnations(this.possible) }
  }

  restore ({ confirmed, possible }: StoredCrashes): void {
    for (const incarnation of readStoredIncarnations(confirmed)) this.confirmed.add(incarnation)
    for (const incarnation of readStoredIncarnations(possible)) this.possible.add(incarnation)
  }
}

/** The address in the key of an incarnation. */
function getAddress (incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf('#'))
}

function toStoredIncarnations (incarnations: ReadonlySet<string>): StoredIncarnations {
  return Object.fromEntries([...incarnations].map((incarnation) => [incarnation, true]))
}

function readStoredIncarnations (stored: StoredIncarnations): readonly string[] {
  return Object.keys(stored).filter((incarnation) => stored[incarnation] === true)
}
