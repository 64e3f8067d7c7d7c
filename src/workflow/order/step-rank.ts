import { findQueue, getUsage, getWeight } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { QueueSettings } from '../settings/job-settings.ts'
import type { Job, StepRun } from '../task.ts'

/** A job that takes longer than this many times its objective is no longer useful to its caller. */
export const MAX_LATENESS_FACTOR = 3

/** Expected end of a job relative to its objective: `0` on time, `1` late, `2` too late to be useful. */
export type Lateness = 0 | 1 | 2

/**
 * Sort key of a waiting step, compared field by field; smaller values go first. Jobs that exceed their organisation's
 * share and jobs that are too late to be useful come last. Then the priority of the queue counts, then whether the job has
 * started, because the resources of an unfinished job are wasted. Then come lateness, the present and past use of the
 * organisation (0 unless past use counts), its weighted usage and the age of the job; of an organisation with a lasting backlog,
 * the newest of those that can still end on time go first.
 */
export type StepRank = readonly [deferred: number, priority: number, begun: number, lateness: number, pastUse: number, weightedUsage: number, orderTime: number]

/** Whether a step with this rank comes after all that is not deferred. */
export function isDeferred ([deferred]: StepRank): boolean {
  return deferred > 0
}

/** Index of `pastUse` in a rank. */
export const PAST_USE_FIELD = 4

/** Computes the rank of a step. */
export function computeRank (state: CellState, step: StepRun): StepRank {
  const { job, spec } = step
  const queue = findQueue(state, job.definition)
  const priority = queue?.priority ?? Infinity
  const lateness = computeLateness(state, step, queue)
  const deferred = (job.exceedsShare ? 1 : 0) + (lateness === 2 ? 1 : 0)
  const begun = job.phase === 'running' && !spec.longRunning
  const { organisation } = job.definition
  return [deferred, priority, begun ? 0 : 1, begun ? 0 : lateness, computePastUse(state, organisation), computeWeightedUsage(state, organisation), state.lastingBacklogs.getOrderTime(step, priority, lateness)]
}

/**
 * Computes the lateness of a step of a queue. Work that lasts or is due at a time of day has no objective. A job is too late to
 * be useful only if it is by both the declared and the estimated duration.
 */
export function computeLateness (state: CellState, { job, stepNumber, spec }: StepRun, queue: QueueSettings | undefined): Lateness {
  if (queue === undefined || spec.longRunning || job.definition.firstAtMs > 0) return 0
  const objectiveMs = computeObjectiveMs(queue, job)
  const ageMs = state.now - job.acceptedAt
  const expectedMs = job.expectedChainsMs[stepNumber]!
  if (ageMs + expectedMs <= objectiveMs) return 0
  return ageMs + Math.min(expectedMs, job.chainsMs[stepNumber]!) <= MAX_LATENESS_FACTOR * objectiveMs ? 1 : 2
}

/** Time within which a job of the queue is expected to end after it was accepted, in milliseconds. */
export function computeObjectiveMs ({ stretch, latencyObjectiveMs }: QueueSettings, { chainsMs }: Job): number {
  return stretch * Math.max(...chainsMs) + latencyObjectiveMs
}

/** Usage of an organisation divided by its weight. Organisations with a smaller value are served first. */
function computeWeightedUsage (state: CellState, organisation: string): number {
  return getUsage(state, organisation).cpuMillis / Math.max(getWeight(state, organisation), Number.MIN_VALUE)
}

function computePastUse (state: CellState, organisation: string): number {
  return state.pastUse.computeOrderKey({ organisation, usage: getUsage(state, organisation), weight: getWeight(state, organisation), now: state.now })
}

/** Compares two ranks, as a comparator of `sort`. */
export function compareRanks (left: StepRank, right: StepRank): number {
  for (let index = 0; index < left.length; index++) {
    if (left[index] !== right[index]) return left[index]! < right[index]! ? -1 : 1
  }
  return 0
}
