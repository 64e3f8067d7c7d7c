import { parseTaskIndex, type TargetId, type TaskId, formatTaskId, type WorkId } from '../model/ids.ts'
import type { Refusal } from '../model/refusal.ts'
import { taskCount, type Work } from '../model/work.ts'
import { findRefusal } from './admission.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { StopCause } from './effect.ts'
import type { TaskCompletion } from './event.ts'
import { startReadyClaims } from './claims.ts'
import { recordRunTime } from './family.ts'
import { updateTargetHealth } from './quarantine.ts'
import { startInReservedCapacity, releaseMoveReservation } from './evacuation.ts'
import { claimForReservation } from './gang-reservation.ts'
import { scheduleRetry } from './retries.ts'
import { recordDecision, appendDecision } from './decision-history.ts'
import { type Job, removeWaitingIndex, addWaitingIndex, type Task } from './task.ts'

/** Queues new or recovered work, or refuses new work. */
export function submitWork (state: SchedulerState, work: Work, remaining: readonly number[] | undefined): void {
  const known = state.jobs.get(work.id)
  if (known?.submitted === true) {
    state.emitCount('submit-ignored', 'already-known')
    return
  }
  const refusal = remaining === undefined && known === undefined ? findRefusal(state, work, state.teams.byName.get(work.team)) : undefined
  if (refusal !== undefined) {
    refuseWork(state, work.id, refusal)
    return
  }
  const job = known ?? state.addJob(work, state.teams.getOrCreateTeam(work.team))
  job.submitted = true
  addWaitingTasks(state, job, remaining)
  state.enqueue(job)
  state.removeJobIfEnded(job)
}

/** Refuses all tasks of the work and records the reason, so that it can be explained. */
export function refuseWork (state: SchedulerState, work: WorkId, refusal: Refusal): void {
  state.emit({ type: 'reject', work, refusal })
  state.emitCount('rejected', refusal.reason)
  const decisions = [{ at: state.now, decision: 'refused', detail: formatRefusalDetail(refusal) }]
  state.decisionHistory.recordEnded(formatTaskId(work, 0), decisions, refusal.reason, formatRefusalDetail(refusal))
}

function formatRefusalDetail (refusal: Refusal): string {
  if ('detail' in refusal) return refusal.detail
  return 'retryAfterMs' in refusal ? `refused: ${refusal.reason}, try again in ${refusal.retryAfterMs} ms` : `refused: ${refusal.reason}`
}

function addWaitingTasks (state: SchedulerState, job: Job, remaining: readonly number[] | undefined): void {
  if (remaining === undefined) {
    job.taskCount = taskCount(job.work)
    job.pendingCount += job.taskCount
    for (const index of job.tasks.keys()) removeWaitingIndex(job, index)
  } else {
    for (const index of remaining) {
      if (!job.tasks.has(index) && !job.listedIndices.includes(index)) addWaitingIndex(job, index)
    }
  }
  state.changeWaiting(job, job.pendingCount)
}

/** Books a task that a target reported as running. */
export function recoverTask (state: SchedulerState, taskId: TaskId, work: Work, targetId: TargetId, startedAt: number): void {
  const target = state.fleet.targets.get(targetId)
  const known = state.tasks.get(taskId)
  if (target === undefined) {
    state.emitCount('recovery-ignored', 'unknown-target')
    return
  }
  if (known !== undefined) {
    if (known.target !== target) stopDuplicateTask(state, taskId, targetId)
    return
  }
  const job = state.jobs.get(work.id) ?? state.addJob(work, state.teams.getOrCreateTeam(work.team))
  const index = parseTaskIndex(taskId)
  if (removeWaitingIndex(job, index)) state.changeWaiting(job, -1)
  if (job.pendingCount === 0) state.dequeue(job)
  const booked = state.getOrCreateShape(work).booked
  const decisions = [{ at: state.now, decision: 'recovered', detail: `found running on ${targetId}` }]
  state.bookTask({ id: taskId, index, job, target, booked, state: 'running', startedAt, decisions })
}

/** Stops a task on the second of two targets on which it was found; it stays booked on the first. */
function stopDuplicateTask (state: SchedulerState, taskId: TaskId, targetId: TargetId): void {
  state.emit({ type: 'stop', taskId, targetId, mode: 'stop', cause: 'cancelled' })
  state.emit({ type: 'log', level: 'error', message: 'task-found-twice', fields: { taskId, targetId } })
}

/** Marks a task as running after its target confirmed the start. */
export function confirmStart (state: SchedulerState, taskId: TaskId): void {
  const task = state.tasks.get(taskId)
  if (task?.state !== 'starting') return
  task.state = 'running'
  task.startedAt = state.now
}

/** Releases a task that has ended, puts it back into its queue if it must run again, and lets other work use the capacity. */
export function handleTaskEnded (state: SchedulerState, taskId: TaskId, targetId: TargetId, completion: TaskCompletion, mustRunAgain: boolean): void {
  const task = state.tasks.get(taskId)
  if (task === undefined || task.target.id !== targetId || task.state === 'claimed') {
    state.emitCount('end-ignored', 'not-booked-there')
    return
  }
  const { job, target } = task
  recordCompletion(state, task, completion)
  const decisions = appendDecision(task.decisions, { at: state.now, decision: completion, detail: `on ${targetId}` })
  state.decisionHistory.recordEnded(taskId, decisions, completion, `ended on ${targetId}`)
  state.releaseTask(task)
  const reservedTarget = releaseMoveReservation(state, taskId)
  if (mustRunAgain && !job.cancelled && !startInReservedCapacity(state, job, task.index, reservedTarget)) scheduleRetry(state, task, completion)
  if (mustRunAgain && job.work.kind === 'gang') stopIncompleteGang(state, job)
  state.removeJobIfEnded(job)
  startReadyClaims(state, target)
  claimForReservation(state, target)
  state.readiness.unblockGrantBlocked(job.team)
  state.readiness.unblockForTarget(target)
}

/** Records what the completion shows about the family and the target. */
function recordCompletion (state: SchedulerState, task: Task, completion: TaskCompletion): void {
  if (completion !== 'not-started') task.job.mayHaveRun = true
  recordRunTime(state, task, completion)
  updateTargetHealth(state, task, completion)
}

/** Requests a checkpoint of the other tasks of a gang of which one must run again; all of them start together again. */
function stopIncompleteGang (state: SchedulerState, job: Job): void {
  for (const member of job.tasks.values()) {
    if (member.state !== 'stopping' && member.state !== 'claimed') stopTask(state, member, 'checkpoint', 'gang-incomplete')
  }
}

/** Removes the waiting tasks of the work and stops the running ones. */
export function cancelWork (state: SchedulerState, work: WorkId): void {
  const job = state.jobs.get(work)
  if (job === undefined) return
  job.cancelled = true
  state.dequeue(job)
  state.changeWaiting(job, -job.pendingCount - job.delayedIndices.size)
  job.pendingCount = 0
  job.delayedIndices.clear()
  for (const task of [...job.tasks.values()]) {
    if (task.state === 'claimed') state.releaseTask(task)
    else stopTask(state, task, 'stop', 'cancelled')
  }
  state.removeJobIfEnded(job)
}

/** Requests that the target stops a task; does nothing if a stop with the same mode was already sent. */
export function stopTask (state: SchedulerState, task: Task, mode: 'checkpoint' | 'stop', cause: StopCause): void {
  if (task.state === 'stopping' && task.stop?.mode === mode) return
  task.state = 'stopping'
  state.setPreemptible(task, false)
  state.setStopping(task, true)
  task.stop = { at: state.now, mode, cause }
  recordDecision(task, state.now, mode, cause)
  state.emit({ type: 'stop', taskId: task.id, targetId: task.target.id, mode, cause })
  state.emitCount('stopped', cause)
}
