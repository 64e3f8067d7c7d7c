import { queueOf, usedBy } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { StepRun } from './task.ts'

/** A job that takes longer than this many times its objective is of no more use to its caller. */
const USELESS_FACTOR = 3

/** How a job stands with its objective: `0` on time, `1` late, `2` of no more use in time. */
type Lateness = 0 | 1 | 2

/**
 * Place of a step among those that wait; smaller values go first. Work beyond an organisation's share and work that has
 * missed its use come last; then the queue's priority counts, then whether the job has begun, because a job that is left
 * half done has used room in vain; then whether it can still be on time, the weighted use of the organisation, and age.
 */
export type Rank = readonly [deferred: number, priority: number, begun: number, lateness: number, share: number, acceptedAt: number]

export function rankOf (state: CellState, step: StepRun): Rank {
  const { job, spec } = step
  const queue = queueOf(state, job.definition)
  const lateness = latenessOf(state, step)
  const deferred = (job.surplus ? 1 : 0) + (lateness === 2 ? 1 : 0)
  const begun = job.phase === 'running' && !spec.longRunning
  return [deferred, queue?.priority ?? Infinity, begun ? 0 : 1, begun ? 0 : lateness, shareOf(state, job.definition.organisation), job.acceptedAt]
}

function latenessOf (state: CellState, { job, number, spec }: StepRun): Lateness {
  const queue = queueOf(state, job.definition)
  if (queue === undefined || spec.longRunning || job.definition.firstAtMs > 0) return 0
  const objectiveMs = queue.stretch * Math.max(...job.chainMs) + queue.latencyAimMs
  const endMs = state.now - job.acceptedAt + job.chainMs[number]!
  if (endMs <= objectiveMs) return 0
  return endMs <= USELESS_FACTOR * objectiveMs ? 1 : 2
}

/** Weighted use of an organisation: the larger, the later it is served. */
function shareOf (state: CellState, organisation: string): number {
  const weight = state.organisations.get(organisation)?.weight ?? 1
  return usedBy(state, organisation).cpuMillis / Math.max(weight, Number.MIN_VALUE)
}

/** Order of two ranks, as for `sort`. */
export function compareRanks (left: Rank, right: Rank): number {
  for (let index = 0; index < left.length; index++) {
    if (left[index] !== right[index]) return left[index]! < right[index]! ? -1 : 1
  }
  return 0
}
