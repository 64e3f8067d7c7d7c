import type { TargetId } from '../model/ids.ts'
import { taskCount, type EndedTask, type TaskAttempt, type TaskOutcome } from '../model/work.ts'
import type { TaskCompletion } from '../scheduling/event.ts'
import { respondToAll, refuseWork } from './responses.ts'
import type { GroupState } from './state.ts'
import { scheduleRemoval } from './retention.ts'
import { countFinalResults, hasFinalResult, type TaskEntry, type WorkEntry } from './work-entry.ts'

/** Final result of a task as recorded in the progress of its job. */
export type FinalResult = 'succeeded' | 'failed' | 'unknown'

/**
 * Records the final result of a task in the progress of its job.
 *
 * @example
 * recordFinalResult(entry, 0, 'succeeded')
 */
export function recordFinalResult (entry: WorkEntry, index: number, result: FinalResult): void {
  entry[result].add(index)
  entry.dirty = true
}

/**
 * Returns whether a task that no longer runs on its target must run again. A non-idempotent task that may have run does
 * not, except from a checkpoint or as part of a service.
 *
 * @example
 * mustRunAgain(entry, 'lost', undefined)
 */
export function mustRunAgain (entry: WorkEntry, completion: TaskCompletion, outcome: TaskOutcome | undefined): boolean {
  if (entry.cancelled || entry.ended) return false
  switch (completion) {
    case 'not-started': return true
    case 'succeeded': return entry.work.kind === 'service'
    case 'stopped': return entry.work.idempotent || (outcome?.type === 'stopped' && outcome.checkpointed)
    case 'failed': return entry.work.kind === 'service' || (entry.work.kind !== 'request' && entry.work.idempotent)
    case 'lost':
    case 'crashed': return entry.work.idempotent || entry.work.kind === 'service'
  }
}

/**
 * Ends a request or job: removes its waiting tasks; the record of a job is written with the next progress.
 *
 * @example
 * finishWork(state, now, entry)
 */
export function finishWork (state: GroupState, now: number, entry: WorkEntry): void {
  if (entry.ended) return
  entry.ended = true
  entry.endedAt = now
  entry.dirty = entry.work.kind !== 'request'
  for (const taskId of entry.activeTasks) {
    const task = state.tasks.get(taskId)
    if (task !== undefined && task.phase !== 'waiting') continue
    state.tasks.delete(taskId)
    entry.activeTasks.delete(taskId)
  }
  scheduleRemoval(state, entry)
}

/**
 * Ends a job when all its tasks have a final result, or when it is cancelled and none of its tasks is assigned
 * to a target.
 *
 * @example
 * finishJobIfComplete(state, now, entry)
 */
export function finishJobIfComplete (state: GroupState, now: number, entry: WorkEntry): void {
  const complete = countFinalResults(entry) === taskCount(entry.work)
  if (complete || (entry.cancelled && !hasPlacedTask(state, entry))) finishWork(state, now, entry)
}

/** When the group allows the target to drop a result that it keeps. */
export type ResultRetention = 'acknowledge-now' | 'acknowledge-when-stored' | 'keep'

/**
 * Records the completion of a task that does not run again; for a request, also responds to its callers.
 *
 * @example
 * completeTask(state, now, task, 'succeeded', { type: 'succeeded', output: 1 })
 */
export function completeTask (state: GroupState, now: number, task: TaskEntry, completion: TaskCompletion, outcome: TaskOutcome | undefined): ResultRetention {
  const { entry } = task
  if (entry.work.kind === 'request') {
    completeRequest(state, now, entry, outcome)
    // Until the caller has received the response, only the result on the target prevents a later owner from running the
    // request again.
    return entry.work.idempotent ? 'acknowledge-now' : 'keep'
  }
  if (!hasFinalResult(entry, task.index) && !(entry.cancelled && completion === 'stopped')) {
    recordFinalResult(entry, task.index, toFinalResult(completion))
  }
  finishJobIfComplete(state, now, entry)
  return 'acknowledge-when-stored'
}

/**
 * Responds to the callers of a request whose task has ended and does not run again.
 *
 * @example
 * completeRequest(state, now, entry, undefined)
 */
export function completeRequest (state: GroupState, now: number, entry: WorkEntry, outcome: TaskOutcome | undefined): void {
  if (entry.ended) return
  if (outcome?.type === 'succeeded') respondToAll(state, entry, { type: 'succeeded', output: outcome.output })
  else if (outcome?.type === 'failed') respondToAll(state, entry, { type: 'failed', reason: outcome.reason, verdict: 'ran' })
  else if (entry.cancelled) refuseWork(state, entry, { reason: 'cancelled' })
  else refuseWork(state, entry, { reason: 'target-lost' })
  finishWork(state, now, entry)
}

/**
 * Converts the outcome that a target reports to the completion that the scheduler expects.
 *
 * @example
 * toTaskCompletion({ type: 'succeeded', output: 1 }) // 'succeeded'
 */
export function toTaskCompletion (outcome: TaskOutcome): TaskCompletion {
  return outcome.type
}

/**
 * Records that the target keeps a result: for a job until its progress is stored, for a request until its entry is
 * removed or the response was received.
 *
 * @example
 * addKeptResult(entry, 'target-7', { taskId: 'g3-01h8/0', attempt: 20001 })
 */
export function addKeptResult (entry: WorkEntry, targetId: TargetId, { taskId, attempt }: TaskAttempt): void {
  entry.keptResults.push({ targetId, taskId, attempt })
  entry.dirty = true
}

/**
 * Returns whether a reported completion belongs to the current attempt of a known task.
 *
 * @example
 * isCurrentAttempt(task, ended, 'target-7')
 */
export function isCurrentAttempt (task: TaskEntry | undefined, ended: EndedTask, targetId: TargetId): task is TaskEntry {
  return task !== undefined && task.phase !== 'waiting' && task.attempt === ended.attempt && task.targetId === targetId
}

function toFinalResult (completion: TaskCompletion): FinalResult {
  if (completion === 'succeeded' || completion === 'failed') return completion
  return 'unknown'
}

function hasPlacedTask (state: GroupState, entry: WorkEntry): boolean {
  for (const taskId of entry.activeTasks) {
    if (state.tasks.get(taskId)?.phase !== 'waiting') return true
  }
  return false
}
