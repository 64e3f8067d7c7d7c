import type { TargetId } from '../model/ids.ts'
import { taskCount, type EndedTask, type TaskAttempt, type TaskOutcome } from '../model/work.ts'
import type { TaskCompletion } from '../scheduling/event.ts'
import { answerAll, refuseAll } from './responses.ts'
import type { GroupState } from './state.ts'
import { rememberEnded } from './retention.ts'
import { finalCount, isFinal, type TaskEntry, type WorkEntry } from './work-entry.ts'

/** Final result of a task for its job's progress. */
export type FinalResult = 'succeeded' | 'failed' | 'unknown'

/**
 * Records a task's final result in its job's progress.
 *
 * @example
 * recordFinal(entry, 0, 'succeeded')
 */
export function recordFinal (entry: WorkEntry, index: number, result: FinalResult): void {
  entry[result].add(index)
  entry.dirty = true
}

/**
 * Whether a task that left its target must run again. A non-idempotent task that may have run never does, except from
 * a checkpoint.
 *
 * @example
 * mustRunAgain(entry, 'lost', undefined)
 */
export function mustRunAgain (entry: WorkEntry, end: TaskCompletion, outcome: TaskOutcome | undefined): boolean {
  if (entry.cancelled || entry.ended) return false
  switch (end) {
    case 'not-started': return true
    case 'succeeded': return entry.work.kind === 'service'
    case 'stopped': return entry.work.idempotent || (outcome?.type === 'stopped' && outcome.checkpointed)
    case 'failed': return entry.work.kind === 'service' || (entry.work.kind !== 'request' && entry.work.idempotent)
    case 'lost': return entry.work.idempotent || entry.work.kind === 'service'
  }
}

/**
 * Ends a request or job: its remaining tasks leave the table, the record is written with the next progress.
 *
 * @example
 * finishWork(state, now, entry)
 */
export function finishWork (state: GroupState, now: number, entry: WorkEntry): void {
  if (entry.ended) return
  entry.ended = true
  entry.endedAt = now
  entry.dirty = entry.work.kind !== 'request'
  for (const taskId of entry.active) {
    const task = state.tasks.get(taskId)
    if (task !== undefined && task.phase !== 'waiting') continue
    state.tasks.delete(taskId)
    entry.active.delete(taskId)
  }
  rememberEnded(state, entry)
}

/**
 * Ends a job once every task has a final result, or once a cancelled one has nothing running.
 *
 * @example
 * finishJobIfComplete(state, now, entry)
 */
export function finishJobIfComplete (state: GroupState, now: number, entry: WorkEntry): void {
  const complete = finalCount(entry) === taskCount(entry.work)
  if (complete || (entry.cancelled && !hasPlacedTask(state, entry))) finishWork(state, now, entry)
}

/** What the group does with the result that the target keeps. */
export type ResultKeeping = 'acknowledge-now' | 'acknowledge-when-stored' | 'keep'

/**
 * Records the final end of a task and answers the caller of a request.
 *
 * @example
 * settleTask(state, now, task, 'succeeded', { type: 'succeeded', output: 1 })
 */
export function settleTask (state: GroupState, now: number, task: TaskEntry, end: TaskCompletion, outcome: TaskOutcome | undefined): ResultKeeping {
  const { entry } = task
  if (entry.work.kind === 'request') {
    settleRequest(state, now, entry, outcome)
    // Until its caller has the answer, the target's result is what keeps a later owner from running the request again.
    return entry.work.idempotent ? 'acknowledge-now' : 'keep'
  }
  if (!isFinal(entry, task.index) && !(entry.cancelled && end === 'stopped')) {
    recordFinal(entry, task.index, finalResult(end))
  }
  finishJobIfComplete(state, now, entry)
  return 'acknowledge-when-stored'
}

/**
 * Answers a request whose task has ended and will not run again.
 *
 * @example
 * settleRequest(state, now, entry, undefined)
 */
export function settleRequest (state: GroupState, now: number, entry: WorkEntry, outcome: TaskOutcome | undefined): void {
  if (entry.ended) return
  if (outcome?.type === 'succeeded') answerAll(state, entry, { type: 'succeeded', output: outcome.output })
  else if (outcome?.type === 'failed') answerAll(state, entry, { type: 'failed', reason: outcome.reason, verdict: 'ran' })
  else if (entry.cancelled) refuseAll(state, entry, { reason: 'cancelled' })
  else refuseAll(state, entry, { reason: 'target-lost' })
  finishWork(state, now, entry)
}

/**
 * How the scheduler sees an outcome.
 *
 * @example
 * endOfOutcome({ type: 'succeeded', output: 1 }) // 'succeeded'
 */
export function endOfOutcome (outcome: TaskOutcome): TaskCompletion {
  return outcome.type
}

/**
 * Remembers that the target may drop a result once the job's progress is stored.
 *
 * @example
 * keepUntilStored(entry, 'target-7', { taskId: 'g3-01h8/0', attempt: 20001 })
 */
export function keepUntilStored (entry: WorkEntry, targetId: TargetId, { taskId, attempt }: TaskAttempt): void {
  entry.kept.push({ targetId, taskId, attempt })
  entry.dirty = true
}

/**
 * Whether a reported end belongs to the present attempt of a known task.
 *
 * @example
 * isCurrent(task, ended, 'target-7')
 */
export function isCurrent (task: TaskEntry | undefined, ended: EndedTask, targetId: TargetId): task is TaskEntry {
  return task !== undefined && task.phase !== 'waiting' && task.attempt === ended.attempt && task.targetId === targetId
}

function finalResult (end: TaskCompletion): FinalResult {
  if (end === 'succeeded' || end === 'failed') return end
  return 'unknown'
}

function hasPlacedTask (state: GroupState, entry: WorkEntry): boolean {
  for (const taskId of entry.active) {
    if (state.tasks.get(taskId)?.phase !== 'waiting') return true
  }
  return false
}
