/** A tick that comes this long after the one before is late, in milliseconds. */
const LATE_TICK_MS = 100
/** Number of ticks in a row that may count as late: a process that is busy all the time has to send its commands again too. */
const MAX_LATE_TICKS = 4

/**
 * Detects ticks that come late because the process was busy or suspended. Overdue timers run before sockets are read, so at
 * such a tick the responses to commands may have arrived already.
 */
export class TickWatch {
  private lateTicks = 0

  private constructor (private lastTickAt: number) {}

  /**
   * Creates a watch whose first tick is due.
   *
   * @example
   * const tickWatch = TickWatch.create(performance.now())
   * const late = tickWatch.isLate(performance.now())
   */
  static create (now: number): TickWatch {
    return new TickWatch(now)
  }

  /** To be called once at each tick. */
  isLate (now: number): boolean {
    const late = now - this.lastTickAt > LATE_TICK_MS
    this.lastTickAt = now
    this.lateTicks = late ? this.lateTicks + 1 : 0
    return late && this.lateTicks <= MAX_LATE_TICKS
  }
}
