import { log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { computeEarlierLapse } from './earlier-lapse.ts'
import { mayHoldForeignLease } from './earlier-leases.ts'
import { computeLeasesExpiry } from './expired-leases.ts'
import type { TargetState } from '../target-state.ts'
import { formatTargets } from '../waits/task-wait-fields.ts'

/** A target counts as silent so long after it was last heard, in milliseconds. */
const SILENT_AFTER_MS = 1_000
/** A target that this owner has never heard from counts as silent so long after it was first asked, in milliseconds. */
const NEVER_HEARD_AFTER_MS = 500
/** Nothing is decided when this owner was last certainly alone longer ago: a target that comes back would wait for the store. */
const MAX_ALONE_AGE_MS = 1_000
const CHECK_INTERVAL_MS = 100
/** Age at which the record is stored again while a wait in it goes on, or a change of it is not stored, in milliseconds. */
const MAX_RECORD_AGE_MS = 1_000
/** The record is stored again at once if a wait ends so much earlier than it says, in milliseconds. */
const IMPROVEMENT_MS = 500
/** Bounds the size of the record; other targets are waited for by each owner. */
const MAX_TARGETS = 2_000

/**
 * The incarnation of a target that answers nothing, and when all leases there have ended at the latest, on the scheduler's clock.
 * `isCommanded`: it does answer, and only the leases that were measured on the clocks of its earlier incarnations end then.
 * `countsUnheard`: the leases on incarnations that nobody has heard of have ended then too; missing in records of older releases.
 */
export type SilentTarget = { readonly incarnation: number, readonly leasesEndAt: number, readonly isCommanded?: true, readonly countsUnheard?: true }

/** Silent targets, and restarted ones that are commanded, by their ids. */
export type SilentTargetsById = Readonly<Record<string, SilentTarget>>

/** `recorded`: whether it belongs into the record; false while it is being taken out. */
type Promised = { readonly target: SilentTarget, readonly recorded: boolean }

/**
 * The targets that do not answer, as stored for the next owner. The stored record is a promise: from the decision to store a target
 * until a record without it is stored, it gets no lease and no start, so that its leases end when the record says. The next owner
 * inherits the promise with the record.
 */
export class SilentTargets {
  private readonly promised = new Map<string, Promised>()
  /** Targets that have restarted and have answered an owner since. */
  private readonly restarted = new Map<string, SilentTarget>()
  private checkAt = -Infinity
  private changed = false
  private restartedChanged = false
  private writtenAt = -Infinity
  /** Targets in the last record that was to be stored; it may be stored after an earlier one is. */
  private requested: ReadonlySet<string> = new Set()

  private constructor () {}

  /**
   * Creates an object without silent targets.
   *
   * @example
   * const silentTargets = SilentTargets.create()
   * silentTargets.update(state)
   */
  static create (): SilentTargets {
    return new SilentTargets()
  }

  /** Takes over the promise of the owner before, which the record of this one repeats. */
  restore (state: CellState, targets: SilentTargetsById): void {
    this.writtenAt = state.now
    for (const [id, target] of Object.entries(targets)) {
      if (target.isCommanded === true) this.restarted.set(id, target)
      else this.promised.set(id, { target, recorded: true })
    }
    if (this.promised.size === 0) return
    log(state, 'info', 'silent-targets-taken-over', { ...formatTargets([...this.promised.keys()]), longestMs: this.computeLongestMs(state.now) })
  }

  /** Whether the target must get no lease and no start. */
  isPromised (id: string): boolean {
    return this.promised.has(id)
  }

  /** When the leases on an incarnation of the target end, if that is known from a record. */
  findEnd (id: string, incarnation: number | undefined): number | undefined {
    const target = this.promised.get(id)?.target
    return target !== undefined && (incarnation === undefined || target.incarnation === incarnation) ? target.leasesEndAt : undefined
  }

  /** The same for the leases on all incarnations, those included that nobody has heard of. */
  findUnheardEnd (id: string, incarnation: number | undefined): number | undefined {
    return this.promised.get(id)?.target.countsUnheard === true ? this.findEnd(id, incarnation) : undefined
  }

  /** When the leases have ended that were measured on the clocks of incarnations before this one of the target, if that is known. */
  findEarlierLeasesEnd (id: string, incarnation: number): number | undefined {
    const target = this.restarted.get(id)
    return target?.incarnation === incarnation ? target.leasesEndAt : undefined
  }

  /** The last incarnation of the target that an earlier owner has handed on; its entry may still be that of one before. */
  findIncarnation (id: string): number | undefined {
    const handedOn = [this.promised.get(id)?.target, this.restarted.get(id)].filter((target) => target !== undefined)
    return handedOn.length === 0 ? undefined : Math.max(...handedOn.map(({ incarnation }) => incarnation))
  }

  /** Looks for targets that have fallen silent or answer again, and stores the record if it has to change. */
  update (state: CellState): void {
    if (state.earlierCommands.type !== 'known' || state.now < this.checkAt) return
    this.checkAt = state.now + CHECK_INTERVAL_MS
    for (const id of new Set([...state.storedTargets, ...state.closedTargets.keys(), ...this.promised.keys()])) this.updateTarget(state, id)
    this.updateRestarted(state)
    this.storeIfDue(state)
  }

  /** Takes a target that answers out of the record; it gets leases and starts again once that is stored. */
  handleAnswer ({ id }: TargetState): void {
    if (this.promised.get(id)?.recorded !== true) return
    this.takeOut(id)
    this.checkAt = -Infinity
  }

  /** Ends the promise for the targets that neither a stored record nor one that may be stored next has any more. Returns their ids. */
  recordStored (ids: ReadonlySet<string>): readonly string[] {
    const released = [...this.promised].filter(([id, { recorded }]) => !recorded && !ids.has(id) && !this.requested.has(id)).map(([id]) => id)
    for (const id of released) this.promised.delete(id)
    return released
  }

  private updateTarget (state: CellState, id: string): void {
    const target = state.targets.get(id)
    const promised = this.promised.get(id)
    if (isSilent(state, id, target)) return this.putIn(state, id, target)
    const isWanted = target !== undefined ? !isAnswering(target) : isStored(state, id)
    if (promised?.recorded === true && !isWanted) this.takeOut(id)
  }

  private putIn (state: CellState, id: string, target: TargetState | undefined): void {
    const promised = this.promised.get(id)
    const incarnation = target?.entry.incarnation ?? promised?.target.incarnation ?? state.commandedIncarnations.get(id)
    const leasesEndAt = computeLeasesEnd(state, id, target)
    if (incarnation === undefined || leasesEndAt === Infinity) return
    const counts = state.options.areCommandsBound === true ? { countsUnheard: true } as const : {}
    if (promised?.target.incarnation === incarnation) {
      const known = isOutdated(state, id, promised.target) ? Infinity : promised.target.leasesEndAt
      this.changed ||= !promised.recorded || known === Infinity || known - leasesEndAt > IMPROVEMENT_MS
      this.promised.set(id, { target: { incarnation, leasesEndAt: Math.min(known, leasesEndAt), ...counts }, recorded: true })
    } else if (promised !== undefined || (this.promised.size < MAX_TARGETS && state.aloneUntil >= state.now - MAX_ALONE_AGE_MS)) {
      this.changed = true
      this.promised.set(id, { target: { incarnation, leasesEndAt, ...counts }, recorded: true })
    }
  }

  /** What one owner learns of the leases before a restart holds for all that follow, also if each of them leads for a short time. */
  private updateRestarted (state: CellState): void {
    for (const id of this.restarted.keys()) {
      if (state.targets.get(id) === undefined || !mayHoldForeignLease(state, state.targets.get(id)!)) this.restarted.delete(id)
    }
    for (const target of state.targets.values()) {
      const { id, entry: { incarnation } } = target
      const leasesEndAt = target.getLastEarlierExpiry(state.options.longestLeaseMs)
      if (leasesEndAt === undefined || !isStored(state, id) || !mayHoldForeignLease(state, target) || this.restarted.size >= MAX_TARGETS) continue
      if (leasesEndAt >= (this.findEarlierLeasesEnd(id, incarnation) ?? Infinity)) continue
      this.restarted.set(id, { incarnation, leasesEndAt, isCommanded: true })
      this.restartedChanged = true
    }
  }

  private takeOut (id: string): void {
    const { target } = this.promised.get(id)!
    this.promised.set(id, { target, recorded: false })
    this.changed = true
  }

  private storeIfDue (state: CellState): void {
    const isOld = state.now - this.writtenAt >= MAX_RECORD_AGE_MS
    const isWaiting = ({ leasesEndAt }: SilentTarget): boolean => leasesEndAt > this.writtenAt
    const mustRepeat = isOld && ([...this.promised.values()].some(({ target, recorded }) => !recorded || isWaiting(target)) || [...this.restarted.values()].some(isWaiting))
    if (!this.changed && !this.restartedChanged && !mustRepeat) return
    const recorded = [...this.promised].filter(([, promised]) => promised.recorded)
    state.effects.push({ type: 'store-silent-targets', targets: { ...Object.fromEntries(this.restarted), ...Object.fromEntries(recorded.map(([id, { target }]) => [id, target])) } })
    if (this.changed) log(state, 'info', 'silent-targets', { ...formatTargets(recorded.map(([id]) => id)), takenOut: this.promised.size - recorded.length, longestMs: this.computeLongestMs(state.now) })
    this.requested = new Set(recorded.map(([id]) => id))
    this.changed = false
    this.restartedChanged = false
    this.writtenAt = state.now
  }

  private computeLongestMs (now: number): number {
    return Math.ceil(Math.max(0, ...[...this.promised.values()].map(({ target }) => target.leasesEndAt - now)))
  }
}

/** Whether a target that may hold runs has answered nothing for some time, or is not published, so that nobody can ask it. */
function isSilent (state: CellState, id: string, target: TargetState | undefined): boolean {
  if (!isStored(state, id)) return false
  if (target === undefined) return true
  if (target.listed) return !target.reachable && (target.processEnded || state.now - target.lastHeardAt >= SILENT_AFTER_MS)
  return target.listUnanswered && state.now - target.firstSeenAt >= NEVER_HEARD_AFTER_MS
}

/** Whether the owner that has handed the end of the leases on did not count incarnations that nobody has heard of, and there may be some. */
function isOutdated ({ unboundTargets }: CellState, id: string, { countsUnheard }: SilentTarget): boolean {
  return countsUnheard !== true && unboundTargets.mayEarlierHaveReachedUnheard(id)
}

function isStored ({ storedTargets, closedTargets }: CellState, id: string): boolean {
  return storedTargets.has(id) || closedTargets.has(id)
}

/** Computes when all leases on a silent target have ended, whichever owner gave them. */
function computeLeasesEnd (state: CellState, id: string, target: TargetState | undefined): number {
  if (target?.listed === true) return computeLeasesExpiry(state, target)
  if (target?.unused === true) return target.firstSeenAt
  const earlierLapse = computeEarlierLapse(state, id)
  // Late commands of this owner to the incarnation before may reach a target that has restarted.
  return target !== undefined && target.restarts > 0 ? Math.max(earlierLapse, computeLeasesExpiry(state, target)) : earlierLapse
}

function isAnswering ({ listed, reachable }: TargetState): boolean {
  return listed && reachable
}
