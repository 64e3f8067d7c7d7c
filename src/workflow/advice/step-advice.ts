type HeldTicket = { readonly ticket: string, readonly incarnation: number, readonly validUntil: number }

/** Tickets are not used in the last part of their validity, because the start command takes time to arrive. */
const TICKET_MARGIN_MS = 100

/** Advice for one step: the targets that may run it and their tickets. A target stays allowed; its ticket expires. */
export class StepAdvice {
  /** Until when the tickets of the last response are valid, on the scheduler's clock. */
  validUntil = -Infinity
  /** Whether a request has no response yet. */
  requestPending = false
  /** Since when a request has been wanted while no channel was free, on the scheduler's clock. */
  waitsForChannelSince: number | undefined
  /** After a search that found no target: position in the room log up to which targets were examined. */
  searchedTo: number | undefined
  /** When all targets are searched again, on the scheduler's clock. */
  fullSearchAt = 0
  private readonly tickets = new Map<string, HeldTicket>()
  private readonly allowedTargets = new Set<string>()
  private readonly coveredTargets = new Set<string>()

  private constructor () {}

  static create (): StepAdvice {
    return new StepAdvice()
  }

  get hasResponse (): boolean {
    return this.coveredTargets.size > 0
  }

  /** Whether a response covered the target, allowed or not. */
  hasResponseFor (target: string): boolean {
    return this.coveredTargets.has(target)
  }

  isAllowed (target: string): boolean {
    return this.allowedTargets.has(target)
  }

  /** Returns a ticket for the given incarnation of the target that can be used now. */
  findTicket (target: string, incarnation: number, now: number): string | undefined {
    const held = this.tickets.get(target)
    if (held === undefined || held.incarnation !== incarnation || held.validUntil - TICKET_MARGIN_MS <= now) return undefined
    return held.ticket
  }

  /** Finds the targets with a ticket that has not expired. */
  findTargetsWithTicket (now: number): readonly string[] {
    const targets: string[] = []
    for (const [target, { validUntil }] of this.tickets) {
      if (validUntil - TICKET_MARGIN_MS > now) targets.push(target)
    }
    return targets
  }

  /** Removes a ticket that the target refused. */
  removeTicket (target: string): void {
    this.tickets.delete(target)
  }

  record (requestedTargets: readonly string[], tickets: ReadonlyArray<{ readonly target: string, readonly ticket: string, readonly incarnation: number | undefined }>, validUntil: number): void {
    this.validUntil = validUntil
    for (const target of requestedTargets) this.coveredTargets.add(target)
    for (const { target, ticket, incarnation } of tickets) {
      this.allowedTargets.add(target)
      if (incarnation !== undefined) this.tickets.set(target, { ticket, incarnation, validUntil })
    }
  }
}
