import type { Epoch, GroupNumber, WorkId } from '../model/ids.ts'
import type { GroupRequest } from '../model/group-request.ts'
import type { Work } from '../model/work.ts'

/** A caller that waits for a response. */
export type PendingCaller = {
  readonly nonce: string
  readonly group: GroupNumber
  /** The work or request that was sent; the counter `resent` has `type` as its reason. */
  readonly content: { readonly type: 'work', readonly work: Work } | { readonly type: 'question', readonly request: GroupRequest }
  /** When the frontend stops waiting, in milliseconds since 1970. */
  readonly expiresAt: number
  /** Epoch of the owner that the content was last sent to; undefined before it is first sent. */
  sentEpoch: Epoch | undefined
  /** Whether the content was also sent to an owner with a lower epoch. */
  resumed: boolean
  nextSendAt: number
  resends: number
}

/** Delay before the first resend; it doubles with each further one. */
const FIRST_RESEND_DELAY_MS = 1_000
const MAX_RESEND_DELAY_MS = 8_000

/**
 * Computes the time of the next resend, with an exponential delay.
 *
 * @example
 * computeNextSendAt(0, now) // now + 1000
 */
export function computeNextSendAt (resends: number, now: number): number {
  return now + Math.min(MAX_RESEND_DELAY_MS, FIRST_RESEND_DELAY_MS * 2 ** resends)
}

/**
 * Returns the id of the pending work, or undefined if the caller sent a request.
 *
 * @example
 * findWorkId(pending)
 */
export function findWorkId (pending: PendingCaller): WorkId | undefined {
  return pending.content.type === 'work' ? pending.content.work.id : undefined
}
