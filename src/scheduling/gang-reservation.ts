import { add, fits, NO_RESOURCES, type Resources } from '../model/resources.ts'
import { fitsWithinLimit, addScaled, createZeroResources } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { claimNextTask, cancelClaim, hasShortRuns, releaseClaim } from './claims.ts'
import { precedes } from './fair-order.ts'
import { hasFreeCapacity, acceptsWork, type TargetState } from './fleet.ts'
import { getGangTaskAmount } from './gang.ts'
import { findTarget, startTask, startNextTask } from './placement.ts'
import { getGangPreemptionRule, claimByPreemption } from './preemption.ts'
import { findFairestQueue, type ShapeQueue } from './queue.ts'
import type { Job, Task } from './task.ts'

/** A gang that has waited this long may get the reservation, if no other gang has it. */
const RESERVE_AFTER_MS = 1000
/** Each reservation of a gang lasts twice as long as the one before, up to this factor. */
const MAX_DURATION_FACTOR = 8
/** Maximum number of preemptions for one gang in one tick, each of them on one target. */
const MAX_PREEMPTIONS_PER_TICK = 16
/** Maximum number of targets and queues read for backfilling in one tick. */
const MAX_BACKFILL_TARGETS = 8
const MAX_BACKFILL_QUEUES = 32
/** Maximum ratio of the measured run time of backfilled work to the remaining time of the reservation. */
const MAX_BACKFILL_RUN_RATIO = 0.25

/**
 * The only gang reservation of the group. One gang at a time has claims that it cannot use yet, so two gangs can never
 * deadlock; the reservation expires, so a gang that cannot get all its claims does not block capacity forever.
 */
export type GangReservation = { readonly job: Job, readonly expiresAt: number }

/** Adds claims to the current reservation, starts its gang or lets it expire; without one, reserves for the next gang. */
export function advanceReservation (state: SchedulerState): void {
  const { reservation } = state
  if (reservation === undefined) return beginReservation(state)
  const { job, expiresAt } = reservation
  if (job.cancelled || !state.jobs.has(job.id)) {
    state.reservation = undefined
    return
  }
  releaseUnusableClaims(state, job)
  claimForPendingTasks(state, job)
  if (startReservedGang(state, job)) return
  if (expiresAt <= state.now) expireReservation(state, job)
  else backfill(state, reservation)
}

function beginReservation (state: SchedulerState): void {
  const queue = selectNextGang(state)
  if (queue === undefined) return
  const job = queue.head!
  const factor = Math.min(MAX_DURATION_FACTOR, 2 ** job.reservationCount)
  job.reservationCount += 1
  state.reservation = { job, expiresAt: state.now + state.profile.gangReservationMs * factor }
  state.emitCount('gang-reservation', 'begun')
  claimForPendingTasks(state, job)
  startReservedGang(state, job)
}

/** Selects the waiting gang with the fewest reservations so far; among equals, that of the team furthest below its share. */
function selectNextGang (state: SchedulerState): ShapeQueue | undefined {
  let best: ShapeQueue | undefined
  for (const queue of state.readiness.gangQueues) {
    if (!canReserve(state, queue)) continue
    if (best === undefined || comesBefore(queue, best)) best = queue
  }
  return best
}

function comesBefore (left: ShapeQueue, right: ShapeQueue): boolean {
  const difference = left.head!.reservationCount - right.head!.reservationCount
  return difference === 0 ? precedes(left.team, right.team) : difference < 0
}

function canReserve (state: SchedulerState, { head, team }: ShapeQueue): boolean {
  if (head === undefined || head.tasks.size > 0 || head.delayedIndices.size > 0) return false
  if (state.now - head.queuedAt < RESERVE_AFTER_MS) return false
  const total = createZeroResources()
  addScaled(total, head.work.resources, head.pendingCount)
  return fitsWithinLimit(total, team.used, team.grant)
}

function releaseUnusableClaims (state: SchedulerState, job: Job): void {
  for (const task of [...job.tasks.values()]) {
    if (task.state === 'claimed' && !acceptsWork(task.target)) releaseClaim(state, task)
  }
}

/** Claims capacity that is free, or can be freed by preemption, for the tasks of the gang that have no claim yet. */
function claimForPendingTasks (state: SchedulerState, job: Job): void {
  const amount = getGangTaskAmount(state, job)
  let preemptions = 0
  while (job.pendingCount > 0 && state.fitsGrant(job.team, job.work.resources)) {
    const target = findTarget(state, job, amount)
    if (target !== undefined) {
      claimNextTask(state, job, target, 'reserved for a gang', amount)
    } else if (preemptions < MAX_PREEMPTIONS_PER_TICK && claimByPreemption(state, job, getGangPreemptionRule(state, job))) {
      preemptions += 1
    } else {
      return
    }
  }
}

/** Claims capacity that became free on a target for the gang that has the reservation. */
export function claimForReservation (state: SchedulerState, target: TargetState): void {
  const job = state.reservation?.job
  if (job === undefined || job.pendingCount === 0 || job.cancelled) return
  const amount = getGangTaskAmount(state, job)
  while (job.pendingCount > 0 && hasFreeCapacity(target, amount) && state.fitsGrant(job.team, job.work.resources)) {
    claimNextTask(state, job, target, 'reserved for a gang', amount)
  }
  startReservedGang(state, job)
}

/** Starts the gang if each of its tasks has a claim and the capacity of all claims is free. */
function startReservedGang (state: SchedulerState, job: Job): boolean {
  if (job.pendingCount > 0 || job.delayedIndices.size > 0 || job.tasks.size === 0) return false
  const tasks = [...job.tasks.values()]
  if (!tasks.every(({ state: taskState, target }) => taskState === 'claimed' && acceptsWork(target)) || !canStartTogether(job, tasks)) return false
  state.reservation = undefined
  for (const task of tasks) startTask(state, task)
  state.emitCount('gang-reservation', 'used')
  return true
}

/** Whether all tasks fit together beside the running tasks; other claims are not counted. */
function canStartTogether ({ team, work }: Job, tasks: readonly Task[]): boolean {
  const wanted = new Map<TargetState, Resources>()
  for (const { target, booked } of tasks) wanted.set(target, add(wanted.get(target) ?? NO_RESOURCES, booked))
  for (const [target, amount] of wanted) {
    if (!fitsBesideRunning(target, amount)) return false
  }
  const total = createZeroResources()
  addScaled(total, work.resources, tasks.length)
  addScaled(total, team.claimed, -1)
  return fitsWithinLimit(total, team.used, team.grant)
}

/** Whether the amount fits beside the tasks that run on the target; claims are not counted. */
function fitsBesideRunning (target: TargetState, amount: Resources): boolean {
  const running = createZeroResources()
  addScaled(running, target.booked, 1)
  addScaled(running, target.claimed, -1)
  return fitsWithinLimit(amount, running, target.target.capacity)
}

function expireReservation (state: SchedulerState, job: Job): void {
  state.reservation = undefined
  state.emitCount('gang-reservation', 'expired')
  for (const task of [...job.tasks.values()]) {
    if (task.state === 'claimed') cancelClaim(state, task)
  }
}

/** Starts short tasks in the capacity that is claimed by the gang but cannot be used by it yet. */
function backfill (state: SchedulerState, { job, expiresAt }: GangReservation): void {
  const maxRunMs = (expiresAt - state.now) * MAX_BACKFILL_RUN_RATIO
  let targetCount = 0
  for (const { target } of job.tasks.values()) {
    targetCount += 1
    if (targetCount > MAX_BACKFILL_TARGETS) return
    const queue = isClaimedOnlyByGang(target, job) ? findBackfillQueue(state, target, maxRunMs) : undefined
    if (queue === undefined) continue
    state.emitCount('backfilled', queue.workClass)
    startNextTask(state, queue.head!, target)
  }
}

function isClaimedOnlyByGang (target: TargetState, job: Job): boolean {
  for (const task of target.tasks) {
    if (task.state === 'claimed' && task.job !== job) return false
  }
  return true
}

function findBackfillQueue (state: SchedulerState, target: TargetState, maxRunMs: number): ShapeQueue | undefined {
  let readCount = 0
  for (const shape of state.readiness.blockedShapes) {
    readCount += 1
    if (readCount > MAX_BACKFILL_QUEUES) return undefined
    const queue = findFairestQueue(shape)
    if (queue === undefined || (queue.workClass !== 'batch' && queue.workClass !== 'request')) continue
    if (!hasShortRuns(state, shape.family, maxRunMs) || !fitsBesideRunning(target, shape.booked)) continue
    if (state.fitsGrant(queue.team, shape.declared) && fits(shape.booked, target.target.capacity)) return queue
  }
  return undefined
}
