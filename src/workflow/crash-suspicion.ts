import type { CellState } from './cell-state.ts'
import type { LiveRun } from './live-run.ts'
import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

/** A run that started within this time before its target was last heard from may have crashed it, in milliseconds. */
const SUSPECT_AGE_MS = 1_000
/** Nothing else starts on a target for this time after the start of a task that may crash it, in milliseconds. */
const TRIAL_MS = 300

/** Whether the run had just started when its target was last heard from. */
export function hasJustStarted ({ phase, startedAt, target }: LiveRun): boolean {
  return phase === 'starting' || startedAt >= target.lastHeardAt - SUSPECT_AGE_MS
}

/** Whether a crash of the target now could also be due to a task that has just started there. */
export function hasRecentStart (state: CellState, target: TargetState): boolean {
  return state.now - target.lastStartAt < SUSPECT_AGE_MS
}

/** Reserves the targets on which suspects have just started, so that nothing else that starts there can be the cause of a crash. */
export function beginTrials (state: CellState, started: readonly LiveRun[]): void {
  for (const { task, target } of started) {
    if (task.crashes.isSuspect) target.pausedUntil = Math.max(target.pausedUntil, state.now + TRIAL_MS)
  }
}

/** Whether a task may get a copy. A copy of a task that may have ended the process of its target could end another one. */
export function mayCopy (task: Task): boolean {
  if (task.crashes.isSuspect) return false
  return ![...task.runs].some((live) => live.target.processEnded && hasJustStarted(live))
}
