import type { CellState } from '../cell-state.ts'
import { findQueue } from '../cell-state.ts'
import { getOpenTargets } from '../room/open-targets.ts'
import { computeObjectiveMs } from '../order/step-rank.ts'
import type { StepRun } from '../task.ts'

/** How long a step waits for a channel to the advisor before it takes precedence, in milliseconds. */
const MAX_CHANNEL_WAIT_MS = 2_000

/**
 * Whether the step has waited for a channel to the advisor for too long. This holds only for work that does not run at all
 * while most of its pool is free: otherwise capacity is what it waits for, and ranks decide who gets it.
 */
export function isOverdue (state: CellState, step: StepRun): boolean {
  const { waitsForChannelSince } = step.advice
  if (waitsForChannelSince === undefined || state.now - waitsForChannelSince < MAX_CHANNEL_WAIT_MS) return false
  if (!getOpenTargets(state, findQueue(state, step.job.definition)?.pool).isMostlyFree) return false
  return step.isIdle
}

/**
 * Selects the overdue steps that take precedence in a start pass: those that have waited longest for what they can bear,
 * and only as many as there are channels for them, so that the ranks decide on the others.
 */
export function selectOverdueSteps (state: CellState, steps: readonly StepRun[]): ReadonlySet<StepRun> {
  const { freeOverdueChannels } = state.pendingAdvice
  if (freeOverdueChannels <= 0) return new Set()
  const overdue = steps.filter((step) => isOverdue(state, step))
  const wait = new Map(overdue.map((step) => [step, computeRelativeWait(state, step)]))
  overdue.sort((left, right) => wait.get(right)! - wait.get(left)!)
  return new Set(overdue.slice(0, freeOverdueChannels))
}

/**
 * Time that a step has waited for a channel, relative to what it can bear: a job has until its objective, but nobody is
 * served by a task that lasts while it doesn't run.
 */
function computeRelativeWait (state: CellState, { advice, spec, job }: StepRun): number {
  const waitedMs = state.now - (advice.waitsForChannelSince ?? state.now)
  const queue = findQueue(state, job.definition)
  const objectiveMs = queue === undefined || spec.longRunning ? 0 : computeObjectiveMs(queue, job)
  return waitedMs / Math.max(MAX_CHANNEL_WAIT_MS, objectiveMs)
}
