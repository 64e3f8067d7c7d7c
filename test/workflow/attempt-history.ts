import { QUEUE } from './harness.ts'

/** Crashes after which a task that crashes its targets may be given up, and those after which it may start only so often again. */
const MIN_CRASHES_TO_FAIL = 2
const MAX_CRASHES = 3
const MAX_STARTS_AFTER_CRASHES = 2
/** A leader has noticed a crash and stored it after this time, in milliseconds. */
export const TIME_TO_STORE_MS = 100

/** What the targets know of the failed runs of tasks, and of crashes under them. */
export class AttemptHistory {
  private readonly crashesByTask = new Map<string, number>()
  /** By task, when the crashes were that its leader had time to store, and the recent ones. */
  private readonly storableCrashes = new Map<string, readonly number[]>()
  private readonly startsAfterCrashes = new Map<string, number>()
  /** By task, or by step for gangs, because their members share the attempts. */
  private readonly failedRuns = new Map<string, Set<number>>()

  private constructor () {}

  static create (): AttemptHistory {
    return new AttemptHistory()
  }

  recordCrash (tasks: Iterable<string>, now: number): void {
    for (const task of tasks) {
      this.crashesByTask.set(task, this.countCrashes(task) + 1)
      this.storableCrashes.set(task, [...this.storableCrashes.get(task) ?? [], now])
    }
  }

  /** Records that the leader ended before it could store the last crashes, so that no later one can know of them. */
  recordLeaderEnd (now: number): void {
    for (const [task, times] of this.storableCrashes) this.storableCrashes.set(task, times.filter((time) => now - time >= TIME_TO_STORE_MS))
  }

  recordFailure (taskOrStep: string, run: number): void {
    this.failedRuns.set(taskOrStep, (this.failedRuns.get(taskOrStep) ?? new Set()).add(run))
  }

  /** Records the start of a task that crashes its targets; returns whether it was started too often after its crashes. */
  recordCrashingStart (task: string): boolean {
    if ((this.storableCrashes.get(task) ?? []).length < MAX_CRASHES) return false
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
