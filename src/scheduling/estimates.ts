import type { TargetId } from '../model/ids.ts'
import { fits, type Resources } from '../model/resources.ts'
import type { TaskUsage } from '../model/target.ts'
import type { Cell } from './scheduler-state.ts'
import type { TargetState } from './fleet.ts'
import { stopToYield } from './preemption.ts'
import { shapeKey } from './shape.ts'
import type { Task } from './task.ts'

/** What is booked above the measured peak. Reports lag and are noisy. */
const MARGIN = 1.1
/** Tasks that must have been measured before less than the declared size is booked. */
const TASKS_NEEDED = 10
/** A peak counts for one to two windows after it was measured. */
const WINDOW_MS = 1_800_000
/** Estimates kept; the oldest is forgotten. */
const ESTIMATES_KEPT = 20_000
/** Relative change from which on a booking follows its estimate. */
const CHANGE_NEEDED = 0.05
/** Time that a throttled task has to give memory back before it is evicted. */
const THROTTLE_GRACE_MS = 5000

type Peak = { cpuMillis: number, memoryMiB: number }

/** Measured usage of the tasks of one family and declared size. */
export type Estimate = {
  readonly declared: Resources
  booked: Resources
  /** Peaks in the present and in the last window. */
  present: Peak
  last: Peak
  windowAt: number
  tasks: number
}

/** Takes a target's report of usage: renews estimates and bookings, and throttles or evicts when the target is overused. */
export function noteUsage (cell: Cell, targetId: TargetId, usage: readonly TaskUsage[]): void {
  const target = cell.fleet.targets.get(targetId)
  if (target === undefined) return
  for (const { taskId, resources } of usage) {
    const task = cell.tasks.get(taskId)
    if (task === undefined || task.target !== target || task.state === 'claimed') continue
    measure(cell, task, resources)
  }
  relieve(cell, target)
}

function measure (cell: Cell, task: Task, usage: Resources): void {
  const estimate = estimateOf(cell, task)
  if (task.usage === undefined) estimate.tasks += 1
  task.usage = usage
  rotate(cell, estimate)
  estimate.present.cpuMillis = Math.max(estimate.present.cpuMillis, usage.cpuMillis)
  estimate.present.memoryMiB = Math.max(estimate.present.memoryMiB, usage.memoryMiB)
  follow(cell, task, estimate)
  const needed = withMargin(usage)
  if (needed.cpuMillis > task.booked.cpuMillis || needed.memoryMiB > task.booked.memoryMiB) {
    const raised = bounded(cell, { ...task.booked, cpuMillis: Math.max(task.booked.cpuMillis, needed.cpuMillis), memoryMiB: Math.max(task.booked.memoryMiB, needed.memoryMiB) }, task.job.work.resources)
    cell.rebook(task, raised)
  }
}

function estimateOf (cell: Cell, task: Task): Estimate {
  const { work } = task.job
  const key = shapeKey(work)
  const known = cell.estimates.get(key)
  if (known !== undefined) return known
  const estimate: Estimate = {
    declared: work.resources,
    booked: work.resources,
    present: { cpuMillis: 0, memoryMiB: 0 },
    last: { cpuMillis: 0, memoryMiB: 0 },
    windowAt: cell.now,
    tasks: 0
  }
  cell.estimates.set(key, estimate)
  if (cell.estimates.size > ESTIMATES_KEPT) cell.estimates.delete(cell.estimates.keys().next().value!)
  return estimate
}

function rotate (cell: Cell, estimate: Estimate): void {
  if (cell.now - estimate.windowAt < WINDOW_MS) return
  estimate.last = estimate.present
  estimate.present = { cpuMillis: 0, memoryMiB: 0 }
  estimate.windowAt = cell.now
}

/** Books new starts of the family by the estimate, once it differs enough from the present booking. */
function follow (cell: Cell, task: Task, estimate: Estimate): void {
  const next = bookingFor(cell, estimate)
  if (!differs(next.cpuMillis, estimate.booked.cpuMillis) && !differs(next.memoryMiB, estimate.booked.memoryMiB)) return
  estimate.booked = next
  const shape = cell.shapes.get(shapeKey(task.job.work))
  if (shape === undefined) return
  shape.booked = next
  cell.reopen(shape)
}

function differs (next: number, present: number): boolean {
  return Math.abs(next - present) > CHANGE_NEEDED * present
}

/**
 * More than declared as soon as a peak shows it; less than declared only after enough tasks, never less than the
 * measured peak with its margin, and never less than the set part of the declared size.
 */
function bookingFor (cell: Cell, { declared, present, last, tasks }: Estimate): Resources {
  const needed = withMargin({
    cpuMillis: Math.max(present.cpuMillis, last.cpuMillis),
    memoryMiB: Math.max(present.memoryMiB, last.memoryMiB)
  })
  const leastPart = tasks >= TASKS_NEEDED ? cell.options.leastBookedPart : 1
  return bounded(cell, {
    ...declared,
    cpuMillis: Math.max(needed.cpuMillis, Math.ceil(declared.cpuMillis * leastPart)),
    memoryMiB: Math.max(needed.memoryMiB, Math.ceil(declared.memoryMiB * leastPart))
  }, declared)
}

function withMargin ({ cpuMillis, memoryMiB }: Peak): Peak {
  return { cpuMillis: Math.ceil(cpuMillis * MARGIN), memoryMiB: Math.ceil(memoryMiB * MARGIN) }
}

/** Keeps a raised booking within the largest target that the declared size fits, so that the work can still start. */
function bounded (cell: Cell, wanted: Resources, declared: Resources): Resources {
  let cpuMillis = declared.cpuMillis
  let memoryMiB = declared.memoryMiB
  for (const { capacity } of cell.fleet.classes.values()) {
    if (!fits(declared, capacity) || capacity.memoryMiB < memoryMiB) continue
    cpuMillis = capacity.cpuMillis
    memoryMiB = capacity.memoryMiB
  }
  return { ...wanted, cpuMillis: Math.min(wanted.cpuMillis, cpuMillis), memoryMiB: Math.min(wanted.memoryMiB, memoryMiB) }
}

/** Throttles the task furthest above its declared size on an overused target; evicts it when memory stays overused. */
function relieve (cell: Cell, target: TargetState): void {
  const { capacity } = target.target
  let cpuMillis = 0
  let memoryMiB = 0
  for (const { usage } of target.tasks) {
    cpuMillis += usage?.cpuMillis ?? 0
    memoryMiB += usage?.memoryMiB ?? 0
  }
  if (cpuMillis <= capacity.cpuMillis && memoryMiB <= capacity.memoryMiB) return
  const worst = furthestAbove(target)
  if (worst === undefined) return
  if (worst.throttledAt === undefined) throttle(cell, worst)
  else if (memoryMiB > capacity.memoryMiB && mayEvict(cell, worst)) stopToYield(cell, worst, 'over-usage')
}

function furthestAbove (target: TargetState): Task | undefined {
  let worst: Task | undefined
  let most = 0
  for (const task of target.tasks) {
    const excess = task.state === 'stopping' ? 0 : excessOf(task)
    if (excess <= most) continue
    most = excess
    worst = task
  }
  return worst
}

/** How far the usage is above the declared size, as a part of the target's capacity. */
function excessOf ({ usage, job: { work: { resources } }, target: { target: { capacity } } }: Task): number {
  if (usage === undefined) return 0
  return Math.max((usage.cpuMillis - resources.cpuMillis) / capacity.cpuMillis, (usage.memoryMiB - resources.memoryMiB) / capacity.memoryMiB)
}

function throttle (cell: Cell, task: Task): void {
  task.throttledAt = cell.now
  cell.emit({ type: 'throttle', taskId: task.id, targetId: task.target.id })
  cell.count('throttled', 'over-usage')
}

function mayEvict (cell: Cell, task: Task): boolean {
  return cell.now - task.throttledAt! >= THROTTLE_GRACE_MS && task.yielding === true
}
