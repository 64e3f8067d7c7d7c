import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber, KeyId, MemberId, QueueName, TaskId, TeamName, WorkId } from '../model/ids.ts'
import type { CallerMessage, GroupSummary } from '../model/peer.ts'
import type { Resources } from '../model/resources.ts'

/** Work that a caller submits, after validation. */
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
  /** Maximum time from the submission to the response of a request, in milliseconds. */
  readonly timeoutMs: number
  /** When the idempotency key was issued, if the key contains its time; milliseconds since 1970. */
  readonly keyIssuedAt?: number
}

/**
 * A caller's key, or none. The secret is verified before the event is dispatched; whether the key is still current is
 * checked when the event is handled.
 */
export type Credential = { readonly type: 'none' } | { readonly type: 'rejected' } | { readonly type: 'key', readonly id: KeyId, readonly hash: string }

/** An event of the frontend; `now` is in milliseconds since 1970 and never decreases. */
export type FrontendEvent = { readonly now: number } & (
  | { readonly type: 'tick' }
  /**
   * `nonce` identifies the waiting caller. `suffix` becomes the end of the work id; it is derived from the caller's
   * idempotency key if `hasIdempotencyKey` is set, and random otherwise.
   */
  | { readonly type: 'caller-submitted', readonly nonce: string, readonly suffix: string, readonly hasIdempotencyKey: boolean, readonly credential: Credential, readonly submission: Submission }
  | { readonly type: 'caller-requested', readonly nonce: string, readonly credential: Credential, readonly request: CallerRequest }
  | { readonly type: 'caller-gone', readonly nonce: string }
  | { readonly type: 'message-received', readonly from: MemberId, readonly message: Extract<CallerMessage, { type: 'answer' | 'reply' }> }
  | { readonly type: 'owner-changed', readonly group: GroupNumber, readonly owner: MemberId, readonly epoch: Epoch }
  /** A heartbeat has arrived from a member that was unreachable for some seconds. */
  | { readonly type: 'member-reachable', readonly member: MemberId }
  | { readonly type: 'summaries-changed', readonly summaries: readonly GroupSummary[] }
  | { readonly type: 'configuration-applied', readonly configuration: Configuration }
  | { readonly type: 'freshness-changed', readonly fresh: boolean }
  | { readonly type: 'leave-requested' }
)

/**
 * A caller's request about work or a group. The team of a `cancel` is that of the caller's key; an operator may cancel
 * work of any team. The permission for a `cancel-matching` is checked before the event is dispatched.
 */
export type CallerRequest =
  | { readonly type: 'status', readonly work: WorkId }
  | { readonly type: 'cancel', readonly work: WorkId, readonly operator: boolean }
  | { readonly type: 'cancel-matching', readonly group: GroupNumber, readonly team?: TeamName, readonly queue?: QueueName }
  | { readonly type: 'explain', readonly task: TaskId }
  | { readonly type: 'overview', readonly group: GroupNumber }
