import type { Refusal } from './refusal.ts'
import type { QueueName, TaskId, TeamName, WorkId } from './ids.ts'
import type { Resources } from './resources.ts'
import type { Verdict } from './verdict.ts'

/** Final or interim response to submitted work. */
export type SubmissionResponse =
  /** The job is stored and can no longer be lost. */
  | { readonly type: 'accepted', readonly work: WorkId }
  | { readonly type: 'succeeded', readonly output: unknown }
  | { readonly type: 'failed', readonly reason: string, readonly verdict: Verdict }
  | { readonly type: 'refused', readonly refusal: Refusal, readonly verdict: Verdict }

/** A request about work or a group, sent to the group's owner. */
export type GroupRequest =
  | { readonly type: 'status', readonly work: WorkId }
  /** `team` is absent in an operator's request. */
  | { readonly type: 'cancel', readonly work: WorkId, readonly team?: TeamName }
  /** Cancels all work of the group that matches both selectors; an absent selector matches all. */
  | { readonly type: 'cancel-matching', readonly team?: TeamName, readonly queue?: QueueName }
  | { readonly type: 'explain', readonly task: TaskId }
  | { readonly type: 'overview' }

/** State of a task. */
export type TaskState = 'waiting' | 'starting' | 'running' | 'ended'

/** State of a request or job. */
export type JobState = 'accepted' | 'running' | 'succeeded' | 'failed' | 'cancelled'

/** State of a request or job, with the number of its tasks in each state. */
export type JobStatus = {
  readonly work: WorkId
  readonly team: TeamName
  readonly kind: 'request' | 'service' | 'batch' | 'gang'
  readonly state: JobState
  readonly waiting: number
  readonly running: number
  readonly succeeded: number
  readonly failed: number
  /** Number of tasks that may or may not have run. */
  readonly unknown: number
}

/** Why a task waits, was placed, was refused or was stopped, with the recorded decisions. */
export type Explanation = {
  readonly task: TaskId
  readonly state: TaskState
  /** The current reason, a kebab-case id such as `team-limit`; `detail` explains it in a sentence. */
  readonly reason: string
  readonly detail: string
  readonly target?: string
  readonly decisions: readonly { readonly at: number, readonly decision: string, readonly detail: string }[]
}

/** Usage and waiting work of a team in one group. */
export type TeamOverview = {
  readonly team: TeamName
  readonly used: Resources
  readonly grant: Resources
  readonly share: number
  readonly entitled: number
  readonly waiting: number
}

/** Teams, targets and waiting work of one group. */
export type GroupOverview = {
  readonly group: number
  readonly teams: readonly TeamOverview[]
  readonly targets: readonly { readonly id: string, readonly host: string, readonly failureDomain: string, readonly state: string, readonly capacity: Resources, readonly used: Resources }[]
  readonly waiting: Readonly<Record<'urgent' | 'request' | 'service' | 'batch' | 'gang', number>>
}

/** Response to the request of the same type. */
export type GroupResponse =
  | { readonly type: 'status', readonly status: JobStatus | undefined }
  | { readonly type: 'cancel', readonly outcome: 'cancelled' | 'already-ended' | 'not-found' | 'store-unavailable' | 'other-team' | 'defined-service' }
  | { readonly type: 'cancel-matching', readonly cancelled: number }
  | { readonly type: 'explain', readonly explanation: Explanation | undefined }
  | { readonly type: 'overview', readonly overview: GroupOverview }
  /** The member that received the request does not own the group, or the group is not ready. */
  | { readonly type: 'not-owner' }
