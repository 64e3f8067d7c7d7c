import type { CellState } from '../cell-state.ts'

/** Finds the targets that may have runs of previous owners because this one has not listed them. */
export function findUnlistedTargets (state: CellState): readonly string[] {
  const known = new Set([...state.storedTargets, ...state.closedTargets.keys(), ...state.targets.keys()])
  return [...known].filter((id) => state.targets.get(id)?.listed !== true)
}
