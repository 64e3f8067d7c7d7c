/** Open questions for each member that asks: one at the advisor and another that waits. */
const REQUESTS_PER_CHANNEL = 2
/**
 * Part of the lanes that questions of less urgent queues may hold. They take up to a second each at the advisor, and an
 * urgent one that comes behind them would miss its objective.
 */
const OTHERS_PART = 0.65

/** Steps whose questions to the advisor have no answer yet. More than these would only wait and let tickets expire. */
export class PendingAdvice {
  /** Members through which the advisor can be asked. */
  channels = 1
  private readonly urgent = new Set<string>()
  private readonly others = new Set<string>()

  private constructor () {}

  static create (): PendingAdvice {
    return new PendingAdvice()
  }

  get size (): number {
    return this.urgent.size + this.others.size
  }

  /** Whether a question may be asked now; `ahead`: for a step whose turn has not come, which leaves room to the others. */
  mayAsk (urgent: boolean, ahead: boolean): boolean {
    if (ahead && this.size >= this.channels) return false
    if (this.size >= this.channels * REQUESTS_PER_CHANNEL) return false
    return urgent || this.others.size < Math.max(1, Math.floor(this.channels * OTHERS_PART))
  }

  add (step: string, urgent: boolean): void {
    (urgent ? this.urgent : this.others).add(step)
  }

  remove (step: string): void {
    this.urgent.delete(step)
    this.others.delete(step)
  }
}
