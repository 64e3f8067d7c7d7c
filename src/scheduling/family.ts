import type { Work } from '../model/work.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { TaskCompletion } from './event.ts'
import type { TargetState } from './fleet.ts'
import type { Task } from './task.ts'

/** Maximum number of families kept; the oldest is removed. */
const MAX_FAMILIES = 10_000
/** Maximum number of targets for which the last outcome of a family is kept. */
const MAX_TARGETS_PER_FAMILY = 64
/** Minimum weight of a new run in the average run time. */
const MIN_RUN_WEIGHT_RATIO = 0.1
/** Number of measured runs from which on the average is used. */
export const MIN_MEASURED_RUNS = 5
/** Ratio of the declared run time used without measurements: declared run times may be ten times too long. */
const DECLARED_RUN_RATIO = 0.1
/** Ratio of the average run time used as the estimate, because some runs are shorter than the average. */
const AVERAGE_RUN_RATIO = 0.8
/** Minimum number of targets on which a family must have failed before its failures stop counting against targets. */
const MIN_FAILED_TARGETS = 3

/** Measured run times and outcomes of one job family. */
export type Family = {
  averageRunMs: number
  runs: number
  /** Whether the last run on each target succeeded; the most recent entry is last. */
  readonly outcomes: Map<TargetState, boolean>
  failedTargets: number
}

/** Returns the family with the name; creates it when it is unknown. */
export function getOrCreateFamily (state: SchedulerState, name: string): Family {
  const known = state.families.get(name)
  if (known !== undefined) return known
  const family = { averageRunMs: 0, runs: 0, outcomes: new Map(), failedTargets: 0 }
  state.families.set(name, family)
  if (state.families.size > MAX_FAMILIES) state.families.delete(state.families.keys().next().value!)
  return family
}

/** Records the run time of a task that succeeded. */
export function recordRunTime (state: SchedulerState, task: Task, completion: TaskCompletion): void {
  if (completion !== 'succeeded') return
  const family = getOrCreateFamily(state, task.job.work.family)
  const runMs = state.now - task.startedAt
  family.runs += 1
  const weight = Math.max(MIN_RUN_WEIGHT_RATIO, 1 / family.runs)
  family.averageRunMs += (runMs - family.averageRunMs) * weight
}

/** Records whether a task of the family succeeded on the target. */
export function recordFamilyOutcome (family: Family, target: TargetState, succeeded: boolean): void {
  removeOutcome(family, target)
  family.outcomes.set(target, succeeded)
  if (!succeeded) family.failedTargets += 1
  if (family.outcomes.size > MAX_TARGETS_PER_FAMILY) removeOutcome(family, family.outcomes.keys().next().value!)
}

function removeOutcome (family: Family, target: TargetState): void {
  if (family.outcomes.get(target) === false) family.failedTargets -= 1
  family.outcomes.delete(target)
}

/**
 * Whether the family fails on most of the targets on which it ran, so that its failures do not indicate a faulty target.
 * Targets are counted instead of runs, because a target on which every task fails at once gets many runs.
 */
export function failsOnMostTargets (family: Family): boolean {
  return family.failedTargets >= MIN_FAILED_TARGETS && family.failedTargets * 2 > family.outcomes.size
}

/** Estimates the run time, low enough that no request is refused because of a wrong declaration. */
export function estimateRunMs (state: SchedulerState, work: Work): number {
  const family = state.families.get(work.family)
  if (family !== undefined && family.runs >= MIN_MEASURED_RUNS) return family.averageRunMs * AVERAGE_RUN_RATIO
  return work.expectedMs * DECLARED_RUN_RATIO
}
