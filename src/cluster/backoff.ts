import type { Random } from '../util/random.ts'

/** Exponential backoff with jitter between the attempts of one operation. */
export class Backoff {
  private failures = 0
  private nextAt = 0

  private constructor (private readonly random: Random, private readonly baseMs: number, private readonly maxMs: number) {}

  static create (random: Random, baseMs = 100, maxMs = 2_000): Backoff {
    return new Backoff(random, baseMs, maxMs)
  }

  isDue (now: number): boolean {
    return now >= this.nextAt
  }

  recordFailure (now: number): void {
    const maxDelayMs = Math.min(this.maxMs, this.baseMs * 2 ** this.failures)
    this.failures = Math.min(this.failures + 1, 16)
    this.nextAt = now + maxDelayMs / 2 + this.random.next() * maxDelayMs / 2
  }

  reset (): void {
    this.failures = 0
    this.nextAt = 0
  }
}
