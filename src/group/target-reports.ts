import { parseTaskIndex, parseWorkId, type TargetId } from '../model/ids.ts'
import type { EndedTask, RunningTask, TaskOutcome } from '../model/work.ts'
import type { TaskCompletion } from '../scheduling/event.ts'
import type { TargetResponse } from '../ports/target-client.ts'
import { sendCall } from './dispatch.ts'
import { endOfOutcome, isCurrent, keepUntilStored, mustRunAgain, settleTask } from './completions.ts'
import { assignTarget, schedule, taskEntry } from './apply-scheduler-event.ts'
import type { GroupState } from './state.ts'
import type { TargetSession } from './target-session.ts'
import { isFinal, newWorkEntry, type TaskEntry, type WorkEntry } from './work-entry.ts'

/**
 * Compares the listing of an adopted target with what should run there.
 *
 * A task that should run and is not listed was lost with a restart of the target. A start that was never answered and is
 * not listed either has not run, unless the target has restarted since it was sent; a copy of it that is still under way
 * carries the earlier lease number and is refused.
 *
 * @example
 * applyListing(state, now, session, answer)
 */
export function applyListing (state: GroupState, now: number, session: TargetSession, answer: Extract<TargetResponse, { type: 'adopt' }>): void {
  const expected = [...(state.tasksByTarget.get(session.id) ?? [])]
  const listed = new Set<string>()
  for (const running of answer.running) {
    listed.add(running.taskId)
    applyRunning(state, now, session, running)
  }
  for (const ended of answer.ended) {
    listed.add(ended.taskId)
    applyEnded(state, now, session, ended)
  }
  for (const taskId of expected) {
    const task = state.tasks.get(taskId)
    if (task === undefined || task.targetId !== session.id || listed.has(taskId)) continue
    if (task.phase === 'waiting' || task.phase === 'intent') continue
    endAttempt(state, now, task, mayHaveStarted(state, task, now - answer.upMs) ? 'lost' : 'not-started', undefined)
  }
}

/**
 * Takes over a task that runs on a target, or stops it when it should not run there.
 *
 * @example
 * applyRunning(state, now, session, running)
 */
export function applyRunning (state: GroupState, now: number, session: TargetSession, running: RunningTask): void {
  const known = state.tasks.get(running.taskId)
  if (known !== undefined && known.phase !== 'waiting') {
    if (known.attempt === running.attempt && known.targetId === session.id) {
      confirmStart(state, now, known)
    } else {
      stopStray(state, session, running)
    }
    return
  }
  const entry = recoveredEntry(state, running)
  if (entry === undefined || entry.ended || entry.cancelled || isFinal(entry, parseTaskIndex(running.taskId)) || known !== undefined) {
    stopStray(state, session, running)
    return
  }
  const task = taskEntry(state, entry, running.taskId)
  task.attempt = running.attempt
  task.phase = 'running'
  entry.mayHaveRun = true
  assignTarget(state, task, session.id)
  schedule(state, { type: 'task-recovered', now, taskId: running.taskId, work: entry.work, targetId: session.id, startedAt: running.startedAt })
}

/**
 * Applies the end of a task that a target reports, and tells the target when it need not keep the result.
 *
 * @example
 * applyEnded(state, now, session, ended)
 */
export function applyEnded (state: GroupState, now: number, session: TargetSession, ended: EndedTask): void {
  const task = state.tasks.get(ended.taskId)
  if (isCurrent(task, ended, session.id)) {
    task.entry.mayHaveRun = true
    endAttempt(state, now, task, endOfOutcome(ended.outcome), ended.outcome)
    return
  }
  const entry = state.works.get(parseWorkId(ended.taskId))
  const alreadyHandled = entry !== undefined && (entry.ended || isFinal(entry, parseTaskIndex(ended.taskId)))
  if (task === undefined && !alreadyHandled) {
    recoverEnded(state, now, session, ended)
    return
  }
  if (!keptByTable(state, session.id, ended)) session.acknowledge(ended)
}

/**
 * Ends the present attempt of a task: it goes back to the scheduler or gets its final result.
 *
 * @example
 * endAttempt(state, now, task, 'lost', undefined)
 */
export function endAttempt (state: GroupState, now: number, task: TaskEntry, end: TaskCompletion, outcome: TaskOutcome | undefined): void {
  const { entry, taskId, targetId, attempt } = task
  if (targetId === undefined) return
  if (end !== 'not-started') entry.mayHaveRun = true
  const again = mustRunAgain(entry, end, outcome)
  state.tasksByTarget.get(targetId)?.delete(taskId)
  task.phase = 'waiting'
  task.targetId = undefined
  task.stop = undefined
  if (again) {
    if (end === 'not-started' || end === 'stopped') entry.intents.delete(task.index)
    // A later owner must see that a non-idempotent request has run, so its target keeps the result of each attempt.
    if (entry.work.kind === 'request' && !entry.work.idempotent && outcome !== undefined) keepUntilStored(entry, targetId, task)
    else state.sessions.get(targetId)?.acknowledge({ taskId, attempt })
  } else {
    state.tasks.delete(taskId)
    entry.active.delete(taskId)
    settleAndKeep(state, now, task, targetId, end, outcome)
  }
  schedule(state, { type: 'task-ended', now, taskId, targetId, completion: end, mustRunAgain: again })
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
  schedule(state, { type: 'task-started', now, taskId: task.taskId })
}

function settleAndKeep (state: GroupState, now: number, task: TaskEntry, targetId: TargetId, end: TaskCompletion, outcome: TaskOutcome | undefined): void {
  const keeping = settleTask(state, now, task, end, outcome)
  if (outcome === undefined) return
  if (keeping === 'acknowledge-now') state.sessions.get(targetId)?.acknowledge(task)
  else keepUntilStored(task.entry, targetId, task)
}

function recoverEnded (state: GroupState, now: number, session: TargetSession, ended: EndedTask): void {
  const entry = recoveredEntry(state, ended)
  if (entry === undefined) {
    session.acknowledge(ended)
    return
  }
  entry.mayHaveRun = true
  if (mustRunAgain(entry, endOfOutcome(ended.outcome), ended.outcome)) {
    if (entry.work.kind === 'request') {
      state.works.delete(entry.work.id)
      state.recovery.startedBefore.add(entry.work.id)
    }
    session.acknowledge(ended)
    return
  }
  const task = taskEntry(state, entry, ended.taskId)
  task.attempt = ended.attempt
  state.tasks.delete(ended.taskId)
  entry.active.delete(ended.taskId)
  settleAndKeep(state, now, task, session.id, endOfOutcome(ended.outcome), ended.outcome)
}

/** Requests are known only from their targets; jobs must be in the store. */
function recoveredEntry (state: GroupState, listed: RunningTask | EndedTask): WorkEntry | undefined {
  const known = state.works.get(listed.work.id)
  if (known !== undefined || listed.work.kind !== 'request') return known
  const entry = newWorkEntry(listed.work)
  state.works.set(listed.work.id, entry)
  return entry
}

function keptByTable (state: GroupState, targetId: TargetId, ended: EndedTask): boolean {
  const kept = state.works.get(ended.work.id)?.kept ?? []
  return kept.some((result) => result.targetId === targetId && result.taskId === ended.taskId && result.attempt === ended.attempt)
}

function stopStray (state: GroupState, session: TargetSession, running: RunningTask): void {
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
