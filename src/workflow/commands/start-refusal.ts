import type { CellState } from '../cell-state.ts'
import type { TargetState } from '../target-state.ts'
import type { Task } from '../task.ts'

/** Pause of a task after the first refusal of a target, in milliseconds. It doubles with each one of a target that had refused it before. */
const FIRST_PAUSE_MS = 500
const LONGEST_PAUSE_MS = 4_000
/** How long a task avoids a target that refused it, in milliseconds. */
const AVOIDANCE_MS = 5_000

/** The last refusal of a start of a task that says nothing of why, and the number of such refusals since it last started. */
export type StartRefusal = { readonly target: string, readonly at: number, readonly count: number }

/** Records that a target has refused a start of the task. No run has failed, so it does not count as an attempt. */
export function recordStartRefusal (state: CellState, task: Task, target: TargetState): void {
  task.refusal = { target: target.id, at: state.now, count: (task.refusal?.count ?? 0) + 1 }
  task.refusedBy.set(target.id, state.now)
}

/** Records that a target refuses all starts for a moment. The task does not wait, but prefers others. */
export function recordUnhealthyTarget (task: Task, target: TargetState): void {
  if (!task.refusedBy.has(target.id)) task.refusedBy.set(target.id, -Infinity)
}

/** Records that a target has accepted a start of the task. */
export function forgetRefusals (task: Task): void {
  task.refusal = undefined
  task.refusedBy.clear()
}

/** Whether the task waits before it starts again. */
export function waitsAfterRefusal (task: Task, now: number): boolean {
  return computeRemainingPauseMs(task, now) > 0
}

/** Time for which the task still waits after its last refusal, in milliseconds; 0 if it doesn't wait. */
export function computeRemainingPauseMs ({ refusal, refusedBy }: Task, now: number): number {
  if (refusal === undefined) return 0
  const pauseMs = Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** Math.max(0, refusal.count - refusedBy.size))
  return Math.max(0, refusal.at + pauseMs - now)
}

/** Whether the target has refused the task so recently that it is not tried again. */
export function hasJustRefused ({ id }: TargetState, { refusedBy }: Task, now: number): boolean {
  return now - (refusedBy.get(id) ?? -Infinity) < AVOIDANCE_MS
}

/** Whether the target has refused the task since it last started, so that one that has not suits it better. */
export function hasRefused ({ id }: TargetState, { refusedBy }: Task): boolean {
  return refusedBy.has(id)
}
