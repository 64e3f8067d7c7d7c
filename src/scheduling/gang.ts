import { fits, type Resources, scale } from '../model/resources.ts'
import { computeGangCapacity } from './admission.ts'
import { fitsWithinLimit } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { hasFreeCapacity } from './fleet.ts'
import { bookTaskAtIndex, findTarget, startTask, cancelBooking } from './placement.ts'
import { type Job, dequeueIndex, type Task } from './task.ts'

/**
 * Starts all waiting tasks of a gang, or none.
 *
 * @example
 * if (!startGang(state, job)) state.readiness.block(queue, 'gang-waiting')
 */
export function startGang (state: SchedulerState, job: Job): boolean {
  const { queue } = job
  if (job.tasks.size > 0 || job.delayedIndices.size > 0 || queue === undefined) return false
  const amount = getGangTaskAmount(state, job)
  if (!mightFit(state, job, amount)) return false
  const booked: Task[] = []
  while (job.pendingCount > 0) {
    // As many tasks as fit are booked on the same target, which needs no further search and keeps the gang together.
    const last = booked.at(-1)?.target
    const target = last !== undefined && hasFreeCapacity(last, amount) ? last : findTarget(state, job, amount)
    if (target === undefined) {
      for (const task of booked.reverse()) cancelBooking(state, task)
      return false
    }
    booked.push(bookTaskAtIndex(state, job, dequeueIndex(job)!, target, amount))
  }
  for (const task of booked) startTask(state, task)
  return true
}

/**
 * Returns what each task of the gang books: the estimate, or the declared size if the whole gang could never fit with
 * the estimate. The gang was accepted by its declared size, and throttling limits its usage beyond that.
 */
export function getGangTaskAmount (state: SchedulerState, job: Job): Resources {
  const { booked, declared } = state.getOrCreateShape(job.work)
  return computeGangCapacity(booked, [...state.fleet.capacityClasses.values()]) >= job.pendingCount ? booked : declared
}

/** Whether the gang fits in the team's grant and in the total free capacity; a cheap check before any search. */
function mightFit (state: SchedulerState, job: Job, amount: Resources): boolean {
  const total = scale(amount, job.pendingCount)
  const { capacity, booked } = state.fleet
  return state.fitsGrant(job.team, scale(job.work.resources, job.pendingCount)) && fitsWithinLimit(total, booked, capacity) && fits(total, capacity)
}
