import type { CellState } from './cell-state.ts'
import { EARLIER_LEASES_GIVEN_MS } from './target-state.ts'
import type { TargetState } from './target-state.ts'

/** The clocks of targets and owners differ by less, in milliseconds. */
const MAX_CLOCK_DIFFERENCE_MS = 1_000

/**
 * Computes the longest lease that an earlier owner may have given to a target that has not been listed by this one. It is the
 * lease that owners ask for, unless such a target has restarted so recently that it may hold one that was measured on the
 * clock of its incarnation before.
 *
 * @example
 * const lapsed = earlierLeaders.haveRunsLapsed(computeLongestEarlierLeaseMs(state))
 */
export function computeLongestEarlierLeaseMs (state: CellState): number {
  const { leaseMs, longestLeaseMs } = state.options
  return [...state.targets.values()].some((target) => !target.listed && mayHaveRestarted(state, target)) ? longestLeaseMs : leaseMs
}

/** Whether the target is young, and an earlier owner may have started tasks there. */
function mayHaveRestarted (state: CellState, { id, entry }: TargetState): boolean {
  if (!state.storedTargets.has(id) && !state.closedTargets.has(id)) return false
  const ageMs = state.now + state.options.wallClockOffsetMs - entry.incarnation
  return ageMs < EARLIER_LEASES_GIVEN_MS + state.options.longestLeaseMs + MAX_CLOCK_DIFFERENCE_MS
}
