import type { TargetId } from '../model/ids.ts'
import { fits, type Resources } from '../model/resources.ts'
import type { TaskUsage } from '../model/target.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { TargetState } from './fleet.ts'
import { preemptTask } from './preemption.ts'
import { formatShapeKey } from './shape.ts'
import type { Task } from './task.ts'

/** Factor by which a booking exceeds the measured peak, because reports are late and noisy. */
const PEAK_MARGIN_FACTOR = 1.1
/** Number of measured tasks from which on less than the declared size may be booked. */
const MIN_MEASURED_TASKS = 10
/** A measured peak counts for one to two windows of this length. */
const PEAK_WINDOW_MS = 1_800_000
/** Maximum number of estimates; the oldest is removed. */
const MAX_ESTIMATES = 20_000
/** Relative change of an estimate from which on bookings are updated. */
const MIN_BOOKING_CHANGE_RATIO = 0.05
/** Time that a throttled task has to release memory before it is evicted. */
const THROTTLE_GRACE_MS = 5000

/** Largest measured usage of one task. */
type PeakUsage = { cpuMillis: number, memoryMiB: number }

/** Measured usage of the tasks of one shape: the same family and declared size. */
export type Estimate = {
  readonly declared: Resources
  booked: Resources
  /** Peaks in the current and in the previous window. */
  currentPeak: PeakUsage
  previousPeak: PeakUsage
  windowStartedAt: number
  measuredTasks: number
}

/** Handles a target's usage report: updates estimates and bookings, and throttles or evicts a task when the target is overused. */
export function handleUsageReport (state: SchedulerState, targetId: TargetId, usage: readonly TaskUsage[]): void {
  const target = state.fleet.targets.get(targetId)
  if (target === undefined) return
  for (const { taskId, resources } of usage) {
    const task = state.tasks.get(taskId)
    if (task === undefined || task.target !== target || task.state === 'claimed') continue
    recordTaskUsage(state, task, resources)
  }
  reduceOveruse(state, target)
}

function recordTaskUsage (state: SchedulerState, task: Task, usage: Resources): void {
  const estimate = getOrCreateEstimate(state, task)
  if (task.usage === undefined) estimate.measuredTasks += 1
  task.usage = usage
  rotateWindow(state, estimate)
  estimate.currentPeak.cpuMillis = Math.max(estimate.currentPeak.cpuMillis, usage.cpuMillis)
  estimate.currentPeak.memoryMiB = Math.max(estimate.currentPeak.memoryMiB, usage.memoryMiB)
  updateBooking(state, task, estimate)
  const needed = addMargin(usage)
  if (needed.cpuMillis > task.booked.cpuMillis || needed.memoryMiB > task.booked.memoryMiB) {
    const increased = limitToLargestTarget(state, { ...task.booked, cpuMillis: Math.max(task.booked.cpuMillis, needed.cpuMillis), memoryMiB: Math.max(task.booked.memoryMiB, needed.memoryMiB) }, task.job.work.resources)
    state.changeBooking(task, increased)
  }
}

function getOrCreateEstimate (state: SchedulerState, task: Task): Estimate {
  const { work } = task.job
  const key = formatShapeKey(work)
  const known = state.estimates.get(key)
  if (known !== undefined) return known
  const estimate: Estimate = {
    declared: work.resources,
    booked: work.resources,
    currentPeak: { cpuMillis: 0, memoryMiB: 0 },
    previousPeak: { cpuMillis: 0, memoryMiB: 0 },
    windowStartedAt: state.now,
    measuredTasks: 0
  }
  state.estimates.set(key, estimate)
  if (state.estimates.size > MAX_ESTIMATES) state.estimates.delete(state.estimates.keys().next().value!)
  return estimate
}

function rotateWindow (state: SchedulerState, estimate: Estimate): void {
  if (state.now - estimate.windowStartedAt < PEAK_WINDOW_MS) return
  estimate.previousPeak = estimate.currentPeak
  estimate.currentPeak = { cpuMillis: 0, memoryMiB: 0 }
  estimate.windowStartedAt = state.now
}

/** Updates what new tasks of the shape book when the estimate differs enough from the current booking. */
function updateBooking (state: SchedulerState, task: Task, estimate: Estimate): void {
  const next = computeBooking(state, estimate)
  if (!differsEnough(next.cpuMillis, estimate.booked.cpuMillis) && !differsEnough(next.memoryMiB, estimate.booked.memoryMiB)) return
  estimate.booked = next
  const shape = state.shapes.get(formatShapeKey(task.job.work))
  if (shape === undefined) return
  shape.booked = next
  state.readiness.retryShape(shape)
}

function differsEnough (next: number, current: number): boolean {
  return Math.abs(next - current) > MIN_BOOKING_CHANGE_RATIO * current
}

/**
 * Computes what new tasks of the shape book: more than declared as soon as a peak exceeds the declared size, less than
 * declared only after enough tasks were measured. The result is at least the peak with its margin and at least the
 * configured ratio of the declared size, but at most the capacity of the largest suitable target.
 */
function computeBooking (state: SchedulerState, { declared, currentPeak, previousPeak, measuredTasks }: Estimate): Resources {
  const needed = addMargin({
    cpuMillis: Math.max(currentPeak.cpuMillis, previousPeak.cpuMillis),
    memoryMiB: Math.max(currentPeak.memoryMiB, previousPeak.memoryMiB)
  })
  const minRatio = measuredTasks >= MIN_MEASURED_TASKS ? state.options.minBookedRatio : 1
  return limitToLargestTarget(state, {
    ...declared,
    cpuMillis: Math.max(needed.cpuMillis, Math.ceil(declared.cpuMillis * minRatio)),
    memoryMiB: Math.max(needed.memoryMiB, Math.ceil(declared.memoryMiB * minRatio))
  }, declared)
}

function addMargin ({ cpuMillis, memoryMiB }: PeakUsage): PeakUsage {
  return { cpuMillis: Math.ceil(cpuMillis * PEAK_MARGIN_FACTOR), memoryMiB: Math.ceil(memoryMiB * PEAK_MARGIN_FACTOR) }
}

/** Limits an increased booking to the largest target on which the declared size fits, so that the work can still start. */
function limitToLargestTarget (state: SchedulerState, wanted: Resources, declared: Resources): Resources {
  let cpuMillis = declared.cpuMillis
  let memoryMiB = declared.memoryMiB
  for (const { capacity } of state.fleet.capacityClasses.values()) {
    if (!fits(declared, capacity) || capacity.memoryMiB < memoryMiB) continue
    cpuMillis = capacity.cpuMillis
    memoryMiB = capacity.memoryMiB
  }
  return { ...wanted, cpuMillis: Math.min(wanted.cpuMillis, cpuMillis), memoryMiB: Math.min(wanted.memoryMiB, memoryMiB) }
}

/** Throttles the task that exceeds its declared size most on an overused target; evicts it when memory stays overused. */
function reduceOveruse (state: SchedulerState, target: TargetState): void {
  const { capacity } = target.target
  let cpuMillis = 0
  let memoryMiB = 0
  for (const { usage } of target.tasks) {
    cpuMillis += usage?.cpuMillis ?? 0
    memoryMiB += usage?.memoryMiB ?? 0
  }
  if (cpuMillis <= capacity.cpuMillis && memoryMiB <= capacity.memoryMiB) return
  const overusing = findMostOverusing(target)
  if (overusing === undefined) return
  if (overusing.throttledAt === undefined) throttleTask(state, overusing)
  else if (memoryMiB > capacity.memoryMiB && canEvict(state, overusing)) preemptTask(state, overusing, 'over-usage')
}

function findMostOverusing (target: TargetState): Task | undefined {
  let found: Task | undefined
  let largestExcess = 0
  for (const task of target.tasks) {
    const excess = task.state === 'stopping' ? 0 : computeExcess(task)
    if (excess <= largestExcess) continue
    largestExcess = excess
    found = task
  }
  return found
}

/** Computes by how much the usage exceeds the declared size, as a fraction of the target's capacity. */
function computeExcess ({ usage, job: { work: { resources } }, target: { target: { capacity } } }: Task): number {
  if (usage === undefined) return 0
  return Math.max((usage.cpuMillis - resources.cpuMillis) / capacity.cpuMillis, (usage.memoryMiB - resources.memoryMiB) / capacity.memoryMiB)
}

function throttleTask (state: SchedulerState, task: Task): void {
  task.throttledAt = state.now
  state.emit({ type: 'throttle', taskId: task.id, targetId: task.target.id })
  state.emitCount('throttled', 'over-usage')
}

function canEvict (state: SchedulerState, task: Task): boolean {
  return state.now - task.throttledAt! >= THROTTLE_GRACE_MS && task.preemptible === true
}
