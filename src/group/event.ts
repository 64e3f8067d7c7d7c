import type { Result } from 'neverthrow'
import type { Configuration } from '../model/configuration.ts'
import type { MemberId, TeamName, WorkId } from '../model/ids.ts'
import type { GroupRequest } from '../model/group-request.ts'
import type { Resources } from '../model/resources.ts'
import type { Target } from '../model/target.ts'
import type { Work } from '../model/work.ts'
import type { StoreEntry, StoreFailure } from '../ports/store.ts'
import type { TargetResponse, TargetFailure } from '../ports/target-client.ts'

/** Outcome of a group commit. `fenced`: the group has another owner. `failed`: the commit was definitely not applied. */
export type CommitOutcome = 'applied' | 'fenced' | 'failed'

/** An input event of one owned group; `now` is in milliseconds since 1970 and never decreases. */
export type GroupEvent = { readonly now: number } & (
  | { readonly type: 'tick' }
  /** All entries with the prefix of the group in the store. */
  | { readonly type: 'loaded', readonly result: Result<readonly StoreEntry[], StoreFailure> }
  | { readonly type: 'commit-settled', readonly commitId: string, readonly outcome: CommitOutcome }
  | { readonly type: 'target-answered', readonly callId: string, readonly result: Result<TargetResponse, TargetFailure> }
  /** The targets of the group according to the host list at `asOf`. */
  | { readonly type: 'hosts-listed', readonly targets: readonly Target[], readonly asOf: number }
  | { readonly type: 'configuration-applied', readonly configuration: Configuration }
  | { readonly type: 'grant-changed', readonly team: TeamName, readonly amount: Resources }
  | { readonly type: 'submitted', readonly from: MemberId, readonly nonce: string, readonly work: Work, readonly resumed: boolean }
  | { readonly type: 'answer-received', readonly from: MemberId, readonly nonce: string, readonly work: WorkId }
  | { readonly type: 'group-requested', readonly from: MemberId, readonly nonce: string, readonly request: GroupRequest }
)
