/** No command waits longer than this before it is sent again, in milliseconds: the timeout of a command at its target. */
const MAX_PAUSE_MS = 600
/** A command whose response takes this many times the usual time is taken for lost. */
const LOST_AFTER_FACTOR = 3
/** Weight of the latest response in the moving average. */
const SMOOTHING_FACTOR = 0.1

/**
 * How long a command may be without a response before it is sent again. A leader, relay or target that is slow answers all
 * commands late, and repetitions would make it slower; so the pause follows the response times, and doubles with each send.
 */
export class ResendPause {
  private averageMs = 0

  private constructor (private readonly minPauseMs: number) {}

  /**
   * Creates the pause of a leader that has had no responses.
   *
   * @example
   * const pause = ResendPause.create(150)
   * pause.recordResponseTime(120)
   * pause.getMs(1) // 150
   */
  static create (minPauseMs: number): ResendPause {
    return new ResendPause(minPauseMs)
  }

  /** Records the time between the first send of a command and its response. */
  recordResponseTime (durationMs: number): void {
    this.averageMs += SMOOTHING_FACTOR * (durationMs - this.averageMs)
  }

  /** The pause after a command has been sent `sendCount` times. */
  getMs (sendCount: number): number {
    const firstMs = Math.max(this.minPauseMs, LOST_AFTER_FACTOR * this.averageMs)
    return Math.min(firstMs * 2 ** Math.max(0, sendCount - 1), MAX_PAUSE_MS)
  }
}
