import { findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import type { Demand } from '../job.ts'
import { computeObjectiveMs } from '../order/step-rank.ts'
import { isCovered, subtractDemands } from './choose-victims.ts'

const COMPLETE_PERCENT = 100
/** Below this progress, the declared duration tells more than the rate: listings give whole percents. */
const MIN_RATE_PERCENT = 5

/**
 * Estimates how long a run still takes, in milliseconds: by its progress where that is known, by its declared duration otherwise.
 * `Infinity` for tasks that last.
 */
export function estimateTimeLeftMs ({ task, percent, percentChangedAt, startedAt, adopted, resumed, phase }: LiveRun, now: number): number {
  const { longRunning, estimatedMs } = task.step.spec
  if (longRunning) return Infinity
  if (phase === 'starting') return estimatedMs
  const sinceChangeMs = now - percentChangedAt
  // When an adopted run started is not known, and a resumed one began with progress.
  const isRateKnown = percent >= MIN_RATE_PERCENT && !adopted && !resumed
  const leftMs = isRateKnown ? (percentChangedAt - startedAt) * (COMPLETE_PERCENT - percent) / percent : estimatedMs * (COMPLETE_PERCENT - percent) / COMPLETE_PERCENT
  return Math.max(0, leftMs - sinceChangeMs)
}

/** Estimates when runs that end by themselves free what is missing, in milliseconds; `Infinity` if they do not. */
export function estimateWaitMs (runs: readonly LiveRun[], missing: Demand, now: number): number {
  const byEnd = runs.map((live) => ({ demand: live.task.step.spec.demand, timeLeftMs: estimateTimeLeftMs(live, now) }))
  byEnd.sort((left, right) => left.timeLeftMs - right.timeLeftMs)
  let rest = missing
  for (const { demand, timeLeftMs } of byEnd) {
    rest = subtractDemands(rest, demand)
    if (isCovered(rest)) return timeLeftMs
  }
  return Infinity
}

/**
 * Estimates how long before its objective the job of a run ends, in milliseconds; negative if it ends later. The wait of its
 * other tasks is not known and counts as none.
 */
export function estimateSlackMs (state: CellState, live: LiveRun): number {
  const { job, stepNumber, spec, waitingTasks } = live.task.step
  const queue = findQueue(state, job.definition)
  if (queue === undefined) return 0
  const stepLeftMs = waitingTasks > 0 ? spec.estimatedMs : estimateTimeLeftMs(live, state.now)
  // When an occurrence of a timed job was due is not counted.
  const ageMs = job.definition.firstAtMs > 0 ? 0 : state.now - job.acceptedAt
  return computeObjectiveMs(queue, job) - ageMs - (job.chainsMs[stepNumber]! - spec.estimatedMs + stepLeftMs)
}
