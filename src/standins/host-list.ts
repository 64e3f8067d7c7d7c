import type { TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import type { HostListing } from '../ports/host-list.ts'

/** Options of `InMemoryHostList`. */
export type InMemoryHostListOptions = {
  /** Targets that are listed from the start. */
  readonly targets?: readonly Target[]
  /** Age of the list that `read` returns, in milliseconds. Default 2,000. */
  readonly lagMs?: number
}

type Change = { readonly at: number, readonly id: TargetId, readonly target: Target | undefined }

const DEFAULT_LAG_MS = 2_000

/**
 * The platform's host list as a pure in-memory state machine. A change becomes visible `lagMs` after it was made.
 *
 * @example
 * const list = InMemoryHostList.create({ targets, lagMs: 500 })
 * list.put(1_000, { ...target, state: 'leaving' })
 * list.read(1_500) // the target is leaving
 */
export class InMemoryHostList {
  private readonly visible = new Map<TargetId, Target>()
  private readonly actual = new Map<TargetId, Target>()
  private pending: Change[] = []
  private visibleChanges = 0

  private constructor (targets: readonly Target[], private lagMs: number) {
    for (const target of targets) {
      this.visible.set(target.id, target)
      this.actual.set(target.id, target)
    }
  }

  static create (options: InMemoryHostListOptions = {}): InMemoryHostList {
    return new InMemoryHostList(options.targets ?? [], options.lagMs ?? DEFAULT_LAG_MS)
  }

  /** Adds or replaces a target. */
  put (now: number, target: Target): void {
    this.actual.set(target.id, target)
    this.pending.push({ at: now, id: target.id, target })
  }

  /** Sets the state of a listed target; an unknown id is ignored. */
  setState (now: number, id: TargetId, state: Target['state']): void {
    const target = this.actual.get(id)
    if (target !== undefined) this.put(now, { ...target, state })
  }

  remove (now: number, id: TargetId): void {
    this.actual.delete(id)
    this.pending.push({ at: now, id, target: undefined })
  }

  setLag (lagMs: number): void {
    this.lagMs = lagMs
  }

  /** Number of visible changes. A reader that has this version needs no new list. */
  get version (): number {
    return this.visibleChanges
  }

  /** The list as it was `lagMs` ago. */
  read (now: number): HostListing {
    const due = this.pending.filter((change) => change.at + this.lagMs <= now)
    this.pending = this.pending.filter((change) => change.at + this.lagMs > now)
    for (const change of due) this.apply(change)
    return { targets: [...this.visible.values()], ageMs: this.lagMs }
  }

  private apply (change: Change): void {
    this.visibleChanges += 1
    if (change.target === undefined) this.visible.delete(change.id)
    else this.visible.set(change.id, change.target)
  }
}
