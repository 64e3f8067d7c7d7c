import type { TaskId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import { increase } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import type { StopCause } from './effect.ts'
import { hasRoom, takesWork, type TargetState } from './fleet.ts'
import { bookIndex, sendStart } from './placement.ts'
import { stopToYield } from './preemption.ts'
import { chooseSpread } from './spread.ts'
import type { Job, Task } from './task.ts'
import { stopTask } from './work-events.ts'

/** Targets emptied in one tick. */
const TARGETS_PER_TICK = 8
/** Part of a service's tasks that may move at once. */
const MOVING_PART = 0.25
/** Room held for a moving task whose old place has not ended by then is given back. */
const HOLD_TIMEOUT_MS = 10_000
/** The profile that packs lets batch work run on for this time before it is saved and moved. */
const BATCH_GRACE_MS = 30_000

/** Room held on a target for a task that still runs elsewhere. It is not charged to the team a second time. */
export type Hold = { readonly target: TargetState, readonly amount: Resources, readonly at: number }

/** Notes a target that its tasks should leave, or that they may stay. */
export function noteLeaving (cell: Cell, target: TargetState): void {
  const leaves = !target.removed && (target.domain.out || target.target.state === 'leaving')
  if (!leaves) cell.emptying.delete(target)
  else if (!cell.emptying.has(target)) cell.emptying.set(target, cell.now)
}

/** Moves services, and later batch work, away from targets that leave and domains that are out. */
export function emptyTargets (cell: Cell): void {
  dropLateHolds(cell)
  let left = TARGETS_PER_TICK
  for (const [target, since] of cell.emptying) {
    if (left === 0) return
    left -= 1
    // The target goes to the end, so that one whose tasks cannot move does not keep the others from their turn.
    cell.emptying.delete(target)
    if (target.removed || target.tasks.size === 0) continue
    cell.emptying.set(target, since)
    emptyTarget(cell, target, cell.now - since)
  }
}

function emptyTarget (cell: Cell, target: TargetState, passedMs: number): void {
  const cause: StopCause = target.domain.out ? 'domain-out' : 'target-leaving'
  const movesBatch = cell.profile.movesBatchAtOnce || passedMs >= BATCH_GRACE_MS
  for (const task of [...target.tasks]) {
    if (task.keepsRunning === true || (task.state !== 'starting' && task.state !== 'running')) continue
    const { kind } = task.job.work
    if (kind === 'service') moveService(cell, task, cause)
    else if (kind !== 'request' && movesBatch) stopToYield(cell, task, cause)
  }
}

/** Holds room elsewhere first and stops the task only then, so that it is missing only for its restart. */
function moveService (cell: Cell, task: Task, cause: StopCause): void {
  const { job } = task
  if (movingTasks(job) >= Math.max(1, Math.floor(job.tasks.size * MOVING_PART))) return
  const amount = cell.shapeOf(job.work).booked
  const target = chooseSpread(cell, job, amount, task)
  if (target === undefined) return
  cell.holds.set(task.id, { target, amount, at: cell.now })
  changeHold(cell, target, amount, 1)
  stopTask(cell, task, job.work.idempotent ? 'stop' : 'checkpoint', cause)
}

function movingTasks (job: Job): number {
  let count = 0
  for (const { state } of job.tasks.values()) if (state === 'stopping') count += 1
  return count
}

function changeHold (cell: Cell, target: TargetState, amount: Resources, factor: 1 | -1): void {
  cell.fleet.book(target, amount, factor)
  increase(target.claimed, amount, factor)
}

/** Takes the room held for a task, which is free for it from then on. */
export function takeHold (cell: Cell, taskId: TaskId): TargetState | undefined {
  const hold = cell.holds.get(taskId)
  if (hold === undefined) return undefined
  cell.holds.delete(taskId)
  changeHold(cell, hold.target, hold.amount, -1)
  return hold.target
}

/** Starts a moved task in the room held for it; false when that is no longer possible. */
export function startHeld (cell: Cell, job: Job, index: number, target: TargetState | undefined): boolean {
  if (target === undefined || !takesWork(target)) return false
  if (!hasRoom(target, cell.shapeOf(job.work).booked) || !cell.fitsGrant(job.team, job.work.resources)) return false
  cell.changeWaiting(job, 1)
  sendStart(cell, bookIndex(cell, job, index, target))
  return true
}

function dropLateHolds (cell: Cell): void {
  for (const [taskId, { target, at }] of cell.holds) {
    if (cell.now - at < HOLD_TIMEOUT_MS && takesWork(target)) continue
    takeHold(cell, taskId)
    cell.wakeForTarget(target)
  }
}
