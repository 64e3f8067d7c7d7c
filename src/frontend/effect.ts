import type { MemberId } from '../model/ids.ts'
import type { CallerMessage } from '../model/peer.ts'
import type { SubmissionResponse, GroupResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { CountEffect, LogEffect } from '../model/report.ts'

/** An effect of the frontend. */
export type FrontendEffect =
  | { readonly type: 'send', readonly to: MemberId, readonly message: CallerMessage }
  /** Responds to the caller that submitted work; `work` is undefined if the submission was refused before it got an id. */
  | { readonly type: 'answer-caller', readonly nonce: string, readonly work: string | undefined, readonly response: SubmissionResponse }
  /** Responds to the caller that sent a request about work or a group. */
  | { readonly type: 'reply-caller', readonly nonce: string, readonly response: GroupResponse }
  /** Refuses a request about work or a group. */
  | { readonly type: 'refuse-request', readonly nonce: string, readonly refusal: Refusal }
  | CountEffect
  | LogEffect
