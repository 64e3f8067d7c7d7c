import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import type { StepTasks } from '../step-tasks.ts'
import type { Job, Task } from '../task.ts'

/** Time between two looks for what to store, in milliseconds: the tasks of a job start at about the same time. */
const STORE_INTERVAL_MS = 500
/** Tasks of a longer step are not recorded: their job would be stored with all of them each time. */
const MAX_RECORDED_TASKS = 1_000

/**
 * The runs of tasks that last whose start commands can no longer be executed. That is stored with their jobs: only the owner
 * that started a run sends its starts, and the next one would have to wait until all that may be under way can no longer be
 * executed.
 */
export class ConcludedStarts {
  /** Jobs with such a run that is not stored. */
  private readonly jobs = new Set<Job>()
  private storeAt = -Infinity

  private constructor () {}

  /**
   * Creates an object that knows of no run.
   *
   * @example
   * const concludedStarts = ConcludedStarts.create()
   * concludedStarts.record(live) // when its target has listed it
   * concludedStarts.store(state) // at each tick
   */
  static create (): ConcludedStarts {
    return new ConcludedStarts()
  }

  /** Records that no start command of the run can be executed any more, if its task lasts. */
  record ({ task, run }: LiveRun): void {
    const { spec, job } = task.step
    if (!spec.longRunning || spec.count > MAX_RECORDED_TASKS || task.concludedRun === run) return
    task.concludedRun = run
    this.jobs.add(job)
  }

  /** Requests to store what was recorded, unless that was done a moment ago. */
  store (state: CellState): void {
    if (this.jobs.size === 0 || state.now < this.storeAt) return
    this.storeAt = state.now + STORE_INTERVAL_MS
    for (const { active, definition } of this.jobs) {
      if (active) state.effects.push({ type: 'store-progress', job: definition.id })
    }
    this.jobs.clear()
  }
}

/** Formats the numbers of such runs for the stored record, by task index. */
export function toStoredRuns (tasks: Iterable<Task>): Readonly<Record<string, number>> {
  return Object.fromEntries([...tasks].flatMap(({ index, concludedRun }) => concludedRun === undefined ? [] : [[String(index), concludedRun]]))
}

/** Restores the numbers of such runs. A record of another release may contain anything. */
export function restoreConcludedRuns (tasks: StepTasks, stored: unknown): void {
  if (typeof stored !== 'object' || stored === null) return
  for (const [index, run] of Object.entries(stored)) {
    const task = Number.isSafeInteger(run) ? tasks.get(Number(index)) : undefined
    if (task !== undefined) task.concludedRun = Number(run)
  }
}
