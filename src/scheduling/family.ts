import type { Work } from '../model/work.ts'
import type { Cell } from './scheduler-state.ts'
import type { TaskEnd } from './event.ts'
import type { TargetState } from './fleet.ts'
import type { Task } from './task.ts'

/** Families remembered; the one unused longest is forgotten. */
const FAMILIES_KEPT = 10_000
/** Targets remembered of each family with the last outcome there. */
const TARGETS_KEPT = 64
/** Weight of one more run in the average run time. */
const RUN_WEIGHT = 0.1
/** Runs from which on the average is used. */
export const RUNS_NEEDED = 5
/** Declared run times may be ten times too long, so a forecast without measurements takes a tenth. */
const DECLARED_PART = 0.1
/** Part of the average run time that a forecast takes, because some runs are shorter. */
const AVERAGE_PART = 0.8
/** Targets on which a family must have failed before it is taken to fail everywhere. */
const FAILED_TARGETS_NEEDED = 3

/** What is known of the runs of one job family. */
export type Family = {
  averageRunMs: number
  runs: number
  /** Last outcome on each target, the latest last. */
  readonly outcomes: Map<TargetState, boolean>
  failedTargets: number
}

/** The family of the name, which is created when it is unknown. */
export function familyOf (cell: Cell, name: string): Family {
  const known = cell.families.get(name)
  if (known !== undefined) return known
  const family = { averageRunMs: 0, runs: 0, outcomes: new Map(), failedTargets: 0 }
  cell.families.set(name, family)
  if (cell.families.size > FAMILIES_KEPT) cell.families.delete(cell.families.keys().next().value!)
  return family
}

/** Notes the run time of an ended task. */
export function noteRun (cell: Cell, task: Task, end: TaskEnd): void {
  if (end !== 'succeeded') return
  const family = familyOf(cell, task.job.work.family)
  const runMs = cell.now - task.startedAt
  family.runs += 1
  const weight = Math.max(RUN_WEIGHT, 1 / family.runs)
  family.averageRunMs += (runMs - family.averageRunMs) * weight
}

/** Notes whether the family ran well on the target. */
export function noteFamilyOutcome (family: Family, target: TargetState, succeeded: boolean): void {
  forgetOutcome(family, target)
  family.outcomes.set(target, succeeded)
  if (!succeeded) family.failedTargets += 1
  if (family.outcomes.size > TARGETS_KEPT) forgetOutcome(family, family.outcomes.keys().next().value!)
}

function forgetOutcome (family: Family, target: TargetState): void {
  if (family.outcomes.get(target) === false) family.failedTargets -= 1
  family.outcomes.delete(target)
}

/**
 * Whether the family fails on most of the targets that it ran on, which says nothing about any of them. Targets are
 * counted, not runs: a target that fails everything at once attracts many runs.
 */
export function failsEverywhere (family: Family): boolean {
  return family.failedTargets >= FAILED_TARGETS_NEEDED && family.failedTargets * 2 > family.outcomes.size
}

/** Forecast of the run time, low enough that no request is dropped for a wrong declaration. */
export function runMs (cell: Cell, work: Work): number {
  const family = cell.families.get(work.family)
  if (family !== undefined && family.runs >= RUNS_NEEDED) return family.averageRunMs * AVERAGE_PART
  return work.expectedMs * DECLARED_PART
}
