import { getUsage, isUrgent } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { Demand } from '../job.ts'
import { addDemands } from '../job.ts'
import type { StepRun } from '../task.ts'

/** Ratio of an organisation's maximum that jobs beyond its share of submissions, urgent jobs and other jobs may use. */
const USABLE_MAXIMUM_RATIO = { exceedsShare: 0.6, urgent: 1, nonUrgent: 0.85 } as const

/** `reserved`: only the part of the maximum that is reserved for other jobs has room. `exceeded`: the maximum has no room. */
export type MaximumCheck = 'within' | 'reserved' | 'exceeded'

/**
 * Checks whether the organisation of the step may start tasks with this total demand, which is that of one task or of a
 * gang.
 */
export function checkMaximum (state: CellState, step: StepRun, demand: Demand): MaximumCheck {
  const { job, spec } = step
  const { organisation } = job.definition
  const maximum = state.organisations.find(organisation)?.maximum
  if (maximum === undefined) return 'within'
  if (state.preemption.keepsMaximumFrom(state, step)) return 'reserved'
  const usage = addDemands(getUsage(state, organisation), state.uncertainUsage)
  if (fitsLimit(usage, demand, scaleDemand(maximum, getUsableRatio(job.exceedsShare, isUrgent(state, job.definition))))) return 'within'
  // Whether the job is idle comes last, because that examines all of its tasks.
  if (isLessThanHalf(usage, maximum) && fitsLimit(usage, demand, addToLimit(maximum, spec.demand)) && step.isIdle) return 'within'
  if (!fitsLimit(usage, demand, maximum)) return 'exceeded'
  return isOnlyBatchJob(state, step) ? 'within' : 'reserved'
}

/** Ratio of the organisation's maximum that a job may use. Non-urgent jobs leave a reserve for urgent ones. */
export function getUsableRatio (exceedsShare: boolean, urgent: boolean): number {
  if (exceedsShare) return USABLE_MAXIMUM_RATIO.exceedsShare
  return urgent ? USABLE_MAXIMUM_RATIO.urgent : USABLE_MAXIMUM_RATIO.nonUrgent
}

/** Whether a demand fits a limit. A single task fits even if it exceeds the whole limit. */
function fitsLimit (usage: Demand, demand: Demand, limit: Demand): boolean {
  return fitsAmount(usage.cpuMillis, demand.cpuMillis, limit.cpuMillis) &&
    fitsAmount(usage.memoryMiB, demand.memoryMiB, limit.memoryMiB) &&
    fitsAmount(usage.accelerators, demand.accelerators, limit.accelerators)
}

/** A limit of 0 means none. */
function fitsAmount (used: number, requested: number, limit: number): boolean {
  return limit === 0 || requested === 0 || used === 0 || used + requested <= limit
}

/**
 * Whether an organisation uses less than half of its maximum. It then starts an idle job even if that takes the reserve, or
 * exceeds the maximum by less than one task: what runs may last, and the job would wait for good.
 */
function isLessThanHalf (usage: Demand, maximum: Demand): boolean {
  const isLess = (used: number, limit: number): boolean => limit === 0 || used < limit / 2
  return isLess(usage.cpuMillis, maximum.cpuMillis) && isLess(usage.memoryMiB, maximum.memoryMiB) && isLess(usage.accelerators, maximum.accelerators)
}

/**
 * Whether the step ends and no other such work of its organisation runs. It may use the reserve then: beside tasks that last
 * there might never be room for it otherwise, and urgent jobs wait for one task or gang at most.
 */
function isOnlyBatchJob (state: CellState, { spec, job }: StepRun): boolean {
  return !spec.longRunning && (state.batchRuns.get(job.definition.organisation) ?? 0) === 0
}

function scaleDemand ({ cpuMillis, memoryMiB, accelerators }: Demand, ratio: number): Demand {
  return { cpuMillis: cpuMillis * ratio, memoryMiB: memoryMiB * ratio, accelerators: accelerators * ratio }
}

/** Adds a demand to a limit, in which 0 means none. */
function addToLimit (limit: Demand, demand: Demand): Demand {
  const add = (amount: number, more: number): number => amount === 0 ? 0 : amount + more
  return { cpuMillis: add(limit.cpuMillis, demand.cpuMillis), memoryMiB: add(limit.memoryMiB, demand.memoryMiB), accelerators: add(limit.accelerators, demand.accelerators) }
}
