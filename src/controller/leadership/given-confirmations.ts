/** The confirmations of terms that this process has given to their leaders. */
export class GivenConfirmations {
  /** When each term was last confirmed, on the monotonic clock. */
  private readonly lastAt = new Map<number, number>()

  private constructor () {}

  /**
   * Creates the confirmations of a process that has given none.
   *
   * @example
   * const confirmations = GivenConfirmations.create()
   * confirmations.record(3)
   * confirmations.computeAgeMs(4) // 0
   */
  static create (): GivenConfirmations {
    return new GivenConfirmations()
  }

  record (term: number): void {
    this.lastAt.set(term, performance.now())
  }

  /**
   * Returns for how long this process has confirmed no term before `term`, in milliseconds; since its start if it never has,
   * when any process before it at its address had ended.
   */
  computeAgeMs (term: number): number {
    // The monotonic clock of this process starts with it.
    const times = [...this.lastAt].filter(([confirmed]) => confirmed < term).map(([, at]) => at)
    return performance.now() - Math.max(0, ...times)
  }
}
