import type { Epoch, GroupNumber, WorkId } from '../model/ids.ts'
import type { GroupRequest } from '../model/group-request.ts'
import type { Work } from '../model/work.ts'

/** A caller that waits for an answer. */
export type Pending = {
  readonly nonce: string
  readonly group: GroupNumber
  readonly content: { readonly type: 'work', readonly work: Work } | { readonly type: 'question', readonly request: GroupRequest }
  /** When the frontend stops waiting, in milliseconds since 1970. */
  readonly expiresAt: number
  /** Epoch of the owner that it was last sent to; undefined before the first sending. */
  sentEpoch: Epoch | undefined
  /** Whether an owner with a lower epoch may have it. */
  resumed: boolean
  nextSendAt: number
  resends: number
}

/** Wait before the first repetition; it doubles with each one. */
const FIRST_RESEND_MS = 1_000
const MAX_RESEND_MS = 8_000

/**
 * Time of the next repetition after one more sending.
 *
 * @example
 * nextResend(0, now) // now + 1000
 */
export function nextResend (resends: number, now: number): number {
  return now + Math.min(MAX_RESEND_MS, FIRST_RESEND_MS * 2 ** resends)
}

/**
 * Id of the pending work, if it is work.
 *
 * @example
 * workIdOf(pending)
 */
export function workIdOf (pending: Pending): WorkId | undefined {
  return pending.content.type === 'work' ? pending.content.work.id : undefined
}
