import type { TaskId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import { addScaled } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { StopCause } from './effect.ts'
import { hasFreeCapacity, acceptsWork, type TargetState } from './fleet.ts'
import { bookTaskAtIndex, startTask } from './placement.ts'
import { preemptTask } from './preemption.ts'
import { chooseSpreadTarget } from './spread.ts'
import type { Job, Task } from './task.ts'
import { stopTask } from './work-events.ts'

/** Maximum number of targets from which tasks are moved in one tick. */
const MAX_TARGETS_PER_TICK = 8
/** Maximum fraction of a service's tasks that may move at the same time. */
const MAX_MOVING_RATIO = 0.25
/** A reservation for a moving task is released when the task has not ended on its old target after this time. */
const MOVE_RESERVATION_TIMEOUT_MS = 10_000
/** With the packing profile, batch work runs on for this time before it is checkpointed and moved. */
const BATCH_GRACE_MS = 30_000

/** Capacity reserved on a target for a task that still runs elsewhere; the team is not charged for it a second time. */
export type MoveReservation = { readonly target: TargetState, readonly amount: Resources, readonly reservedAt: number }

/** Starts or ends the evacuation of a target, depending on its state and that of its failure domain. */
export function updateEvacuation (state: SchedulerState, target: TargetState): void {
  const mustEvacuate = !target.removed && (target.domain.out || target.target.state === 'leaving')
  if (!mustEvacuate) state.evacuatingSince.delete(target)
  else if (!state.evacuatingSince.has(target)) state.evacuatingSince.set(target, state.now)
}

/** Moves services, and after a grace time batch work, away from leaving targets and domains that are out. */
export function evacuateTargets (state: SchedulerState): void {
  releaseExpiredReservations(state)
  let remaining = MAX_TARGETS_PER_TICK
  for (const [target, since] of state.evacuatingSince) {
    if (remaining === 0) return
    remaining -= 1
    // The target goes to the end of the map, so that a target whose tasks cannot move does not delay the others.
    state.evacuatingSince.delete(target)
    if (target.removed || target.tasks.size === 0) continue
    state.evacuatingSince.set(target, since)
    evacuateTarget(state, target, state.now - since)
  }
}

function evacuateTarget (state: SchedulerState, target: TargetState, elapsedMs: number): void {
  const cause: StopCause = target.domain.out ? 'domain-out' : 'target-leaving'
  const movesBatch = state.profile.movesBatchImmediately || elapsedMs >= BATCH_GRACE_MS
  for (const task of [...target.tasks]) {
    if (task.checkpointTimedOut === true || (task.state !== 'starting' && task.state !== 'running')) continue
    const { kind } = task.job.work
    if (kind === 'service') moveService(state, task, cause)
    else if (kind !== 'request' && movesBatch) preemptTask(state, task, cause)
  }
}

/** Reserves capacity on another target before it stops the task, so that the task is down only while it restarts. */
function moveService (state: SchedulerState, task: Task, cause: StopCause): void {
  const { job } = task
  if (countMovingTasks(job) >= Math.max(1, Math.floor(job.tasks.size * MAX_MOVING_RATIO))) return
  const amount = state.getOrCreateShape(job.work).booked
  const target = chooseSpreadTarget(state, job, amount, task)
  if (target === undefined) return
  state.moveReservations.set(task.id, { target, amount, reservedAt: state.now })
  changeReservedAmount(state, target, amount, 1)
  stopTask(state, task, job.work.idempotent ? 'stop' : 'checkpoint', cause)
}

function countMovingTasks (job: Job): number {
  let count = 0
  for (const { state } of job.tasks.values()) if (state === 'stopping') count += 1
  return count
}

function changeReservedAmount (state: SchedulerState, target: TargetState, amount: Resources, factor: 1 | -1): void {
  state.fleet.book(target, amount, factor)
  addScaled(target.claimed, amount, factor)
}

/** Removes the reservation for a task and returns its target, on which the capacity is then free. */
export function releaseMoveReservation (state: SchedulerState, taskId: TaskId): TargetState | undefined {
  const reservation = state.moveReservations.get(taskId)
  if (reservation === undefined) return undefined
  state.moveReservations.delete(taskId)
  changeReservedAmount(state, reservation.target, reservation.amount, -1)
  return reservation.target
}

/** Starts a moved task on the target that was reserved for it; false when that is no longer possible. */
export function startInReservedCapacity (state: SchedulerState, job: Job, index: number, target: TargetState | undefined): boolean {
  if (target === undefined || !acceptsWork(target)) return false
  if (!hasFreeCapacity(target, state.getOrCreateShape(job.work).booked) || !state.fitsGrant(job.team, job.work.resources)) return false
  state.changeWaiting(job, 1)
  startTask(state, bookTaskAtIndex(state, job, index, target))
  return true
}

function releaseExpiredReservations (state: SchedulerState): void {
  for (const [taskId, { target, reservedAt }] of state.moveReservations) {
    if (state.now - reservedAt < MOVE_RESERVATION_TIMEOUT_MS && acceptsWork(target)) continue
    releaseMoveReservation(state, taskId)
    state.readiness.unblockForTarget(target)
  }
}
