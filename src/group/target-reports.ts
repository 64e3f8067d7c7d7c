import { parseTaskIndex, parseWorkId, type TargetId } from '../model/ids.ts'
import type { EndedTask, RunningTask, TaskOutcome } from '../model/work.ts'
import type { TaskCompletion } from '../scheduling/event.ts'
import type { TargetResponse } from '../ports/target-client.ts'
import { sendCall } from './dispatch.ts'
import { toTaskCompletion, isCurrentAttempt, addKeptResult, mustRunAgain, completeTask } from './completions.ts'
import { assignTarget, applySchedulerEvent, getOrCreateTask } from './apply-scheduler-event.ts'
import type { GroupState } from './state.ts'
import type { TargetSession } from './target-session.ts'
import { hasFinalResult, createWorkEntry, type TaskEntry, type WorkEntry } from './work-entry.ts'

/**
 * Compares the tasks that an adopted target lists with those that should run there.
 *
 * A running task that is not listed was lost in a restart of the target, which it may have caused. A task whose start got no response and that is
 * not listed has not run, unless the target has restarted since the start was sent. A copy of the start that is still in
 * transit carries the previous lease number and is refused.
 *
 * @example
 * applyListing(state, now, session, response)
 */
export function applyListing (state: GroupState, now: number, session: TargetSession, response: Extract<TargetResponse, { type: 'adopt' }>): void {
  const expectedTaskIds = [...(state.tasksByTarget.get(session.id) ?? [])]
  const listedTaskIds = new Set<string>()
  for (const running of response.running) {
    listedTaskIds.add(running.taskId)
    applyRunningTask(state, now, session, running)
  }
  for (const ended of response.ended) {
    listedTaskIds.add(ended.taskId)
    applyEndedTask(state, now, session, ended)
  }
  for (const taskId of expectedTaskIds) {
    const task = state.tasks.get(taskId)
    if (task === undefined || task.targetId !== session.id || listedTaskIds.has(taskId)) continue
    if (task.phase === 'waiting' || task.phase === 'intent') continue
    endAttempt(state, now, task, mayHaveStarted(state, task, now - response.upMs) ? 'crashed' : 'not-started', undefined)
  }
}

/**
 * Recovers or confirms a task that a target lists as running, or stops it if it should not run there.
 *
 * @example
 * applyRunningTask(state, now, session, running)
 */
export function applyRunningTask (state: GroupState, now: number, session: TargetSession, running: RunningTask): void {
  const known = state.tasks.get(running.taskId)
  if (known !== undefined && known.phase !== 'waiting') {
    if (known.attempt === running.attempt && known.targetId === session.id) {
      confirmStart(state, now, known)
    } else {
      stopUnexpectedTask(state, session, running)
    }
    return
  }
  const entry = findOrRecoverWork(state, running)
  if (entry === undefined || entry.ended || entry.cancelled || hasFinalResult(entry, parseTaskIndex(running.taskId)) || known !== undefined) {
    stopUnexpectedTask(state, session, running)
    return
  }
  const task = getOrCreateTask(state, entry, running.taskId)
  task.attempt = running.attempt
  task.phase = 'running'
  entry.mayHaveRun = true
  assignTarget(state, task, session.id)
  applySchedulerEvent(state, { type: 'task-recovered', now, taskId: running.taskId, work: entry.work, targetId: session.id, startedAt: running.startedAt })
}

/**
 * Applies a completion that a target reports, and acknowledges the result if the target need not keep it.
 *
 * @example
 * applyEndedTask(state, now, session, ended)
 */
export function applyEndedTask (state: GroupState, now: number, session: TargetSession, ended: EndedTask): void {
  const task = state.tasks.get(ended.taskId)
  if (isCurrentAttempt(task, ended, session.id)) {
    task.entry.mayHaveRun = true
    endAttempt(state, now, task, toTaskCompletion(ended.outcome), ended.outcome)
    return
  }
  const entry = state.workEntries.get(parseWorkId(ended.taskId))
  const alreadyHandled = entry !== undefined && (entry.ended || hasFinalResult(entry, parseTaskIndex(ended.taskId)))
  if (task === undefined && !alreadyHandled) {
    recoverEndedTask(state, now, session, ended)
    return
  }
  if (!isResultKept(state, session.id, ended)) session.acknowledge(ended)
}

/**
 * Ends the current attempt of a task: the task goes back to the scheduler or gets its final result.
 *
 * @example
 * endAttempt(state, now, task, 'lost', undefined)
 */
export function endAttempt (state: GroupState, now: number, task: TaskEntry, completion: TaskCompletion, outcome: TaskOutcome | undefined): void {
  const { entry, taskId, targetId, attempt } = task
  if (targetId === undefined) return
  if (completion !== 'not-started') entry.mayHaveRun = true
  const runsAgain = mustRunAgain(entry, completion, outcome)
  state.tasksByTarget.get(targetId)?.delete(taskId)
  task.phase = 'waiting'
  task.targetId = undefined
  task.stop = undefined
  if (runsAgain) {
    if (completion === 'not-started' || completion === 'stopped') entry.intents.delete(task.index)
    // A later owner must see that a non-idempotent request has run, so the target keeps the result of each attempt.
    if (entry.work.kind === 'request' && !entry.work.idempotent && outcome !== undefined) addKeptResult(entry, targetId, task)
    else state.sessions.get(targetId)?.acknowledge({ taskId, attempt })
  } else {
    state.tasks.delete(taskId)
    entry.activeTasks.delete(taskId)
    completeAndHandleResult(state, now, task, targetId, completion, outcome)
  }
  applySchedulerEvent(state, { type: 'task-ended', now, taskId, targetId, completion, mustRunAgain: runsAgain })
}

/**
 * Marks a task as running after its target has confirmed the start.
 *
 * @example
 * confirmStart(state, now, task)
 */
export function confirmStart (state: GroupState, now: number, task: TaskEntry): void {
  task.entry.mayHaveRun = true
  if (task.phase === 'running') return
  task.phase = 'running'
  applySchedulerEvent(state, { type: 'task-started', now, taskId: task.taskId })
}

function completeAndHandleResult (state: GroupState, now: number, task: TaskEntry, targetId: TargetId, completion: TaskCompletion, outcome: TaskOutcome | undefined): void {
  const retention = completeTask(state, now, task, completion, outcome)
  if (outcome === undefined) return
  if (retention === 'acknowledge-now') state.sessions.get(targetId)?.acknowledge(task)
  else addKeptResult(task.entry, targetId, task)
}

function recoverEndedTask (state: GroupState, now: number, session: TargetSession, ended: EndedTask): void {
  const entry = findOrRecoverWork(state, ended)
  if (entry === undefined) {
    session.acknowledge(ended)
    return
  }
  entry.mayHaveRun = true
  if (mustRunAgain(entry, toTaskCompletion(ended.outcome), ended.outcome)) {
    if (entry.work.kind === 'request') {
      state.workEntries.delete(entry.work.id)
      state.recovery.startedByPreviousOwner.add(entry.work.id)
    }
    session.acknowledge(ended)
    return
  }
  const task = getOrCreateTask(state, entry, ended.taskId)
  task.attempt = ended.attempt
  state.tasks.delete(ended.taskId)
  entry.activeTasks.delete(ended.taskId)
  completeAndHandleResult(state, now, task, session.id, toTaskCompletion(ended.outcome), ended.outcome)
}

/**
 * Returns the entry of listed work. An unknown request gets a new entry, because requests are not stored; an unknown job
 * gets none, because jobs must be in the store.
 */
function findOrRecoverWork (state: GroupState, listed: RunningTask | EndedTask): WorkEntry | undefined {
  const known = state.workEntries.get(listed.work.id)
  if (known !== undefined || listed.work.kind !== 'request') return known
  const entry = createWorkEntry(listed.work)
  state.workEntries.set(listed.work.id, entry)
  return entry
}

function isResultKept (state: GroupState, targetId: TargetId, ended: EndedTask): boolean {
  const kept = state.workEntries.get(ended.work.id)?.keptResults ?? []
  return kept.some((result) => result.targetId === targetId && result.taskId === ended.taskId && result.attempt === ended.attempt)
}

function stopUnexpectedTask (state: GroupState, session: TargetSession, running: RunningTask): void {
  state.outbox.push({ type: 'count', counter: 'stopped', reason: 'not-expected' })
  const { group, epoch } = state
  sendCall(state, session,
    { type: 'control', group, epoch, lease: session.leaseNumber, taskId: running.taskId, action: 'stop' },
    { type: 'control', targetId: session.id, taskId: running.taskId })
}

function mayHaveStarted (state: GroupState, task: TaskEntry, restartedAt: number): boolean {
  if (task.phase === 'running') return true
  return task.firstSentAt !== undefined && restartedAt + state.timing.transitMs >= task.firstSentAt
}
