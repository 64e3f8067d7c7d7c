import type { Submission } from '../src/frontend/event.ts'
import type { Change } from '../src/model/configuration.ts'
import type { KeyId, MemberId, WorkId } from '../src/model/ids.ts'
import type { SubmissionResponse } from '../src/model/group-request.ts'
import type { PublicationOutcome } from './history.ts'

/** A request of a caller, as a member receives it. */
export type CallerRequest = {
  readonly submission: Submission
  readonly key?: KeyId
  readonly idempotencyKey?: string
}

/** Callbacks for the outcome of one HTTP request. */
export type Exchange<Reply> = {
  readonly onResponse: (reply: Reply) => void
  readonly onDisconnected: (cause: 'member-exited' | 'member-died') => void
}

/** Operations of callers and operators on members. */
export type MemberAccess = {
  /** Returns the members that the load balancer uses: those whose process runs, including paused ones. */
  readonly getLiveMembers: () => readonly MemberId[]
  readonly submit: (member: MemberId, request: CallerRequest, exchange: Exchange<SubmissionResponse>) => void
  readonly cancel: (member: MemberId, work: WorkId, key: KeyId | undefined, exchange: Exchange<unknown>) => void
  readonly publish: (member: MemberId, author: string, changes: readonly Change[], exchange: Exchange<PublicationOutcome>) => void
}
