import type { AdviceResponse, Advisor, CachedAdvice, Ticket } from '../../ports/command-client.ts'

/**
 * How long a response is kept for a new leader, in milliseconds. It stays useful after its tickets expire, because the
 * allowed targets of a step do not change.
 */
const RETENTION_MS = 20_000
/** Maximum number of steps with cached responses. */
const MAX_STEPS = 1_000

type CacheEntry = { readonly askedTargets: Set<string>, readonly tickets: Map<string, Ticket>, validUntil: number, updatedAt: number }

/**
 * Calls the advisor and caches its responses for a limited time, so that a new leader does not have to repeat the
 * requests.
 */
export class AdviceCache implements Advisor {
  private readonly entriesByStep = new Map<string, CacheEntry>()

  private constructor (private readonly advisor: Advisor, private readonly now: () => number) {}

  /**
   * Creates an empty cache in front of an advisor.
   *
   * @example
   * const advisor = AdviceCache.create(AdviceService.create(caller))
   * await advisor.advise('5c0e7a21d94b36f8.0.1', ['t-1', 't-2'], 1_000)
   * advisor.getCachedAdvice() // [{ step: '5c0e7a21d94b36f8.0.1', ... }]
   */
  static create (advisor: Advisor, now: () => number = () => performance.now()): AdviceCache {
    return new AdviceCache(advisor, now)
  }

  async advise (step: string, targets: readonly string[], timeoutMs: number): Promise<AdviceResponse> {
    const response = await this.advisor.advise(step, targets, timeoutMs)
    if (response.type === 'advised') this.recordResponse(step, targets, response.tickets, response.validityMs ?? 0)
    return response
  }

  /** The cached responses, merged by step. */
  getCachedAdvice (): readonly CachedAdvice[] {
    this.evict()
    return [...this.entriesByStep].map(([step, { askedTargets, tickets, validUntil }]) => (
      { step, asked: [...askedTargets], tickets: [...tickets.values()], validForMs: Math.max(0, validUntil - this.now()) }
    ))
  }

  /** Merges a response into the entry of its step. All tickets of an entry expire with the first of them. */
  private recordResponse (step: string, targets: readonly string[], tickets: readonly Ticket[], validityMs: number): void {
    const now = this.now()
    const validUntil = now + validityMs
    const entry = this.entriesByStep.get(step) ?? { askedTargets: new Set(), tickets: new Map(), validUntil, updatedAt: now }
    for (const target of targets) entry.askedTargets.add(target)
    for (const ticket of tickets) entry.tickets.set(ticket.target, ticket)
    entry.validUntil = Math.min(entry.validUntil, validUntil)
    entry.updatedAt = now
    this.entriesByStep.delete(step)
    this.entriesByStep.set(step, entry)
    this.evict()
  }

  /** Removes entries that are too old or too many, the least recently updated first. */
  private evict (): void {
    for (const [step, { updatedAt }] of this.entriesByStep) {
      if (this.now() - updatedAt < RETENTION_MS && this.entriesByStep.size <= MAX_STEPS) return
      this.entriesByStep.delete(step)
    }
  }
}
