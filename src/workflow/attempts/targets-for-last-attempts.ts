import type { CellState } from '../cell-state.ts'
import type { StepRun } from '../task.ts'
import { MAX_LAST_RUNS, isLastAttempt } from './last-attempts.ts'

/** The advisor allows about half of the targets. */
const REQUEST_FACTOR = 2

/** Number of targets that a further request of the step names at least: its tasks need several if one of them has its last attempt. */
export function countTargetsForLastAttempts (state: CellState, { spec, tasks }: StepRun): number {
  if (!spec.speculative || !state.options.features.parallelLastAttempts) return 1
  const hasLast = [...tasks.known()].some((task) => task.phase === 'waiting' && isLastAttempt(state, task))
  return hasLast ? REQUEST_FACTOR * MAX_LAST_RUNS : 1
}
