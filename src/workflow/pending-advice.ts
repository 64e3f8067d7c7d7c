/** Maximum number of pending requests for each channel: one at the advisor and one that waits. */
const REQUESTS_PER_CHANNEL = 2
/**
 * Ratio of the channels that requests of non-urgent queues may use. Each takes up to a second at the advisor, and an urgent
 * request that waits behind them would miss its objective.
 */
const NON_URGENT_CHANNEL_RATIO = 0.65
/** Ratio of the channels that steps may use because they have waited too long, whatever their rank; at least one channel. */
const OVERDUE_CHANNEL_RATIO = 0.25
/** Without an urgent step that needs advice for this time, other queues may use all channels, in milliseconds. */
const URGENT_RESERVE_MS = 3_000

/** Tracks the steps with a pending advice request and limits their number: more requests would wait while tickets expire. */
export class PendingAdvice {
  /** Number of members that can send advice requests. */
  channels = 1
  private readonly urgent = new Set<string>()
  private readonly nonUrgent = new Set<string>()
  /** Those of both kinds that have waited too long. */
  private readonly overdue = new Set<string>()
  /** When an urgent step last sent a request or found no channel for one, on the scheduler's clock; at first the first known time. */
  private lastUrgentAt: number | undefined

  private constructor () {}

  static create (): PendingAdvice {
    return new PendingAdvice()
  }

  get size (): number {
    return this.urgent.size + this.nonUrgent.size
  }

  /** Number of further steps that may take precedence because they have waited too long. */
  get freeOverdueChannels (): number {
    return Math.max(1, Math.floor(this.channels * OVERDUE_CHANNEL_RATIO)) - this.overdue.size
  }

  /**
   * Whether another request may be sent now. `prefetch`: the step is not ready yet; such requests use only channels without
   * a request, so that those of ready steps take precedence.
   */
  mayRequest (urgent: boolean, prefetch: boolean, now: number): boolean {
    this.lastUrgentAt ??= now
    if (prefetch && this.size >= this.channels) return false
    if (this.size >= this.channels * REQUESTS_PER_CHANNEL) {
      if (urgent) this.lastUrgentAt = now
      return false
    }
    const ratio = now - this.lastUrgentAt < URGENT_RESERVE_MS ? NON_URGENT_CHANNEL_RATIO : 1
    return urgent || this.nonUrgent.size < Math.max(1, Math.floor(this.channels * ratio))
  }

  add (step: string, { urgent, overdue, now }: { readonly urgent: boolean, readonly overdue: boolean, readonly now: number }): void {
    if (urgent) {
      this.urgent.add(step)
      this.lastUrgentAt = now
    } else {
      this.nonUrgent.add(step)
    }
    if (overdue) this.overdue.add(step)
  }

  remove (step: string): void {
    this.urgent.delete(step)
    this.nonUrgent.delete(step)
    this.overdue.delete(step)
  }
}
