import type { CellEffect } from '../../src/workflow/effect.ts'

type AdviceRequest = Extract<CellEffect, { type: 'request-advice' }>

/** A request, and when the advisor answers it. */
type Pending = { readonly request: AdviceRequest, readonly endsAt: number }

/** An advisor that handles one request of each channel at a time, urgent ones first. Time passes in `advance`. */
export class SimulatedAdvisor {
  private queue: AdviceRequest[] = []
  private pending: Pending[] = []

  private constructor (private readonly channels: number) {}

  static create (channels: number): SimulatedAdvisor {
    return new SimulatedAdvisor(channels)
  }

  add (requests: readonly AdviceRequest[]): void {
    this.queue.push(...requests)
    this.queue.sort((left, right) => Number(right.urgent) - Number(left.urgent))
  }

  /** Returns the requests that have been answered by now, and begins others in their place. */
  advance (now: number): readonly AdviceRequest[] {
    const ended = this.pending.filter(({ endsAt }) => endsAt <= now)
    this.pending = this.pending.filter(({ endsAt }) => endsAt > now)
    while (this.pending.length < this.channels && this.queue.length > 0) {
      const request = this.queue.shift()!
      this.pending.push({ request, endsAt: now + request.costMs })
    }
    return ended.map(({ request }) => request)
  }
}
