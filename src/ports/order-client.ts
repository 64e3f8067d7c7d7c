import type { TargetListing } from '../workflow/target-entry.ts'

/** The life of the target that an order is meant for. */
export type OrderTarget = { readonly id: string, readonly address: string }

export type StartOrder = {
  readonly task: string
  readonly run: number
  readonly payload: string
  /** Time on the target's clock until which everything on it may run. */
  readonly leaseUntilMs: number
  readonly epoch: number
  readonly checkpoint: string
  readonly ticket: string | undefined
}

export type StopOrder = { readonly task: string, readonly run: number, readonly epoch: number }

export type PaceOrder = StopOrder & { readonly percent: number }

export type ListOrder = {
  readonly epoch: number
  /** Ends up to this number are stored and may be forgotten by the target. */
  readonly acknowledged: number
  readonly leaseUntilMs: number | undefined
  /** How long the answer may wait for an end. */
  readonly waitMs: number
}

/**
 * Why a target did not carry out an order.
 *
 * `fenced`: a newer epoch has spoken to it. `superseded`: this or a later run of the task was there. `expired`: the
 * order's lease had ended. `no-room`, `no-ticket`: as named. `invalid`: the order itself is wrong.
 * `unhealthy`: nothing was done. `other-incarnation`: another target answers at the address.
 */
export type OrderRefusal = 'fenced' | 'superseded' | 'expired' | 'no-room' | 'no-ticket' | 'invalid' | 'unhealthy' | 'other-incarnation'

export type OrderAnswer =
  | { readonly type: 'accepted', readonly clockMs: number | undefined }
  | { readonly type: 'refused', readonly reason: OrderRefusal, readonly clockMs: number | undefined }
  /** The order may have been carried out, or may be carried out later. */
  | { readonly type: 'unanswered', readonly reason: string }

export type ListAnswer =
  | { readonly type: 'listed', readonly listing: TargetListing }
  | { readonly type: 'refused', readonly reason: OrderRefusal }
  | { readonly type: 'unanswered', readonly reason: string }

/** Sends orders to targets. */
export type OrderClient = {
  readonly start: (target: OrderTarget, order: StartOrder) => Promise<OrderAnswer>
  readonly stop: (target: OrderTarget, order: StopOrder) => Promise<OrderAnswer>
  readonly pace: (target: OrderTarget, order: PaceOrder) => Promise<OrderAnswer>
  readonly list: (target: OrderTarget, order: ListOrder) => Promise<ListAnswer>
}

export type Ticket = { readonly target: string, readonly ticket: string }

export type AdviceAnswer =
  | { readonly type: 'advised', readonly tickets: readonly Ticket[], readonly validityMs: number | undefined }
  | { readonly type: 'failed', readonly reason: string }

/** An answer that a member has had: the targets that were named, the tickets, and how long these are valid still. */
export type KnownAdvice = {
  readonly step: string
  readonly asked: readonly string[]
  readonly tickets: readonly Ticket[]
  readonly validForMs: number
}

/** Asks the service that knows which targets may run a step. */
export type Advisor = {
  readonly advise: (step: string, targets: readonly string[], timeoutMs: number) => Promise<AdviceAnswer>
}
