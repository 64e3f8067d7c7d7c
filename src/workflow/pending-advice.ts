/** Maximum number of pending requests for each channel: one at the advisor and one that waits. */
const REQUESTS_PER_CHANNEL = 2
/**
 * Ratio of the channels that requests of non-urgent queues may use. Each takes up to a second at the advisor, and an urgent
 * request that waits behind them would miss its objective.
 */
const NON_URGENT_CHANNEL_RATIO = 0.65

/** Tracks the steps with a pending advice request and limits their number: more requests would wait while tickets expire. */
export class PendingAdvice {
  /** Number of members that can send advice requests. */
  channels = 1
  private readonly urgent = new Set<string>()
  private readonly nonUrgent = new Set<string>()

  private constructor () {}

  static create (): PendingAdvice {
    return new PendingAdvice()
  }

  get size (): number {
    return this.urgent.size + this.nonUrgent.size
  }

  /**
 * Whether another request may be sent now. `prefetch`: the step is not ready yet; such requests use only channels without
 * a request, so that those of ready steps take precedence.
 */
  mayRequest (urgent: boolean, prefetch: boolean): boolean {
    if (prefetch && this.size >= this.channels) return false
    if (this.size >= this.channels * REQUESTS_PER_CHANNEL) return false
    return urgent || this.nonUrgent.size < Math.max(1, Math.floor(this.channels * NON_URGENT_CHANNEL_RATIO))
  }

  add (step: string, urgent: boolean): void {
    (urgent ? this.urgent : this.nonUrgent).add(step)
  }

  remove (step: string): void {
    this.urgent.delete(step)
    this.nonUrgent.delete(step)
  }
}
