import type { CellState } from '../cell-state.ts'
import { computeForeignLeasesMs } from './earlier-leases.ts'
import type { TargetEntry } from '../target-entry.ts'
import type { TargetState } from '../target-state.ts'

/** A target that has been removed, and when. */
export type DepartedTarget = { readonly target: TargetState, readonly removedAt: number }

/**
 * Returns the earlier incarnation of a target that comes back under its id, if commands to that one may still be executed by the
 * next.
 */
export function takeDeparted (state: CellState, { id, incarnation }: TargetEntry): TargetState | undefined {
  const departed = state.departedTargets.get(id)?.target
  state.departedTargets.delete(id)
  return departed?.entry.incarnation === incarnation ? undefined : departed
}

/** Forgets the targets to which no command can be executed any more. */
export function forgetDepartedTargets (state: CellState): void {
  for (const [id, { removedAt }] of state.departedTargets) {
    if (state.now - removedAt < computeForeignLeasesMs(state)) continue
    state.departedTargets.delete(id)
    state.commandedIncarnations.delete(id)
    state.unboundTargets.forget(id)
  }
}
