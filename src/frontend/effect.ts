import type { MemberId } from '../model/ids.ts'
import type { CallerMessage } from '../model/peer.ts'
import type { SubmissionResponse, GroupResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { CountEffect, LogEffect } from '../model/report.ts'

/** An effect of the frontend. */
export type FrontendEffect =
  | { readonly type: 'send', readonly to: MemberId, readonly message: CallerMessage }
  /** Ends the waiting caller's response. */
  | { readonly type: 'answer-caller', readonly nonce: string, readonly work: string | undefined, readonly answer: SubmissionResponse }
  | { readonly type: 'reply-caller', readonly nonce: string, readonly reply: GroupResponse }
  | { readonly type: 'refuse-request', readonly nonce: string, readonly refusal: Refusal }
  | CountEffect
  | LogEffect
