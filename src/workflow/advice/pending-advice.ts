/** Maximum number of pending requests for each channel: one at the advisor and one that waits. */
const REQUESTS_PER_CHANNEL = 2
/**
 * Beyond that number, urgent requests are sent as long as those without a response cost less than this for each pending
 * request of the other queues, in milliseconds. Such a request can take as long as ten urgent ones: with a single channel,
 * one urgent request for each of them would not serve the urgent steps.
 */
const URGENT_MS_BEHIND_OTHERS = 400
/**
 * Ratio of the channels that requests of non-urgent queues may use. Each takes up to a second at the advisor, and an urgent
 * request that waits behind them would miss its objective.
 */
const NON_URGENT_CHANNEL_RATIO = 0.65
/** Ratio of the channels that steps may use because they have waited too long, whatever their rank; at least one channel. */
const OVERDUE_CHANNEL_RATIO = 0.25
/** Time between two requests that go before all others, for each channel that they may use, in milliseconds. */
const PRECEDING_INTERVAL_MS = 1_500
/** Without an urgent step that needs advice for this time, other queues may use all channels, in milliseconds. */
const URGENT_RESERVE_MS = 3_000

/** Arguments of `add`. `precedes`: a task of the step lasts and has had no run for too long. */
type NewRequest = { readonly urgent: boolean, readonly overdue: boolean, readonly precedes: boolean, readonly costMs: number, readonly now: number }

/** Tracks the steps with a pending advice request and limits their number: more requests would wait while tickets expire. */
export class PendingAdvice {
  /** Number of members that can send advice requests. */
  channels = 1
  /** Whether jobs are refused because there are too few channels; none is then kept free for urgent steps. */
  overloaded = false
  /** Urgent steps, and the time that the advisor needs for their requests, in milliseconds. */
  private readonly urgent = new Map<string, number>()
  private readonly nonUrgent = new Set<string>()
  /** Those of both kinds that have waited too long. */
  private readonly overdue = new Set<string>()
  /** Those of tasks that last and have had no run for too long. */
  private readonly preceding = new Set<string>()
  /** When one of these last sent a request, on the scheduler's clock. */
  private lastPrecedingAt = -Infinity
  /** When an urgent step last sent a request or found no channel for one, on the scheduler's clock; at first the first known time. */
  private lastUrgentAt: number | undefined

  private constructor () {}

  static create (): PendingAdvice {
    return new PendingAdvice()
  }

  get size (): number {
    return this.urgent.size + this.nonUrgent.size
  }

  /** Time that the advisor needs for the urgent requests without a response, in milliseconds. */
  private get urgentMs (): number {
    return [...this.urgent.values()].reduce((sum, costMs) => sum + costMs, 0)
  }

  /** Number of further steps that may take precedence because they have waited too long. */
  get freeOverdueChannels (): number {
    return this.overdueLimit - this.overdue.size
  }

  /**
   * Whether a task that lasts and has had no run for too long may ask now, whatever else is pending. `pressing`: it has waited
   * so long that it waits only for the answers to others of its kind.
   */
  mayPrecede (pressing: boolean, now: number): boolean {
    if (this.channels === 0 || this.preceding.size >= this.overdueLimit) return false
    return pressing || now - this.lastPrecedingAt >= PRECEDING_INTERVAL_MS / this.overdueLimit
  }

  private get overdueLimit (): number {
    return Math.max(1, Math.floor(this.channels * OVERDUE_CHANNEL_RATIO))
  }

  /**
   * Whether another request may be sent now. `prefetch`: the step is not ready yet; such requests use only channels without
   * a request, so that those of ready steps take precedence.
   */
  mayRequest (urgent: boolean, prefetch: boolean, now: number): boolean {
    this.lastUrgentAt ??= now
    if (prefetch && this.size >= this.channels) return false
    if (this.size >= this.channels * REQUESTS_PER_CHANNEL) {
      if (!urgent) return false
      this.lastUrgentAt = now
      return this.urgentMs < this.nonUrgent.size * URGENT_MS_BEHIND_OTHERS
    }
    const ratio = !this.overloaded && now - this.lastUrgentAt < URGENT_RESERVE_MS ? NON_URGENT_CHANNEL_RATIO : 1
    return urgent || this.nonUrgent.size < Math.max(1, Math.floor(this.channels * ratio))
  }

  add (step: string, { urgent, overdue, precedes, costMs, now }: NewRequest): void {
    if (precedes) {
      this.preceding.add(step)
      this.lastPrecedingAt = now
    }
    if (urgent) {
      this.urgent.set(step, costMs)
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
    this.preceding.delete(step)
  }
}
