/** A grant of the leader counts for this time, in milliseconds. */
const GRANT_AGE_MS = 2_000
/** Large jobs that a member accepts without a recent word of the leader, in bytes of the leader's memory. */
const SILENT_BYTES = 2_000_000

/**
 * How much memory of the leader a member may fill with large jobs until the leader's next word. What the members accept between
 * two words would have no bound otherwise, nor what they accept while nobody leads.
 */
export class LargeJobCredit {
  private bytes = SILENT_BYTES
  private grantedAt = -Infinity
  /** Whether nothing was taken since the last grant. */
  private isUntouched = true

  private constructor () {}

  /**
   * Creates the credit of a member that has not heard of a leader.
   *
   * @example
   * const credit = LargeJobCredit.create()
   * credit.grant(6_800_000, performance.now())
   * credit.take(984_200, performance.now()) // true
   */
  static create (): LargeJobCredit {
    return new LargeJobCredit()
  }

  /** Replaces what is left by a grant of the leader; one of the release before grants nothing, and says so by `undefined`. */
  grant (bytes: number | undefined, now: number): void {
    this.bytes = bytes ?? SILENT_BYTES
    this.grantedAt = now
    this.isUntouched = true
  }

  /** Takes the memory of one job, if it is left. One job is accepted for each grant however large it is. */
  take (bytes: number, now: number): boolean {
    const available = now - this.grantedAt <= GRANT_AGE_MS ? this.bytes : Math.min(this.bytes, SILENT_BYTES)
    if (available <= 0 || (bytes > available && !this.isUntouched)) return false
    this.bytes = available - bytes
    this.isUntouched = false
    return true
  }
}
