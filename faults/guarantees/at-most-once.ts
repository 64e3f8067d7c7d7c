import { parseTaskIndex } from '../../src/model/ids.ts'
import { groupBy } from '../group-by.ts'
import { filterByType, type History, type ObservationOf } from '../history.ts'
import type { Violation } from '../violation.ts'

type Start = ObservationOf<'task-started'>

/**
 * Guarantee 8: each task of a non-idempotent request, batch job or gang starts at most once. The continuation of a task
 * that was stopped with a checkpoint is the same run. Services are kept running and restart by definition.
 */
export function checkAtMostOnce (history: History): readonly Violation[] {
  const nonIdempotentTokens = new Set(filterByType(history, 'caller-sent').filter((sent) => !sent.idempotent && sent.kind !== 'service').map((sent) => sent.token))
  const checkpointed = new Set(filterByType(history, 'task-ended')
    .filter((ended) => ended.outcome.type === 'stopped' && ended.outcome.checkpointed)
    .map((ended) => formatAttemptKey(ended)))
  const starts = filterByType(history, 'task-started').filter((start) => nonIdempotentTokens.has(start.token))
  const byTask = groupBy(starts, (start) => `${start.token}/${parseTaskIndex(start.taskId)}`)
  return [...byTask].flatMap(([task, runs]) => checkRuns(task, runs, checkpointed))
}

function checkRuns (task: string, runs: readonly Start[], checkpointed: ReadonlySet<string>): readonly Violation[] {
  const uninterrupted = runs.filter((start) => !checkpointed.has(formatAttemptKey(start)))
  if (uninterrupted.length < 2) return []
  return [{ guarantee: 8, detail: `non-idempotent task ${task} ran ${uninterrupted.length} times`, evidence: runs }]
}

function formatAttemptKey (run: { readonly target: string, readonly taskId: string, readonly attempt: number }): string {
  return `${run.target} ${run.taskId} ${run.attempt}`
}
