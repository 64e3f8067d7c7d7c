/** Pause after a scheduling pass, as a multiple of its duration: passes use at most a third of the processor. */
const PAUSE_FACTOR = 2

/** Runs one scheduling pass for all events of an event loop iteration. */
export class SchedulingPasses {
  private scheduled = false
  /** Earliest start of the next pass, on the monotonic clock. */
  private nextAt = 0

  private constructor (private readonly run: () => number) {}

  /**
   * Creates the passes of a leader. `run` does one pass and returns the time that it took, in milliseconds.
   *
   * @example
   * const passes = SchedulingPasses.create(() => this.runPass())
   * passes.schedule()
   */
  static create (run: () => number): SchedulingPasses {
    return new SchedulingPasses(run)
  }

  /**
   * Schedules a pass, unless one is scheduled already. The longer a pass takes, the longer the next one is delayed, so that calls
   * are handled in between.
   */
  schedule (): void {
    if (this.scheduled) return
    this.scheduled = true
    const pauseMs = this.nextAt - performance.now()
    if (pauseMs > 0) setTimeout(() => this.runScheduled(), pauseMs)
    else setImmediate(() => this.runScheduled())
  }

  private runScheduled (): void {
    this.scheduled = false
    const durationMs = this.run()
    this.nextAt = performance.now() + PAUSE_FACTOR * durationMs
  }
}
