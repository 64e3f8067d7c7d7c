import { count } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { failIfExhausted } from '../jobs.ts'
import type { Task } from '../task.ts'
import { hasUsedAttempts, mayHaveRuns } from './last-attempts.ts'

/** Fails the jobs of the tasks without an attempt left whose last run has ended without one that is done. */
export function settleLastAttempts (state: CellState): void {
  for (const task of state.lastAttempts.tasks) {
    const outcome = findOutcome(state, task)
    if (outcome === undefined) continue
    state.lastAttempts.remove(task)
    count(state, 'last-attempt', outcome)
    if (outcome === 'failed') failIfExhausted(state, task)
  }
}

/** `more-attempts`: the maximum number of failures was raised. Undefined while the last runs are waited for. */
function findOutcome (state: CellState, task: Task): 'done' | 'failed' | 'job-ended' | 'more-attempts' | undefined {
  if (task.phase === 'done') return 'done'
  if (!task.step.job.active) return 'job-ended'
  if (!hasUsedAttempts(state, task)) return 'more-attempts'
  return mayHaveRuns(state, task) ? undefined : 'failed'
}
