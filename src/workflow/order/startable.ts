import { mayCopy } from '../crashes/crash-suspicion.ts'
import type { LiveRun } from '../live-run.ts'
import { waitsAfterRefusal } from '../commands/start-refusal.ts'
import type { StepRun, Task } from '../task.ts'

/** Maximum number of runs of a speculative task at a time. */
const MAX_COPIES = 2
/** A run that has taken this many times the estimated duration may be slow. */
const SLOW_FACTOR = 2
/** Extra time that a copy is expected to take beyond the estimated duration, in milliseconds. */
const COPY_SLACK_MS = 300

/**
 * Whether a run of the task may start now. A task has one run at a time. A speculative task gets a copy while its run is on
 * an unreachable target or is stopping, or when the run is so slow that a copy would end first.
 */
export function isStartable (task: Task, now: number): boolean {
  if (task.phase === 'done' || waitsAfterRefusal(task, now)) return false
  if (task.runs.size === 0) return task.phase === 'waiting'
  if (!task.step.spec.speculative || task.runs.size >= MAX_COPIES || !mayCopy(task)) return false
  for (const live of task.runs) {
    if (live.phase !== 'stopping' && live.target.reachable && !isSlow(live, now)) return false
  }
  return true
}

/** Whether a task of the step may start now. Only speculative tasks can start while they have a run. */
export function hasStartableTask (step: StepRun, now: number): boolean {
  if (step.waitingTasks > 0) return true
  if (!step.spec.speculative) return false
  for (const task of step.tasks.known()) {
    if (isStartable(task, now)) return true
  }
  return false
}

/** Number of tasks of the step that may start now. */
export function countStartableTasks ({ tasks }: StepRun, now: number): number {
  let count = tasks.unstartedCount
  for (const task of tasks.known()) {
    if (isStartable(task, now)) count += 1
  }
  return count
}

function isSlow (live: LiveRun, now: number): boolean {
  const { expectedMs } = live.task.step
  const elapsedMs = now - live.startedAt
  if (live.phase !== 'running' || elapsedMs < SLOW_FACTOR * expectedMs + COPY_SLACK_MS) return false
  const remainingMs = elapsedMs * (100 - live.percent) / Math.max(1, live.percent)
  return remainingMs > expectedMs + COPY_SLACK_MS
}
