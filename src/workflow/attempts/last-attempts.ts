import { count, findQueue, log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { mayCopy } from '../crashes/crash-suspicion.ts'
import { sendStop } from '../runs.ts'
import type { TargetState } from '../target-state.ts'
import type { Job, Task } from '../task.ts'

/** Number of runs at a time of a task whose next failure ends its job. */
export const MAX_LAST_RUNS = 3

/** Tasks with the maximum number of failures of which a run may still end as done. None of them starts again. */
export class LastAttempts {
  private readonly exhausted = new Set<Task>()

  private constructor () {}

  static create (): LastAttempts {
    return new LastAttempts()
  }

  /** Whether the task has no attempt left and its last runs are waited for. */
  has (task: Task): boolean {
    return this.exhausted.has(task)
  }

  /** The tasks whose last runs are waited for. */
  get tasks (): readonly Task[] {
    return [...this.exhausted]
  }

  add (task: Task): void {
    this.exhausted.add(task)
  }

  remove (task: Task): void {
    this.exhausted.delete(task)
  }
}

/** Whether the next failed run of a task ends its job, so that its next start is made on several targets. */
export function isLastAttempt (state: CellState, task: Task): boolean {
  return state.options.features.parallelLastAttempts && mayRunInParallel(task) && task.failures + 1 >= findLimit(state, task)
}

/** Whether one more run of a task that has just started may start beside it. */
export function mayStartBeside (state: CellState, task: Task): boolean {
  return isLastAttempt(state, task) && task.runs.size < MAX_LAST_RUNS && !state.lastAttempts.has(task) && mayCopy(task)
}

/** Whether a listed run of an earlier owner is one of several of a last attempt. */
export function mayAdoptBeside (state: CellState, task: Task, target: TargetState): boolean {
  return isLastAttempt(state, task) && task.runs.size < MAX_LAST_RUNS && ![...task.runs].some((live) => live.target === target)
}

/** Logs the runs of a last attempt that were started at once. */
export function recordParallelStart (state: CellState, task: Task): void {
  if (task.runs.size < 2) return
  count(state, 'last-attempt', 'parallel')
  log(state, 'info', 'last-attempt', { task: task.key, runs: task.runs.size, targets: [...task.runs].map(({ target }) => target.id).join(','), failures: task.failures, maxAttempts: findLimit(state, task) })
}

/**
 * Whether the failure of a task that has no attempt left is to wait for its other runs, which is recorded. A run whose start has
 * no response is stopped, because it may not have started.
 */
export function awaitOtherRuns (state: CellState, task: Task): boolean {
  if (state.lastAttempts.has(task)) return mayHaveRuns(state, task)
  if (!state.options.features.parallelLastAttempts || !mayRunInParallel(task) || !mayHaveRuns(state, task)) return false
  state.lastAttempts.add(task)
  count(state, 'last-attempt', 'awaited')
  for (const live of task.runs) {
    if (live.phase === 'starting') sendStop(state, live, 'another run of its last attempt has failed')
  }
  return true
}

/**
 * Waits for the runs of a restored job's tasks that have no attempt left. An earlier owner waited for them; this one must,
 * whatever its own settings are.
 */
export function awaitRestoredRuns (state: CellState, job: Job): void {
  if (!job.active) return
  for (const task of job.knownTasks()) {
    if (task.phase !== 'done' && mayRunInParallel(task) && hasUsedAttempts(state, task)) state.lastAttempts.add(task)
  }
}

/** Whether a task has failed as often as it may. How often that is, is unknown until its queue is known. */
export function hasUsedAttempts (state: CellState, task: Task): boolean {
  return task.failures >= findLimit(state, task)
}

/** Whether a run of the task may be on a target, also one that a previous owner has started. */
export function mayHaveRuns (state: CellState, task: Task): boolean {
  return task.runs.size > 0 || state.heldBackTasks.has(task) || (task.step.job.restored && state.earlierRunsPossible)
}

function mayRunInParallel ({ step: { spec } }: Task): boolean {
  return spec.speculative && !spec.gang && !spec.longRunning
}

function findLimit (state: CellState, { step }: Task): number {
  return findQueue(state, step.job.definition)?.maxAttempts ?? Infinity
}
