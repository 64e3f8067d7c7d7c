/** The clocks of a host, in milliseconds. */
export type Clocks = {
  /** Stands still while the host is suspended. */
  readonly monotonic: () => number
  /** Counts while the host is suspended, but may be set. */
  readonly timeOfDay: () => number
}

const SYSTEM_CLOCKS: Clocks = { monotonic: () => performance.now(), timeOfDay: () => Date.now() }

/** A moment whose age also counts the time in which the host was suspended. */
export class Moment {
  private constructor (private readonly clocks: Clocks, private readonly monotonicMs: number, private readonly timeOfDayMs: number) {}

  /**
   * Creates the present moment.
   *
   * @example
   * const renewedAt = Moment.now()
   * renewedAt.ageMs // 0
   */
  static now (clocks: Clocks = SYSTEM_CLOCKS): Moment {
    return new Moment(clocks, clocks.monotonic(), clocks.timeOfDay())
  }

  /** Time since then, in milliseconds. If the clocks disagree, the longer time counts. */
  get ageMs (): number {
    return Math.max(this.clocks.monotonic() - this.monotonicMs, this.clocks.timeOfDay() - this.timeOfDayMs)
  }
}
