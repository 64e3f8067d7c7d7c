import { add, fits, NO_RESOURCES, type Resources } from '../model/resources.ts'
import { fitsBeside, increase, noAmounts } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import { claimNext, dropClaim, isShort, releaseClaim } from './claims.ts'
import { precedes } from './fair-order.ts'
import { hasRoom, takesWork, type TargetState } from './fleet.ts'
import { memberAmount } from './gang.ts'
import { findTarget, sendStart, startNext } from './placement.ts'
import { mayTakeForGang, preempt } from './preemption.ts'
import { fairestQueue, type ShapeQueue } from './queue.ts'
import type { Job, Task } from './task.ts'

/** A gang that has waited this long gets a reservation, if no other gang holds it. */
const RESERVE_AFTER_MS = 1000
/** Each reservation of a gang that expired makes its next one longer, up to this factor. */
const LONGEST_FACTOR = 8
/** Sets of tasks made to yield for one gang in one tick. */
const YIELDS_PER_TICK = 16
/** Targets and queues read for backfill in one tick. */
const BACKFILL_TARGETS = 8
const BACKFILL_QUEUES = 32
/** Longest measured run time of work that is backfilled, as a part of what is left of the reservation. */
const BACKFILL_PART = 0.25

/**
 * The one reservation of the group. Only one gang at a time holds room that it cannot use yet, so two gangs can never
 * wait for each other's room; it expires, so a gang that cannot become whole does not hold room for ever.
 */
export type Reservation = { readonly job: Job, readonly until: number }

/** Advances the reservation, or gives it to the next gang. */
export function advanceReservation (cell: Cell): void {
  const { reservation } = cell
  if (reservation === undefined) return beginReservation(cell)
  const { job, until } = reservation
  if (job.cancelled || !cell.jobs.has(job.id)) {
    cell.reservation = undefined
    return
  }
  dropUnusable(cell, job)
  extend(cell, job)
  if (startWhole(cell, job)) return
  if (until <= cell.now) expire(cell, job)
  else backfill(cell, reservation)
}

function beginReservation (cell: Cell): void {
  const queue = nextGang(cell)
  if (queue === undefined) return
  const job = queue.head!
  const factor = Math.min(LONGEST_FACTOR, 2 ** job.reservations)
  job.reservations += 1
  cell.reservation = { job, until: cell.now + cell.profile.gangReservationMs * factor }
  cell.count('gang-reservation', 'begun')
  extend(cell, job)
  startWhole(cell, job)
}

/** The waiting gang with the fewest reservations so far, then of the team furthest below its share. */
function nextGang (cell: Cell): ShapeQueue | undefined {
  let best: ShapeQueue | undefined
  for (const queue of cell.gangQueues) {
    if (!mayReserve(cell, queue)) continue
    if (best === undefined || comesBefore(queue, best)) best = queue
  }
  return best
}

function comesBefore (left: ShapeQueue, right: ShapeQueue): boolean {
  const difference = left.head!.reservations - right.head!.reservations
  return difference === 0 ? precedes(left.team, right.team) : difference < 0
}

function mayReserve (cell: Cell, { head, team }: ShapeQueue): boolean {
  if (head === undefined || head.tasks.size > 0 || head.delayed.size > 0) return false
  if (cell.now - head.queuedAt < RESERVE_AFTER_MS) return false
  const total = noAmounts()
  increase(total, head.work.resources, head.pending)
  return fitsBeside(total, team.used, team.grant)
}

function dropUnusable (cell: Cell, job: Job): void {
  for (const task of [...job.tasks.values()]) {
    if (task.state === 'claimed' && !takesWork(task.target)) releaseClaim(cell, task)
  }
}

/** Claims what is free, and what can be made free, for the tasks that have no place yet. */
function extend (cell: Cell, job: Job): void {
  const amount = memberAmount(cell, job)
  let yields = 0
  while (job.pending > 0 && cell.fitsGrant(job.team, job.work.resources)) {
    const target = findTarget(cell, job, amount)
    if (target !== undefined) {
      claimNext(cell, job, target, 'for a gang', amount)
    } else if (yields < YIELDS_PER_TICK && preempt(cell, job, mayTakeForGang(cell, job))) {
      yields += 1
    } else {
      return
    }
  }
}

/** Gives the room that an ended task left on a target to the gang that holds the reservation. */
export function offerToReservation (cell: Cell, target: TargetState): void {
  const job = cell.reservation?.job
  if (job === undefined || job.pending === 0 || job.cancelled) return
  const amount = memberAmount(cell, job)
  while (job.pending > 0 && hasRoom(target, amount) && cell.fitsGrant(job.team, job.work.resources)) {
    claimNext(cell, job, target, 'for a gang', amount)
  }
  startWhole(cell, job)
}

/** Starts the gang when each of its tasks holds room and all of that room is free. */
function startWhole (cell: Cell, job: Job): boolean {
  if (job.pending > 0 || job.delayed.size > 0 || job.tasks.size === 0) return false
  const tasks = [...job.tasks.values()]
  if (!tasks.every(({ state, target }) => state === 'claimed' && takesWork(target)) || !allFree(job, tasks)) return false
  cell.reservation = undefined
  for (const task of tasks) sendStart(cell, task)
  cell.count('gang-reservation', 'used')
  return true
}

/** Whether all tasks fit together beside what runs now, other claims not counted. */
function allFree ({ team, work }: Job, tasks: readonly Task[]): boolean {
  const wanted = new Map<TargetState, Resources>()
  for (const { target, booked } of tasks) wanted.set(target, add(wanted.get(target) ?? NO_RESOURCES, booked))
  for (const [target, amount] of wanted) {
    if (!fitsRunning(target, amount)) return false
  }
  const total = noAmounts()
  increase(total, work.resources, tasks.length)
  increase(total, team.claimed, -1)
  return fitsBeside(total, team.used, team.grant)
}

/** Whether the amount fits beside the tasks that run on the target, claims not counted. */
function fitsRunning (target: TargetState, amount: Resources): boolean {
  const running = noAmounts()
  increase(running, target.booked, 1)
  increase(running, target.claimed, -1)
  return fitsBeside(amount, running, target.target.capacity)
}

function expire (cell: Cell, job: Job): void {
  cell.reservation = undefined
  cell.count('gang-reservation', 'expired')
  for (const task of [...job.tasks.values()]) {
    if (task.state === 'claimed') dropClaim(cell, task)
  }
}

/** Starts short work in the room that the gang holds but cannot use yet. */
function backfill (cell: Cell, { job, until }: Reservation): void {
  const longestMs = (until - cell.now) * BACKFILL_PART
  let targets = 0
  for (const { target } of job.tasks.values()) {
    targets += 1
    if (targets > BACKFILL_TARGETS) return
    const queue = heldByGangOnly(target, job) ? findShort(cell, target, longestMs) : undefined
    if (queue === undefined) continue
    cell.count('backfilled', queue.workClass)
    startNext(cell, queue.head!, target)
  }
}

function heldByGangOnly (target: TargetState, job: Job): boolean {
  for (const task of target.tasks) {
    if (task.state === 'claimed' && task.job !== job) return false
  }
  return true
}

function findShort (cell: Cell, target: TargetState, longestMs: number): ShapeQueue | undefined {
  let read = 0
  for (const shape of cell.blockedShapes) {
    read += 1
    if (read > BACKFILL_QUEUES) return undefined
    const queue = fairestQueue(shape)
    if (queue === undefined || (queue.workClass !== 'batch' && queue.workClass !== 'request')) continue
    if (!isShort(cell, shape.family, longestMs) || !fitsRunning(target, shape.booked)) continue
    if (cell.fitsGrant(queue.team, shape.declared) && fits(shape.booked, target.target.capacity)) return queue
  }
  return undefined
}
