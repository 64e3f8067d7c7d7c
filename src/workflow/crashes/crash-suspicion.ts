import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import type { TargetState } from '../target-state.ts'
import type { Task } from '../task.ts'
import { TRIAL_MS } from './trial.ts'

/**
 * Finds the runs that may be the cause if their target crashes now: those that have just started. If tasks that may crash
 * their targets are among them, the others are only beside them.
 */
export function findSuspects (state: CellState, target: TargetState): readonly LiveRun[] {
  const started = [...target.runs.values()].filter((live) => hasJustStarted(state, live))
  const onTrial = started.filter(({ task }) => task.crashes.isSuspect)
  return onTrial.length > 0 ? onTrial : started
}

/** Whether the run has just started on its target. When those that a previous owner started did so is not known. */
function hasJustStarted ({ now }: CellState, { adopted, carriedOver, settled, startedAt }: LiveRun): boolean {
  return !adopted && !carriedOver && !settled && now - startedAt <= TRIAL_MS
}

/** Whether a crash of the target now could also be due to a task that has just started there. */
export function hasRecentStart (state: CellState, target: TargetState): boolean {
  return state.now - target.lastStartAt < TRIAL_MS
}

/** Whether a task may get a copy. A copy of a task that may have ended the process of its target could end another one. */
export function mayCopy (task: Task): boolean {
  if (task.crashes.count > 0) return false
  return !task.crashes.isSuspect || ![...task.runs].some(({ target }) => target.processEnded)
}
