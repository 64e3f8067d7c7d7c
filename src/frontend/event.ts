import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber, KeyId, MemberId, QueueName, TaskId, TeamName, WorkId } from '../model/ids.ts'
import type { CallerMessage, GroupSummary } from '../model/peer.ts'
import type { Resources } from '../model/resources.ts'

/** What a caller asks to run, after the check of its form. */
export type Submission = {
  readonly kind: 'request' | 'service' | 'batch' | 'gang'
  readonly queue: string
  readonly count: number
  readonly family: string
  readonly resources: Resources
  readonly expectedMs: number
  readonly urgent: boolean
  readonly idempotent: boolean
  readonly payload: unknown
  /** Time that a request may take from now, in milliseconds. */
  readonly timeoutMs: number
  /** When the idempotency key was issued, if it tells. */
  readonly keyIssuedAt?: number
}

/**
 * A verified key, or none. Verification of the secret is done before the event, whether the key is still in force when
 * the event is handled.
 */
export type Credential = { readonly type: 'none' } | { readonly type: 'rejected' } | { readonly type: 'key', readonly id: KeyId, readonly hash: string }

/** An event of the frontend; `now` is in milliseconds since 1970 and never decreases. */
export type FrontendEvent = { readonly now: number } & (
  | { readonly type: 'tick' }
  /** `nonce` names the waiting caller; `suffix` becomes the end of the work id, and is derived from the key if `keyed`. */
  | { readonly type: 'caller-submitted', readonly nonce: string, readonly suffix: string, readonly keyed: boolean, readonly credential: Credential, readonly submission: Submission }
  | { readonly type: 'caller-requested', readonly nonce: string, readonly credential: Credential, readonly request: CallerRequest }
  | { readonly type: 'caller-gone', readonly nonce: string }
  | { readonly type: 'message-received', readonly from: MemberId, readonly message: Extract<CallerMessage, { type: 'answer' | 'reply' }> }
  | { readonly type: 'owner-changed', readonly group: GroupNumber, readonly owner: MemberId, readonly epoch: Epoch }
  /** A message came from a member that was silent for some seconds. */
  | { readonly type: 'member-heard-again', readonly member: MemberId }
  | { readonly type: 'summaries-changed', readonly summaries: readonly GroupSummary[] }
  | { readonly type: 'configuration-applied', readonly configuration: Configuration }
  | { readonly type: 'freshness-changed', readonly fresh: boolean }
  | { readonly type: 'leave-requested' }
)

/**
 * A question of a caller. The team of a cancellation comes from its key; an operator may cancel work of any team. A
 * matching cancellation is checked before it is asked.
 */
export type CallerRequest =
  | { readonly type: 'status', readonly work: WorkId }
  | { readonly type: 'cancel', readonly work: WorkId, readonly operator: boolean }
  | { readonly type: 'cancel-matching', readonly group: GroupNumber, readonly team?: TeamName, readonly queue?: QueueName }
  | { readonly type: 'explain', readonly task: TaskId }
  | { readonly type: 'overview', readonly group: GroupNumber }
