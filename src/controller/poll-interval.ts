/** Interval between two reads of the jobs while members announce each job to the leader, in milliseconds. */
const LONG_INTERVAL_MS = 1_000
/** Interval while some members cannot reach the leader, in milliseconds: their jobs wait for the next read. */
const SHORT_INTERVAL_MS = 120
/** How long the short interval applies after the last unannounced job, in milliseconds. */
const SHORT_INTERVAL_DURATION_MS = 2_500

/** Computes how often the leader reads the jobs: frequently only while it finds jobs that no member has announced. */
export class PollInterval {
  private lastUnannouncedAt = -Infinity

  private constructor () {}

  /**
   * Creates a poll interval that starts with the long interval.
   *
   * @example
   * const pollInterval = PollInterval.create()
   * pollInterval.recordUnannouncedJob(performance.now())
   * pollInterval.getIntervalMs(performance.now()) // 120
   */
  static create (): PollInterval {
    return new PollInterval()
  }

  /** Records that a job was read which no member has announced. */
  recordUnannouncedJob (now: number): void {
    this.lastUnannouncedAt = now
  }

  /** Gets the interval until the next read, in milliseconds. */
  getIntervalMs (now: number): number {
    return now - this.lastUnannouncedAt < SHORT_INTERVAL_DURATION_MS ? SHORT_INTERVAL_MS : LONG_INTERVAL_MS
  }
}
