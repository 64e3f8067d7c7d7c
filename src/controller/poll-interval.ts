/** Pause between two readings of the jobs while members tell the leader of each job, in milliseconds. */
const CALM_PAUSE_MS = 1_000
/** Pause while some members cannot reach the leader: their jobs wait for the next reading, in milliseconds. */
const CUT_PAUSE_MS = 120
/** How long the short pause lasts after the last job that the leader had not been told of, in milliseconds. */
const CUT_MEMORY_MS = 2_500

/** How often the leader reads the jobs: often only while it finds jobs that no member has told it of. */
export class PollInterval {
  private untoldAt = -Infinity

  private constructor () {}

  /**
   * @example
   * const pace = PollPace.create()
   * pace.noteUntold(performance.now())
   * pace.pauseMs(performance.now()) // 120
   */
  static create (): PollInterval {
    return new PollInterval()
  }

  /** A job was read that no member has told of. */
  noteUntold (now: number): void {
    this.untoldAt = now
  }

  /** Pause until the next reading, in milliseconds. */
  pauseMs (now: number): number {
    return now - this.untoldAt < CUT_MEMORY_MS ? CUT_PAUSE_MS : CALM_PAUSE_MS
  }
}
