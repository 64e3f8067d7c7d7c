type HeldTicket = { readonly ticket: string, readonly incarnation: number, readonly validUntil: number }

/** Tickets are not used in the last part of their validity, because the order still has to travel. */
const TICKET_MARGIN_MS = 100

/** What is known about the targets that may run one step. The set of allowed targets does not change; tickets expire. */
export class StepAdvice {
  /** Whether a question is waiting for its answer. */
  asking = false
  private readonly tickets = new Map<string, HeldTicket>()
  private readonly allowed = new Set<string>()
  private readonly asked = new Set<string>()

  private constructor () {}

  static create (): StepAdvice {
    return new StepAdvice()
  }

  get answered (): boolean {
    return this.asked.size > 0
  }

  /** Whether the service has said anything about the target. */
  knows (target: string): boolean {
    return this.asked.has(target)
  }

  allows (target: string): boolean {
    return this.allowed.has(target)
  }

  /** A ticket that can be used now, for the present life of the target. */
  ticket (target: string, incarnation: number, now: number): string | undefined {
    const held = this.tickets.get(target)
    if (held === undefined || held.incarnation !== incarnation || held.validUntil - TICKET_MARGIN_MS <= now) return undefined
    return held.ticket
  }

  /** Targets with a ticket that has not expired. */
  ticketHolders (now: number): readonly string[] {
    const holders: string[] = []
    for (const [target, { validUntil }] of this.tickets) {
      if (validUntil - TICKET_MARGIN_MS > now) holders.push(target)
    }
    return holders
  }

  /** Drops a ticket that a target has refused. */
  drop (target: string): void {
    this.tickets.delete(target)
  }

  record (asked: readonly string[], tickets: ReadonlyArray<{ readonly target: string, readonly ticket: string, readonly incarnation: number | undefined }>, validUntil: number): void {
    for (const target of asked) this.asked.add(target)
    for (const { target, ticket, incarnation } of tickets) {
      this.allowed.add(target)
      if (incarnation !== undefined) this.tickets.set(target, { ticket, incarnation, validUntil })
    }
  }
}
