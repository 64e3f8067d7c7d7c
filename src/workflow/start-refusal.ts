import type { CellState } from './cell-state.ts'
import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

/** Pause of a task after its first refusal, in milliseconds. It doubles with each further one. */
const FIRST_PAUSE_MS = 500
const LONGEST_PAUSE_MS = 4_000
/** How long a task avoids the target that refused it last, in milliseconds. */
const AVOIDANCE_MS = 5_000

/** The last refusal of a start of a task that says nothing of why, and the number of such refusals since it last started. */
export type StartRefusal = { readonly target: string, readonly at: number, readonly count: number }

/** Records that a target has refused a start of the task. No run has failed, so it does not count as an attempt. */
export function recordStartRefusal (state: CellState, task: Task, target: TargetState): void {
  task.refusal = { target: target.id, at: state.now, count: (task.refusal?.count ?? 0) + 1 }
}

/** Whether the task waits before it starts again. */
export function waitsAfterRefusal (task: Task, now: number): boolean {
  return computeRemainingPauseMs(task, now) > 0
}

/** Time for which the task still waits after its last refusal, in milliseconds; 0 if it doesn't wait. */
export function computeRemainingPauseMs ({ refusal }: Task, now: number): number {
  if (refusal === undefined) return 0
  const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (refusal.count - 1))
  return Math.max(0, refusal.at + pauseMs - now)
}

/** Whether the target has refused the task so recently that another one may suit it better. */
export function hasJustRefused ({ id }: TargetState, { refusal }: Task, now: number): boolean {
  return refusal?.target === id && now - refusal.at < AVOIDANCE_MS
}
