/** A command without an answer for this time shows that its target may answer none, in milliseconds: longer than most targets take. */
const SILENT_AFTER_MS = 800
/** Nothing is concluded from commands that were sent longer ago than this, in milliseconds. */
const FORGOTTEN_AFTER_MS = 15_000

/** Whether a target leaves the starts and stops without an answer that it gets; it may list its runs all the same. */
export class CommandSilence {
  /** When the first command since the last answer was sent, on the scheduler's clock; undefined if there was none. */
  private since: number | undefined
  private lastSentAt = -Infinity

  private constructor () {}

  /**
   * Creates the record of a target that has had no commands.
   *
   * @example
   * const silence = CommandSilence.create()
   * silence.recordSent(1_000)
   * silence.isSilent(2_000) // true
   */
  static create (): CommandSilence {
    return new CommandSilence()
  }

  /** Records that a start or stop was sent. */
  recordSent (now: number): void {
    this.since ??= now
    this.lastSentAt = now
  }

  /** Records that one was answered. */
  recordAnswer (): void {
    this.since = undefined
  }

  /** Whether one has had no answer for long, and none has been answered since. */
  isSilent (now: number): boolean {
    return this.since !== undefined && now - this.since >= SILENT_AFTER_MS && now - this.lastSentAt < FORGOTTEN_AFTER_MS
  }
}
