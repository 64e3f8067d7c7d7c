import type { CellState } from '../cell-state.ts'
import type { TargetState } from '../target-state.ts'
import { LATE_COMMAND_MS } from '../commands/unanswered-starts.ts'
import { findUnlistedTargets } from './unlisted-targets.ts'

/** The clocks of targets and owners differ by less, in milliseconds. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000

/**
 * An owner gives leases that were measured on the clock of the incarnation before for at most this time, in milliseconds: it may
 * take some time to notice that the target has restarted, and its last command may be executed late.
 */
const EARLIER_LEASES_GIVEN_MS = LATE_COMMAND_MS + 3_000

/** Incarnations of targets by their ids. */
export type Incarnations = Readonly<Record<string, number>>

/**
 * Computes the longest lease that an earlier owner may have given to a target that has not been listed by this one. It is the
 * lease that owners ask for, unless such a target may hold one that was measured on the clock of its incarnation before.
 *
 * @example
 * const lapsed = earlierLeaders.haveRunsLapsedBy(aloneUntil, computeLongestEarlierLeaseMs(state))
 */
export function computeLongestEarlierLeaseMs (state: CellState): number {
  const { leaseMs, longestLeaseMs } = state.options
  const mayHoldLongest = findUnlistedTargets(state).some((id) => {
    const target = state.targets.get(id)
    if (target?.unused === true) return false
    return state.unboundTargets.mayEarlierHaveReachedUnheard(id) || (target !== undefined && mayHoldForeignLease(state, target))
  })
  return mayHoldLongest ? longestLeaseMs : leaseMs
}

/**
 * Whether the target may hold a lease that was measured on the clock of its incarnation before. Commands that are bound to an
 * incarnation give no such lease.
 */
export function mayHoldForeignLease (state: CellState, target: TargetState): boolean {
  return state.unboundTargets.has(target.id) && hasRestartedLately(state, target)
}

/** Whether an earlier incarnation of the target was commanded so recently that leases measured on its clock would go on. */
export function hasRestartedLately (state: CellState, target: TargetState): boolean {
  const { id, entry } = target
  const commanded = state.commandedIncarnations.get(id)
  if (commanded !== undefined) return commanded !== entry.incarnation
  if (!state.storedTargets.has(id) && !state.closedTargets.has(id)) return false
  // The record is of an older release, which did not store incarnations.
  const ageMs = target.estimateClockMs(state.now) ?? state.now + state.options.wallClockOffsetMs - entry.incarnation
  return ageMs < computeForeignLeasesMs(state) + MAX_CLOCK_DIFFERENCE_MS
}

/**
 * Records the incarnation of a target that no owner has sent commands to yet. Returns whether no owner has started anything on
 * the target, or only on incarnations that have ended.
 */
export function recordNewTarget (state: CellState, { id, incarnation }: TargetState['entry']): boolean {
  const unused = !state.storedTargets.has(id) && !state.closedTargets.has(id)
  if (unused && !state.commandedIncarnations.has(id)) state.commandedIncarnations.set(id, incarnation)
  return unused
}

/**
 * Forgets the incarnations before the present ones once leases that were measured on their clocks end no later than one that is
 * given now. Returns whether one was forgotten.
 */
export function forgetEarlierIncarnations (state: CellState): boolean {
  const { leaseMs, longestLeaseMs } = state.options
  let changed = false
  for (const target of state.targets.values()) {
    const handedOnEnd = state.silentTargets.findEarlierLeasesEnd(target.id, target.entry.incarnation) ?? Infinity
    const coveredUntil = target.listed ? state.now + leaseMs : computeWaitEnd(state)
    if (handedOnEnd > coveredUntil && !target.haveEarlierLeasesExpiredBy(coveredUntil, longestLeaseMs)) continue
    if (state.commandedIncarnations.get(target.id) === target.entry.incarnation) continue
    state.commandedIncarnations.set(target.id, target.entry.incarnation)
    changed = true
  }
  return changed
}

/** How long this owner certainly waits for a target that it has not listed if it knows of no longer leases there. */
function computeWaitEnd ({ now, aloneUntil, earlierCommands, options }: CellState): number {
  const waitedUntil = Math.min(now, aloneUntil)
  return earlierCommands.type === 'known' ? Math.max(waitedUntil, earlierCommands.endAt + options.leaseMs) : waitedUntil
}

/** Records what previous owners have stored. `unbound`: the targets whose commands they did not bind; all, if it is undefined. */
export function restoreIncarnations (state: CellState, incarnations: Incarnations, unbound: readonly string[] | undefined): void {
  state.unboundTargets.restore(unbound, state.now)
  for (const [id, incarnation] of Object.entries(incarnations)) state.commandedIncarnations.set(id, incarnation)
}

/**
 * Formats the incarnations of the given targets for the stored record, and those of known targets that are not on the stored
 * list: they may restart, and late commands may give the next incarnation a lease that outlasts this owner.
 */
export function toIncarnations (state: CellState, ids: readonly string[]): Incarnations {
  return Object.fromEntries([...new Set([...ids, ...state.targets.keys()])].flatMap((id) => {
    const incarnation = state.commandedIncarnations.get(id)
    return incarnation === undefined ? [] : [[id, incarnation]]
  }))
}

/** How long after a restart a target may hold a lease that was measured on the clock before. */
export function computeForeignLeasesMs ({ options }: CellState): number {
  return EARLIER_LEASES_GIVEN_MS + options.longestLeaseMs
}
