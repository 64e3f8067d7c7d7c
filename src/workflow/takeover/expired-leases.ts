import type { CellState } from '../cell-state.ts'
import { computeCommandsEnd } from './earlier-commands.ts'
import { computeLastExpiry } from '../target-state.ts'
import type { TargetState } from '../target-state.ts'

/** A command is written within this time after it was handed on, also by a relay, in milliseconds. */
const MAX_SENDING_MS = 1_000

/**
 * Whether no run can be on an unreachable target any more: its leases had expired when this owner was certainly alone. A
 * successor that reaches the target goes on extending them, and tasks that this owner started again would run twice.
 */
export function haveLeasesExpired (state: CellState, target: TargetState): boolean {
  return !target.reachable && computeLeasesExpiry(state, target) <= Math.min(state.aloneUntil, state.now)
}

/**
 * Computes when all leases on a target that this owner commands have certainly expired, on the scheduler's clock.
 *
 * @example
 * const remainingMs = computeLeasesExpiry(state, target) - state.now
 */
export function computeLeasesExpiry (state: CellState, target: TargetState): number {
  const { leaseMs, longestLeaseMs } = state.options
  const earlierCommandsEndAt = computeCommandsEnd(state.earlierCommands)
  const ownUnheardExpiry = state.unboundTargets.mayReachNext(target.id) ? computeLastExpiry(target.leaseRequestedAt + MAX_SENDING_MS, longestLeaseMs) : -Infinity
  const earlierUnheardExpiry = state.unboundTargets.mayEarlierHaveReachedUnheard(target.id) ? computeLastExpiry(earlierCommandsEndAt + MAX_SENDING_MS, longestLeaseMs) : -Infinity
  // An incarnation that has not answered this owner knows no fencing number of it, so that an earlier owner may still command it.
  const earlierExpiry = target.hasAnswered ? -Infinity : computeLastExpiry(earlierCommandsEndAt, leaseMs)
  return Math.max(target.getExpiryTime(), ownUnheardExpiry, earlierUnheardExpiry, earlierExpiry)
}
