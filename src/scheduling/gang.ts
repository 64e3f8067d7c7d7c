import { fits, type Resources, scale } from '../model/resources.ts'
import { gangCapacity } from './admission.ts'
import { fitsBeside } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import { hasRoom } from './fleet.ts'
import { bookIndex, findTarget, sendStart, unbook } from './placement.ts'
import { type Job, takeIndex, type Task } from './task.ts'

/**
 * Starts all waiting tasks of a gang, or none.
 *
 * @example
 * if (!startGang(cell, job)) cell.block(queue, 'gang-waiting')
 */
export function startGang (cell: Cell, job: Job): boolean {
  const { queue } = job
  if (job.tasks.size > 0 || job.delayed.size > 0 || queue === undefined) return false
  const amount = memberAmount(cell, job)
  if (!mayFit(cell, job, amount)) return false
  const booked: Task[] = []
  while (job.pending > 0) {
    // The last target takes as many tasks as fit, which needs no further search and keeps the gang together.
    const last = booked.at(-1)?.target
    const target = last !== undefined && hasRoom(last, amount) ? last : findTarget(cell, job, amount)
    if (target === undefined) {
      for (const task of booked.reverse()) unbook(cell, task)
      return false
    }
    booked.push(bookIndex(cell, job, takeIndex(job)!, target, amount))
  }
  for (const task of booked) sendStart(cell, task)
  return true
}

/**
 * What each task of the gang books: the estimate, or the declared size when the gang could never be whole by the
 * estimate. It was accepted by its declared size, and a throttle bounds what it uses beyond that.
 */
export function memberAmount (cell: Cell, job: Job): Resources {
  const { booked, declared } = cell.shapeOf(job.work)
  return gangCapacity(booked, [...cell.fleet.classes.values()]) >= job.pending ? booked : declared
}

/** Whether the gang fits in the team's grant and in the sum of what is free; cheap, before any search. */
function mayFit (cell: Cell, job: Job, amount: Resources): boolean {
  const total = scale(amount, job.pending)
  const { capacity, booked } = cell.fleet
  return cell.fitsGrant(job.team, scale(job.work.resources, job.pending)) && fitsBeside(total, booked, capacity) && fits(total, capacity)
}
