import type { CellState } from './cell-state.ts'
import type { TargetState } from './target-state.ts'

/**
 * Whether no run can be on an unreachable target any more: its leases had expired when this owner was certainly alone. A
 * successor that reaches the target goes on extending them, and tasks that this owner started again would run twice.
 */
export function haveLeasesExpired ({ aloneUntil, now }: CellState, target: TargetState): boolean {
  return !target.reachable && target.getExpiryTime() <= Math.min(aloneUntil, now)
}
