import { findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import { acceptsWork } from '../room/target-acceptance.ts'
import type { Victim } from './choose-victims.ts'
import { estimateSlackMs, estimateTimeLeftMs } from './time-left.ts'

/** Time that a task takes to continue from its checkpoint, in milliseconds. */
export const RESTORE_MS = 600
/** Runs are stopped only if there is room this much sooner, in milliseconds: what is lost costs more than a shorter wait. */
export const MIN_GAIN_MS = 200
/** A stopped task waits about this long for room again, in milliseconds. */
const EXPECTED_WAIT_MS = 1_000

/**
 * Returns a run as one that may be stopped for urgent tasks; undefined if it may not. Its work is saved by a checkpoint, its task
 * was not stopped before, it does not end soon by itself, and its job still meets its objective unless it is late already.
 */
export function findVictim (state: CellState, live: LiveRun): Victim | undefined {
  if (!isSaved(live) || !isInPlace(state, live)) return undefined
  const { task } = live
  const { step } = task
  const { preemption, now } = state
  if (preemption.wasStopped(task) || estimateTimeLeftMs(live, now) <= preemption.stopMs) return undefined
  const slackMs = estimateSlackMs(state, live)
  if (slackMs >= 0 && slackMs < preemption.stopMs + RESTORE_MS + EXPECTED_WAIT_MS) return undefined
  if (preemption.getAllowance(step) <= 0) return undefined
  return { live, demand: step.spec.demand, slackMs }
}

/** Whether the work of a run is saved when it is stopped. A speculative task would start a copy elsewhere while it is stopping. */
function isSaved ({ urgent, task: { step: { spec } } }: LiveRun): boolean {
  return !urgent && spec.checkpoints && !spec.gang && !spec.longRunning && !spec.fills && !spec.speculative
}

/** Whether the run is certainly on its target, and what becomes free there can be used. */
function isInPlace (state: CellState, { phase, settled, carriedOver, startsRevoked, target, task }: LiveRun): boolean {
  if (phase !== 'running' || !settled || carriedOver || startsRevoked || task.runs.size !== 1 || !task.step.job.active) return false
  return acceptsWork(state, target) && findQueue(state, task.step.job.definition)?.pool === target.entry.pool
}

/** Whether the room of a run becomes free about as soon as that of a run that is stopped now. */
export function endsSoon (state: CellState, live: LiveRun): boolean {
  if (live.phase === 'stopping') return live.target.reachable
  return live.target.reachable && estimateTimeLeftMs(live, state.now) <= state.preemption.stopMs
}
