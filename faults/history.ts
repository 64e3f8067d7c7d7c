import type { Change } from '../src/model/configuration.ts'
import type { FailureDomainName, KeyId, MemberId, QueueName, Revision, TargetId, TaskId, TeamName } from '../src/model/ids.ts'
import type { SubmissionResponse } from '../src/model/group-request.ts'
import type { Resources } from '../src/model/resources.ts'
import type { TaskOutcome, WorkKind } from '../src/model/work.ts'

/** Number of one HTTP request of a caller. */
export type CallId = string

/**
 * What the caller means by the work, chosen by the caller and carried in the payload. Calls that repeat a request with
 * the same idempotency key share it; it is not derived from any id of the scheduler.
 */
export type RequestToken = string

/** Outcome of a publication as the operator was told it. */
export type PublicationAnswer =
  | { readonly type: 'accepted', readonly revision: Revision }
  | { readonly type: 'rejected' }
  | { readonly type: 'unknown' }

/** Something that a caller, a target, an operator or the host list sees. */
export type Observed =
  | { readonly type: 'caller-sent', readonly call: CallId, readonly token: RequestToken, readonly member: MemberId, readonly queue: QueueName, readonly key?: KeyId, readonly kind: WorkKind['kind'], readonly idempotent: boolean, readonly expected: unknown, readonly deadlineAt?: number }
  | { readonly type: 'caller-answered', readonly call: CallId, readonly answer: SubmissionResponse }
  /** The connection broke before an answer. */
  | { readonly type: 'caller-disconnected', readonly call: CallId, readonly cause: 'member-exited' | 'member-died' }
  /** The caller asked to cancel the work of the call. */
  | { readonly type: 'caller-cancelled', readonly call: CallId }
  | { readonly type: 'queue-defined', readonly queue: QueueName, readonly open: boolean, readonly team: TeamName }
  | { readonly type: 'target-listed', readonly target: TargetId, readonly failureDomain: FailureDomainName, readonly capacity: Resources }
  /** The host list shows the host of the target as leaving from this moment. */
  | { readonly type: 'target-leaving', readonly target: TargetId }
  /** The host of the target came back as live. */
  | { readonly type: 'target-returned', readonly target: TargetId }
  | { readonly type: 'task-started', readonly target: TargetId, readonly taskId: TaskId, readonly attempt: number, readonly token: RequestToken, readonly team: TeamName, readonly resources: Resources }
  | { readonly type: 'task-ended', readonly target: TargetId, readonly taskId: TaskId, readonly attempt: number, readonly outcome: TaskOutcome }
  /** The target and all that ran there are gone. */
  | { readonly type: 'target-died', readonly target: TargetId }
  | { readonly type: 'publication-asked', readonly ask: string, readonly changes: readonly Change[] }
  | { readonly type: 'publication-answered', readonly ask: string, readonly answer: PublicationAnswer }
  /** A member told an operator its configuration; `digest` identifies the content. */
  | { readonly type: 'configuration-shown', readonly member: MemberId, readonly incarnation: string, readonly revision: Revision, readonly fresh: boolean, readonly digest: string }
  | { readonly type: 'member-started', readonly member: MemberId, readonly incarnation: string }
  | { readonly type: 'member-shutdown-asked', readonly member: MemberId }
  | { readonly type: 'member-exited', readonly member: MemberId }
  | { readonly type: 'member-died', readonly member: MemberId }
  /** The observation ended here; what is open is judged against this moment. */
  | { readonly type: 'ended' }

/** An observation with the real time, in milliseconds, at which it was made. */
export type Observation = { readonly at: number } & Observed

/** The observation of one type. */
export type ObservationOf<Type extends Observed['type']> = Extract<Observation, { readonly type: Type }>

/** Observations in real-time order; those of the same millisecond are in the order in which they happened. */
export type History = readonly Observation[]

/**
 * The observations of one type, in order.
 *
 * @example
 * ofType(history, 'task-started')
 */
export function ofType<Type extends Observed['type']> (history: History, type: Type): readonly ObservationOf<Type>[] {
  return history.filter((observation): observation is ObservationOf<Type> => observation.type === type)
}

/**
 * Moment of the last observation; 0 for an empty history.
 *
 * @example
 * endOf([{ at: 7, type: 'ended' }]) // 7
 */
export function endOf (history: History): number {
  return history.at(-1)?.at ?? 0
}
