import type { Change } from '../src/model/configuration.ts'
import type { FailureDomainName, KeyId, MemberId, QueueName, Revision, TargetId, TaskId, TeamName } from '../src/model/ids.ts'
import type { SubmissionResponse } from '../src/model/group-request.ts'
import type { Resources } from '../src/model/resources.ts'
import type { TaskOutcome, WorkKind } from '../src/model/work.ts'

/** Identifier of one HTTP request of a caller. */
export type CallId = string

/**
 * Identifies the request independently of the scheduler: the caller chooses the token and sends it in the payload, and no
 * id of the scheduler enters it. Calls that repeat a request with the same idempotency key have the same token.
 */
export type RequestToken = string

/** Outcome of a publication as the operator received it. */
export type PublicationOutcome =
  | { readonly type: 'accepted', readonly revision: Revision }
  | { readonly type: 'rejected' }
  | { readonly type: 'unknown' }

/** An event that is visible to a caller, a target, an operator or the host list. */
export type ObservedEvent =
  | { readonly type: 'caller-sent', readonly call: CallId, readonly token: RequestToken, readonly member: MemberId, readonly queue: QueueName, readonly key?: KeyId, readonly kind: WorkKind['kind'], readonly idempotent: boolean, readonly expected: unknown, readonly deadlineAt?: number }
  | { readonly type: 'caller-answered', readonly call: CallId, readonly answer: SubmissionResponse }
  /** The connection broke before a response arrived. */
  | { readonly type: 'caller-disconnected', readonly call: CallId, readonly cause: 'member-exited' | 'member-died' }
  /** The caller asked to cancel the work of the call. */
  | { readonly type: 'caller-cancelled', readonly call: CallId }
  | { readonly type: 'queue-defined', readonly queue: QueueName, readonly open: boolean, readonly team: TeamName }
  | { readonly type: 'target-listed', readonly target: TargetId, readonly failureDomain: FailureDomainName, readonly capacity: Resources }
  /** The host list shows the host of the target as leaving from this moment. */
  | { readonly type: 'target-leaving', readonly target: TargetId }
  /** The host list shows the host of the target as live again. */
  | { readonly type: 'target-returned', readonly target: TargetId }
  | { readonly type: 'task-started', readonly target: TargetId, readonly taskId: TaskId, readonly attempt: number, readonly token: RequestToken, readonly team: TeamName, readonly resources: Resources }
  | { readonly type: 'task-ended', readonly target: TargetId, readonly taskId: TaskId, readonly attempt: number, readonly outcome: TaskOutcome }
  /** The target process died, and all tasks on it with it. */
  | { readonly type: 'target-died', readonly target: TargetId }
  | { readonly type: 'publication-asked', readonly ask: string, readonly changes: readonly Change[] }
  | { readonly type: 'publication-answered', readonly ask: string, readonly answer: PublicationOutcome }
  /** A member reported its configuration to an operator; `digest` identifies the content. */
  | { readonly type: 'configuration-shown', readonly member: MemberId, readonly incarnation: string, readonly revision: Revision, readonly fresh: boolean, readonly digest: string }
  | { readonly type: 'member-started', readonly member: MemberId, readonly incarnation: string }
  | { readonly type: 'member-shutdown-asked', readonly member: MemberId }
  | { readonly type: 'member-exited', readonly member: MemberId }
  | { readonly type: 'member-died', readonly member: MemberId }
  /** End of the observation; the checks measure calls without an answer against this time. */
  | { readonly type: 'ended' }

/** An event with the time in milliseconds, on the clock of the simulation, at which it was observed. */
export type Observation = { readonly at: number } & ObservedEvent

/** The observation of one type. */
export type ObservationOf<Type extends ObservedEvent['type']> = Extract<Observation, { readonly type: Type }>

/** Observations ordered by time; those of the same millisecond are in the order in which they occurred. */
export type History = readonly Observation[]

/**
 * Returns the observations of one type, in order.
 *
 * @example
 * ofType(history, 'task-started')
 */
export function filterByType<Type extends ObservedEvent['type']> (history: History, type: Type): readonly ObservationOf<Type>[] {
  return history.filter((observation): observation is ObservationOf<Type> => observation.type === type)
}

/**
 * Returns the time of the last observation, or 0 for an empty history.
 *
 * @example
 * endOf([{ at: 7, type: 'ended' }]) // 7
 */
export function getEndTime (history: History): number {
  return history.at(-1)?.at ?? 0
}
