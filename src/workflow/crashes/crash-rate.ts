import { TRIAL_MS } from './trial.ts'

/** Time over which the targets that fall silent are counted, in milliseconds. */
const WINDOW_MS = 10_000
/** A rate is not computed over less time, in milliseconds. */
const MIN_SPAN_MS = 3_000
/** Number of crashes after which a task is given up while targets rarely fall silent. */
const MIN_CRASHES = 3
/** Number of crashes after which a task is given up however many targets fall silent. */
const MAX_CRASHES = 4
/** Chance at which crashes in a row are taken for the fault of a task. */
const ERROR_RATIO = 1e-6

/** Counts the targets that fall silent, apart from those on which a task was on trial. */
export class CrashRate {
  private times: readonly number[] = []

  private constructor () {}

  /**
   * Creates a rate of zero.
   *
   * @example
   * const rate = CrashRate.create()
   * rate.record(performance.now())
   * rate.computeCrashLimit(performance.now(), 33) // 3
   */
  static create (): CrashRate {
    return new CrashRate()
  }

  /** Records a target that has fallen silent. */
  record (now: number): void {
    this.times = [...this.getRecent(now), now]
  }

  /**
   * Computes how many targets in a row must crash just after the start of a task before it is given up: so many that chance
   * hardly explains them. `targets`: number of targets of the cell.
   */
  computeCrashLimit (now: number, targets: number): number {
    const recent = this.getRecent(now)
    const spanMs = Math.max(MIN_SPAN_MS, now - (recent[0] ?? now))
    const chance = Math.min(1, recent.length / Math.max(1, targets) * TRIAL_MS / spanMs)
    const limit = chance === 1 ? Infinity : Math.ceil(Math.log(ERROR_RATIO) / Math.log(chance))
    return Math.min(MAX_CRASHES, Math.max(MIN_CRASHES, limit))
  }

  private getRecent (now: number): readonly number[] {
    return this.times.filter((time) => now - time < WINDOW_MS)
  }
}
