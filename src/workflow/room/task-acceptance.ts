import { findQueue, isUrgent } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { NON_URGENT_CAPACITY_RATIO, getOpenTargets } from './open-targets.ts'
import { acceptsWork, hasFreeCapacity } from './target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'

/** Whether the target accepts one more task of the step now. Advice is not checked. */
export function acceptsTaskOf (state: CellState, target: TargetState, step: StepRun): boolean {
  return hasFreeCapacity(target, step) && acceptsWork(state, target) && isWithinPerTargetLimit(target, step) &&
    !state.preemption.keepsTargetFrom(state, target, step) && (isWithinNonUrgentCapacity(target, step) || mayUseReserve(state, step))
}

/**
 * Whether a task of the step leaves the reserve for urgent tasks on the target. A single non-urgent task is accepted even if
 * it uses the reserve.
 */
function isWithinNonUrgentCapacity (target: TargetState, { spec }: StepRun): boolean {
  const { capacity } = target.entry
  const { cpuMillis, memoryMiB } = target.bookedNonUrgent
  const cpuFits = spec.fills || cpuMillis === 0 || cpuMillis + spec.demand.cpuMillis <= capacity.cpuMillis * NON_URGENT_CAPACITY_RATIO
  return cpuFits && (memoryMiB === 0 || memoryMiB + spec.demand.memoryMiB <= capacity.memoryMiB * NON_URGENT_CAPACITY_RATIO)
}

/** Whether one more task of the step would use what is kept for urgent tasks on the target. */
export function usesReserve (state: CellState, target: TargetState, step: StepRun): boolean {
  return !isUrgent(state, step.job.definition) && !isWithinNonUrgentCapacity(target, step)
}

/** Whether the target has room for one more task of the step only in what is kept for urgent tasks. */
export function hasReservedRoom (state: CellState, target: TargetState, step: StepRun): boolean {
  return hasFreeCapacity(target, step) && acceptsWork(state, target) && isWithinPerTargetLimit(target, step) && !acceptsTaskOf(state, target, step)
}

function mayUseReserve (state: CellState, step: StepRun): boolean {
  const { definition } = step.job
  return isUrgent(state, definition) || getOpenTargets(state, findQueue(state, definition)?.pool).mayUseReserve(state, step)
}

/** Whether the target has fewer runs of the step than its limit for one target. */
function isWithinPerTargetLimit (target: TargetState, step: StepRun): boolean {
  const limit = step.spec.perTargetLimit
  if (limit === 0) return true
  let runCount = 0
  for (const live of target.runs.values()) {
    if (live.task.step === step) runCount += 1
  }
  return runCount < limit
}
