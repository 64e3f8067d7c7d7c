import type { AdviceResponse, Advisor, CachedAdvice, Ticket } from '../ports/command-client.ts'

/** How long an answer is of use to a new leader: the allowed targets of a step do not change, in milliseconds. */
const KEPT_MS = 20_000
/** Most steps whose answers are kept. */
const MOST_STEPS = 1_000

type Answered = { readonly asked: Set<string>, readonly tickets: Map<string, Ticket>, validUntil: number, at: number }

/** Asks the advisor and remembers its answers for a while, so that the next leader need not ask again. */
export class AdviceCache implements Advisor {
  private readonly steps = new Map<string, Answered>()

  private constructor (private readonly advisor: Advisor, private readonly now: () => number) {}

  /**
   * @example
   * const advisor = RecentAdvice.create(AdviceService.create(caller))
   * await advisor.advise('5c0e7a21d94b36f8.0.1', ['t-1', 't-2'], 1_000)
   * advisor.known() // [{ step: '5c0e7a21d94b36f8.0.1', ... }]
   */
  static create (advisor: Advisor, now: () => number = () => performance.now()): AdviceCache {
    return new AdviceCache(advisor, now)
  }

  async advise (step: string, targets: readonly string[], timeoutMs: number): Promise<AdviceResponse> {
    const answer = await this.advisor.advise(step, targets, timeoutMs)
    if (answer.type === 'advised') this.note(step, targets, answer.tickets, answer.validityMs ?? 0)
    return answer
  }

  /** What has been learned lately, for each step. */
  known (): readonly CachedAdvice[] {
    this.dropOld()
    return [...this.steps].map(([step, { asked, tickets, validUntil }]) => (
      { step, asked: [...asked], tickets: [...tickets.values()], validForMs: Math.max(0, validUntil - this.now()) }
    ))
  }

  /** Tickets of earlier answers are as old as the first of them. */
  private note (step: string, targets: readonly string[], tickets: readonly Ticket[], validityMs: number): void {
    const now = this.now()
    const validUntil = now + validityMs
    const known = this.steps.get(step) ?? { asked: new Set(), tickets: new Map(), validUntil, at: now }
    for (const target of targets) known.asked.add(target)
    for (const ticket of tickets) known.tickets.set(ticket.target, ticket)
    known.validUntil = Math.min(known.validUntil, validUntil)
    known.at = now
    this.steps.delete(step)
    this.steps.set(step, known)
    this.dropOld()
  }

  private dropOld (): void {
    for (const [step, { at }] of this.steps) {
      if (this.now() - at < KEPT_MS && this.steps.size <= MOST_STEPS) return
      this.steps.delete(step)
    }
  }
}
