import type { Demand } from '../job.ts'
import type { RunTimeModel } from '../run-times/run-time-model.ts'
import type { Queue } from '../settings/cell-configuration.ts'

/** What a job waits for that is beyond its organisation's share of submissions: it is served after all others. */
export type BeyondShare = {
  readonly waitMs: number
  /** Ratio of the organisation's jobs that would be beyond its share. */
  readonly ratio: number
  /** Time in which the share grows by one job, in milliseconds. */
  readonly intervalMs: number
}

/** How long a further job of a queue and an organisation would wait for room, where that is long. */
export type CompletionForecast = {
  readonly queue: string
  readonly organisation: string
  /** `maximum`: the organisation's maximum holds it up; `room`: the targets of the pool do. */
  readonly cause: 'maximum' | 'room'
  readonly waitMs: number
  /** What such jobs may use at a time; 0 in a field: no limit. */
  readonly rate: Demand
  /** Number of members, each of which tells refused callers when to come back. */
  readonly members: number
  /** Whether the newest of these jobs go first, so that the wait is not that of each of them. */
  readonly newestFirst?: boolean
  /** Missing if the organisation submits no more than its share. */
  readonly beyondShare?: BeyondShare
  readonly objective: Pick<Queue, 'stretch' | 'latencyObjectiveMs'>
  /** Estimate of the run times of the queue; missing while the declared ones count. */
  readonly runTimes?: RunTimeModel
}

/** Whether a value that the leader has sent is a forecast. */
export function isCompletionForecast (value: unknown): value is CompletionForecast {
  if (!isObject(value) || !isObject(value.rate) || !isObject(value.objective)) return false
  const { rate, objective, beyondShare } = value
  return typeof value.queue === 'string' && typeof value.organisation === 'string' &&
    [value.waitMs, rate.cpuMillis, rate.memoryMiB, rate.accelerators, objective.stretch, objective.latencyObjectiveMs].every(isAmount) &&
    isAmount(value.members) && value.members >= 1 && (value.newestFirst === undefined || typeof value.newestFirst === 'boolean') &&
    (beyondShare === undefined || isBeyondShare(beyondShare)) && (value.runTimes === undefined || isRunTimeModel(value.runTimes))
}

function isBeyondShare (value: unknown): value is BeyondShare {
  return isObject(value) && [value.waitMs, value.ratio, value.intervalMs].every(isAmount)
}

function isRunTimeModel (value: unknown): value is RunTimeModel {
  return isObject(value) && [value.interceptMs, value.slope, value.minDeclaredMs, value.maxDeclaredMs, value.floorMs].every(Number.isFinite)
}

function isAmount (value: unknown): value is number {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0
}

function isObject (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
