import { QUEUE } from './harness.ts'

/** Crashes after which a task that crashes its targets may be given up, and those after which it may start only so often again. */
const MIN_CRASHES_TO_FAIL = 2
const MAX_CRASHES = 3
const MAX_STARTS_AFTER_CRASHES = 2

/** What the targets know of the failed runs of tasks, and of crashes under them. */
export class AttemptHistory {
  private readonly crashesByTask = new Map<string, number>()
  private readonly startsAfterCrashes = new Map<string, number>()
  /** By task, or by step for gangs, because their members share the attempts. */
  private readonly failedRuns = new Map<string, Set<number>>()

  private constructor () {}

  static create (): AttemptHistory {
    return new AttemptHistory()
  }

  recordCrash (tasks: Iterable<string>): void {
    for (const task of tasks) this.crashesByTask.set(task, this.countCrashes(task) + 1)
  }

  recordFailure (taskOrStep: string, run: number): void {
    this.failedRuns.set(taskOrStep, (this.failedRuns.get(taskOrStep) ?? new Set()).add(run))
  }

  /** Records the start of a task that crashes its targets; returns whether it was started too often after its crashes. */
  recordCrashingStart (task: string): boolean {
    if (this.countCrashes(task) < MAX_CRASHES) return false
    const starts = (this.startsAfterCrashes.get(task) ?? 0) + 1
    this.startsAfterCrashes.set(task, starts)
    return starts > MAX_STARTS_AFTER_CRASHES
  }

  /**
   * Whether a task of the job has failed so often that the job may be shown as failed, or one of those that crash each target
   * has crashed some. Targets that crashed by themselves are no reason, however often that happened.
   */
  mayFail (job: string, crashingTasks: ReadonlySet<string>): boolean {
    const isOfJob = (key: string): boolean => key.startsWith(`${job}.`)
    return [...this.failedRuns].some(([key, runs]) => isOfJob(key) && runs.size >= QUEUE.maxAttempts) ||
      [...this.crashesByTask].some(([key, crashes]) => isOfJob(key) && crashingTasks.has(key) && crashes >= MIN_CRASHES_TO_FAIL)
  }

  private countCrashes (task: string): number {
    return this.crashesByTask.get(task) ?? 0
  }
}
