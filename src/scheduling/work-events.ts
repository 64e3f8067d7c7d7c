import { indexOfTask, type TargetId, type TaskId, taskIdOf, type WorkId } from '../model/ids.ts'
import type { Refusal } from '../model/refusal.ts'
import { taskCount, type Work } from '../model/work.ts'
import { refusalOf } from './admission.ts'
import type { Cell } from './scheduler-state.ts'
import type { StopCause } from './effect.ts'
import type { TaskEnd } from './event.ts'
import { startClaims } from './claims.ts'
import { noteRun } from './family.ts'
import { noteHealth } from './quarantine.ts'
import { startHeld, takeHold } from './evacuation.ts'
import { offerToReservation } from './gang-reservation.ts'
import { runAgain } from './retries.ts'
import { record, withDecision } from './decision-history.ts'
import { type Job, removeIndex, returnIndex, type Task } from './task.ts'

/** Queues new or recovered work, or refuses it. */
export function submitWork (cell: Cell, work: Work, remaining: readonly number[] | undefined): void {
  const known = cell.jobs.get(work.id)
  if (known?.submitted === true) {
    cell.count('submit-ignored', 'already-known')
    return
  }
  const refusal = remaining === undefined && known === undefined ? refusalOf(cell, work, cell.teams.teams.get(work.team)) : undefined
  if (refusal !== undefined) {
    refuse(cell, work.id, refusal)
    return
  }
  const job = known ?? cell.addJob(work, cell.teams.team(work.team))
  job.submitted = true
  addWaiting(cell, job, remaining)
  cell.enqueue(job)
  cell.dropJobWhenEnded(job)
}

/** Refuses whole work and keeps the reason for questions. */
export function refuse (cell: Cell, work: WorkId, refusal: Refusal): void {
  cell.emit({ type: 'reject', work, refusal })
  cell.count('rejected', refusal.reason)
  const decisions = [{ at: cell.now, decision: 'refused', detail: refusalDetail(refusal) }]
  cell.journal.keep(taskIdOf(work, 0), decisions, refusal.reason, refusalDetail(refusal))
}

function refusalDetail (refusal: Refusal): string {
  if ('detail' in refusal) return refusal.detail
  return 'retryAfterMs' in refusal ? `refused: ${refusal.reason}, try again in ${refusal.retryAfterMs} ms` : `refused: ${refusal.reason}`
}

function addWaiting (cell: Cell, job: Job, remaining: readonly number[] | undefined): void {
  if (remaining === undefined) {
    job.upTo = taskCount(job.work)
    job.pending += job.upTo
    for (const index of job.tasks.keys()) removeIndex(job, index)
  } else {
    for (const index of remaining) {
      if (!job.tasks.has(index) && !job.returned.includes(index)) returnIndex(job, index)
    }
  }
  cell.changeWaiting(job, job.pending)
}

/** Books a task that a target reported as running. */
export function recoverTask (cell: Cell, taskId: TaskId, work: Work, targetId: TargetId, startedAt: number): void {
  const target = cell.fleet.targets.get(targetId)
  const known = cell.tasks.get(taskId)
  if (target === undefined) {
    cell.count('recovery-ignored', 'unknown-target')
    return
  }
  if (known !== undefined) {
    if (known.target !== target) stopSecondCopy(cell, taskId, targetId)
    return
  }
  const job = cell.jobs.get(work.id) ?? cell.addJob(work, cell.teams.team(work.team))
  const index = indexOfTask(taskId)
  if (removeIndex(job, index)) cell.changeWaiting(job, -1)
  if (job.pending === 0) cell.dequeue(job)
  const booked = cell.shapeOf(work).booked
  const decisions = [{ at: cell.now, decision: 'recovered', detail: `found running on ${targetId}` }]
  cell.bookTask({ id: taskId, index, job, target, booked, state: 'running', startedAt, decisions })
}

/** A task found on two targets is stopped on the second one; the first stays booked. */
function stopSecondCopy (cell: Cell, taskId: TaskId, targetId: TargetId): void {
  cell.emit({ type: 'stop', taskId, targetId, mode: 'stop', cause: 'cancelled' })
  cell.emit({ type: 'log', level: 'error', message: 'task-found-twice', fields: { taskId, targetId } })
}

/** Notes that the target has confirmed the start. */
export function confirmStart (cell: Cell, taskId: TaskId): void {
  const task = cell.tasks.get(taskId)
  if (task?.state !== 'starting') return
  task.state = 'running'
  task.startedAt = cell.now
}

/** Releases an ended task; puts it back into the queue when it must run again. */
export function endTask (cell: Cell, taskId: TaskId, targetId: TargetId, end: TaskEnd, again: boolean): void {
  const task = cell.tasks.get(taskId)
  if (task === undefined || task.target.id !== targetId || task.state === 'claimed') {
    cell.count('end-ignored', 'not-booked-there')
    return
  }
  const { job, target } = task
  noteOutcome(cell, task, end)
  const decisions = withDecision(task.decisions, { at: cell.now, decision: end, detail: `on ${targetId}` })
  cell.journal.keep(taskId, decisions, end, `ended on ${targetId}`)
  cell.releaseTask(task)
  const held = takeHold(cell, taskId)
  if (again && !job.cancelled && !startHeld(cell, job, task.index, held)) runAgain(cell, task, end)
  if (again && job.work.kind === 'gang') stopIncomplete(cell, job)
  cell.dropJobWhenEnded(job)
  startClaims(cell, target)
  offerToReservation(cell, target)
  cell.wakeLimited(job.team)
  cell.wakeForTarget(target)
}

/** What the end says about the family and the target. */
function noteOutcome (cell: Cell, task: Task, end: TaskEnd): void {
  if (end !== 'not-started') task.job.started = true
  noteRun(cell, task, end)
  noteHealth(cell, task, end)
}

/** A gang runs whole: when one task must run again, the others save their state and all start together again. */
function stopIncomplete (cell: Cell, job: Job): void {
  for (const member of job.tasks.values()) {
    if (member.state !== 'stopping' && member.state !== 'claimed') stopTask(cell, member, 'checkpoint', 'gang-incomplete')
  }
}

/** Drops the waiting tasks of the work and stops the running ones. */
export function cancelWork (cell: Cell, work: WorkId): void {
  const job = cell.jobs.get(work)
  if (job === undefined) return
  job.cancelled = true
  cell.dequeue(job)
  cell.changeWaiting(job, -job.pending - job.delayed.size)
  job.pending = 0
  job.delayed.clear()
  for (const task of [...job.tasks.values()]) {
    if (task.state === 'claimed') cell.releaseTask(task)
    else stopTask(cell, task, 'stop', 'cancelled')
  }
  cell.dropJobWhenEnded(job)
}

/** Asks the target to stop a task; a task that is already stopping is asked again only for cancellation. */
export function stopTask (cell: Cell, task: Task, mode: 'checkpoint' | 'stop', cause: StopCause): void {
  if (task.state === 'stopping' && task.stop?.mode === mode) return
  task.state = 'stopping'
  cell.setYielding(task, false)
  cell.setStopping(task, true)
  task.stop = { at: cell.now, mode, cause }
  record(task, cell.now, mode, cause)
  cell.emit({ type: 'stop', taskId: task.id, targetId: task.target.id, mode, cause })
  cell.count('stopped', cause)
}
