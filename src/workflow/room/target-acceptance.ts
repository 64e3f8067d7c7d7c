import type { CellState } from '../cell-state.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'

/** Whether a target accepts new tasks at all. */
export function acceptsWork (state: CellState, target: TargetState): boolean {
  return target.reachable && !target.listUnanswered && target.listed && target.published && !state.silentTargets.isPromised(target.id) && !target.spare && !target.awaitsEntry && target.unknownRunCount === 0 && !target.entry.draining &&
    target.pausedUntil <= state.now && !state.evacuatedDomains.has(target.entry.failureDomain) && state.storedTargets.has(target.id)
}

/** Whether the label and the whole capacity of a target suit the step, whatever runs on it. Its pool is not checked. */
export function isSuitable ({ entry }: TargetState, { spec }: StepRun): boolean {
  if (spec.requiredLabel !== undefined && !entry.labels.includes(spec.requiredLabel)) return false
  const { demand } = spec
  return demand.memoryMiB <= entry.capacity.memoryMiB && demand.accelerators <= entry.capacity.accelerators &&
    (spec.fills || demand.cpuMillis <= entry.capacity.cpuMillis)
}

/** Whether a target has free capacity for one task of the step. Advice is not checked. */
export function hasFreeCapacity ({ entry: { capacity }, booked }: TargetState, { spec: { demand, fills } }: StepRun): boolean {
  if (!fills && booked.cpuMillis + demand.cpuMillis > capacity.cpuMillis) return false
  return booked.memoryMiB + demand.memoryMiB <= capacity.memoryMiB && booked.accelerators + demand.accelerators <= capacity.accelerators
}

/** Whether more is booked on a target than its capacity, which may have shrunk since. */
export function isOverCapacity (target: TargetState): boolean {
  const free = target.getFreeCapacity()
  return free.cpuMillis < 0 || free.memoryMiB < 0 || free.accelerators < 0
}

/** Counts the tasks of the step that fit a target. Advice is not checked. */
export function countFreeSlots (target: TargetState, { spec }: StepRun): number {
  const { demand } = spec
  const free = target.getFreeCapacity()
  const limit = spec.perTargetLimit === 0 ? Infinity : spec.perTargetLimit
  const byCpu = spec.fills ? Infinity : countSlots(free.cpuMillis, demand.cpuMillis)
  return Math.min(limit, byCpu, countSlots(free.memoryMiB, demand.memoryMiB), countSlots(free.accelerators, demand.accelerators))
}

function countSlots (free: number, demand: number): number {
  return demand === 0 ? Infinity : Math.floor(free / demand)
}
