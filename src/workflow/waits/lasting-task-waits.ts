import type { CellState } from '../cell-state.ts'
import { isDue } from '../jobs.ts'
import { TaskWaitLog } from './task-wait-log.ts'
import { findTaskWait } from './task-wait.ts'
import type { TaskWait } from './task-wait.ts'
import type { StepRun, Task } from '../task.ts'

/** Time between two passes over the tasks that last, in milliseconds. */
const CHECK_INTERVAL_MS = 250

/** A task that lasts and has no run that its target confirms. */
export type WaitingTask = {
  readonly task: Task
  /** When it was last known to run, or was first seen without a run, on the scheduler's clock. */
  readonly since: number
  readonly wait: TaskWait
}

/** The tasks that last and have no run: since when, and why. */
export class LastingTaskWaits {
  private waiting: ReadonlyMap<Task, WaitingTask> = new Map()
  private readonly log = TaskWaitLog.create()
  private checkAt = -Infinity

  private constructor () {}

  /**
   * Creates an object that knows of no waiting task.
   *
   * @example
   * const lastingTasks = LastingTaskWaits.create()
   * lastingTasks.update(state)
   * lastingTasks.computeLongestWaitMs(state.now)
   */
  static create (): LastingTaskWaits {
    return new LastingTaskWaits()
  }

  /** Number of tasks that last and have no run, as of the last pass over them. */
  get count (): number {
    return this.waiting.size
  }

  /** The longest time for which one of them has had no run, in milliseconds. */
  computeLongestWaitMs (now: number): number {
    return [...this.waiting.values()].reduce((longest, { since }) => Math.max(longest, now - since), 0)
  }

  /** Looks for tasks without a run, logs them and updates their precedence, unless that was done a moment ago. */
  update (state: CellState): void {
    if (state.now < this.checkAt) return
    this.checkAt = state.now + CHECK_INTERVAL_MS
    this.waiting = new Map(this.findWaiting(state).map((waiting) => [waiting.task, waiting]))
    const waiting = [...this.waiting.values()]
    state.lastingPrecedence.update(state, waiting)
    this.log.write(state, waiting)
  }

  /** Finds the tasks that last, whose turn has come and that have no run. */
  private findWaiting (state: CellState): readonly WaitingTask[] {
    const found: WaitingTask[] = []
    for (const step of state.openSteps) {
      if (!isWanted(state, step)) continue
      for (const task of step.tasks.unfinished()) {
        step.tasks.keep(task)
        const wait = findTaskWait(state, task)
        if (wait !== undefined) found.push({ task, since: this.waiting.get(task)?.since ?? getLastRunTime(state, wait), wait })
      }
    }
    return found
  }
}

function isWanted (state: CellState, step: StepRun): boolean {
  const { spec, job, occurrence } = step
  return spec.longRunning && job.active && step.ready && isDue(state, job.definition, occurrence)
}

/** A run on a target that does not answer was last known when that did. */
function getLastRunTime ({ now }: CellState, wait: TaskWait): number {
  return 'live' in wait ? Math.min(now, wait.live.target.lastHeardAt) : now
}
