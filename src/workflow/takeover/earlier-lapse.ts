import type { CellState } from '../cell-state.ts'
import { computeCommandsEnd } from './earlier-commands.ts'
import { mayHoldForeignLease } from './earlier-leases.ts'
import { findUnlistedTargets } from './unlisted-targets.ts'

/** A lease may take so much longer on the clock of this process than on that of a target, or of the owner that handed its end on. */
export const CLOCK_DRIFT_FACTOR = 1.03

/** Targets of earlier owners that are neither listed nor certainly without leases. */
export type UnsettledTargets = { readonly open: readonly string[], readonly closed: readonly string[] }

/**
 * Computes when all leases of earlier owners on a target that this one has not listed have ended at the latest, on the scheduler's
 * clock: after the last command of any of them and the lease, or as an earlier owner has handed it on.
 *
 * @example
 * const isOver = computeEarlierLapse(state, 't1') < state.aloneUntil
 */
export function computeEarlierLapse (state: CellState, id: string): number {
  const { leaseMs, longestLeaseMs } = state.options
  const target = state.targets.get(id)
  const commandsEndAt = computeCommandsEnd(state.earlierCommands)
  const longestEndAt = commandsEndAt + longestLeaseMs * CLOCK_DRIFT_FACTOR
  if (state.unboundTargets.mayEarlierHaveReachedUnheard(id)) return Math.min(longestEndAt, state.silentTargets.findUnheardEnd(id, target?.entry.incarnation) ?? Infinity)
  const lapsesAt = Math.max(commandsEndAt + leaseMs * CLOCK_DRIFT_FACTOR, computeForeignLapse(state, id, longestEndAt))
  return Math.min(lapsesAt, state.silentTargets.findEnd(id, target?.entry.incarnation) ?? Infinity)
}

/** When the leases have ended that were measured on the clock of another incarnation; `longestEndAt` if nobody has handed that on. */
function computeForeignLapse (state: CellState, id: string, longestEndAt: number): number {
  const target = state.targets.get(id)
  if (target === undefined || !mayHoldForeignLease(state, target)) return -Infinity
  return state.silentTargets.findEarlierLeasesEnd(id, target.entry.incarnation) ?? longestEndAt
}

/**
 * Finds the targets of earlier owners that may have runs: they are not listed, and their leases may go on after `time`. An unused
 * target that does not answer has none.
 *
 * @example
 * const { open } = findUnsettledTargets(state, aloneUntil)
 */
export function findUnsettledTargets (state: CellState, time: number): UnsettledTargets {
  const unsettled = findUnlistedTargets(state).filter((id) => {
    const target = state.targets.get(id)
    return !(target?.unused === true && target.listUnanswered) && computeEarlierLapse(state, id) >= time
  })
  return { open: unsettled.filter((id) => !state.closedTargets.has(id)), closed: unsettled.filter((id) => state.closedTargets.has(id)) }
}
