import type { Submission } from '../src/frontend/event.ts'
import type { Change } from '../src/model/configuration.ts'
import type { KeyId, MemberId, WorkId } from '../src/model/ids.ts'
import type { SubmissionResponse } from '../src/model/group-request.ts'
import type { PublicationAnswer } from './history.ts'

/** What a caller sends. */
export type CallerRequest = {
  readonly submission: Submission
  readonly key?: KeyId
  readonly idempotencyKey?: string
}

/** What happens to one HTTP request. */
export type Exchange<Reply> = {
  readonly answered: (reply: Reply) => void
  readonly disconnected: (cause: 'member-exited' | 'member-died') => void
}

/** The members as callers and operators reach them. */
export type MemberAccess = {
  /** Members that the load balancer uses: those whose process runs, paused ones included. */
  readonly live: () => readonly MemberId[]
  readonly submit: (member: MemberId, request: CallerRequest, exchange: Exchange<SubmissionResponse>) => void
  readonly cancel: (member: MemberId, work: WorkId, key: KeyId | undefined, exchange: Exchange<unknown>) => void
  readonly publish: (member: MemberId, author: string, changes: readonly Change[], exchange: Exchange<PublicationAnswer>) => void
}
