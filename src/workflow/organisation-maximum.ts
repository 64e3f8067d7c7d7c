import { getUsage, isUrgent } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { Demand } from './job.ts'
import { addDemands } from './job.ts'
import type { Job } from './task.ts'

/** Ratio of an organisation's maximum that jobs beyond its share of submissions, urgent jobs and other jobs may use. */
const USABLE_MAXIMUM_RATIO = { exceedsShare: 0.6, urgent: 1, nonUrgent: 0.85 } as const

/** `reserved`: only the part of the maximum that is reserved for other jobs has room. `exceeded`: the maximum has no room. */
export type MaximumCheck = 'within' | 'reserved' | 'exceeded'

/** Checks whether the organisation of the job may start tasks with this total demand. */
export function checkMaximum (state: CellState, job: Job, demand: Demand): MaximumCheck {
  const { organisation } = job.definition
  const maximum = state.organisations.get(organisation)?.maximum
  if (maximum === undefined) return 'within'
  const usage = addDemands(getUsage(state, organisation), state.uncertainUsage)
  if (fitsMaximum(usage, demand, maximum, getUsableRatio(state, job))) return 'within'
  return fitsMaximum(usage, demand, maximum, 1) ? 'reserved' : 'exceeded'
}

/** Ratio of the organisation's maximum that the job may use. Non-urgent jobs leave a reserve for urgent ones. */
function getUsableRatio (state: CellState, job: Job): number {
  if (job.exceedsShare) return USABLE_MAXIMUM_RATIO.exceedsShare
  return isUrgent(state, job.definition) ? USABLE_MAXIMUM_RATIO.urgent : USABLE_MAXIMUM_RATIO.nonUrgent
}

function fitsMaximum (usage: Demand, demand: Demand, maximum: Demand, ratio: number): boolean {
  return fitsAmount(usage.cpuMillis, demand.cpuMillis, maximum.cpuMillis * ratio) &&
    fitsAmount(usage.memoryMiB, demand.memoryMiB, maximum.memoryMiB * ratio) &&
    fitsAmount(usage.accelerators, demand.accelerators, maximum.accelerators * ratio)
}

/** Whether a requested amount fits a limit; 0 means no limit. A single task fits even if it exceeds the whole limit. */
function fitsAmount (used: number, requested: number, limit: number): boolean {
  return limit === 0 || requested === 0 || used === 0 || used + requested <= limit
}
