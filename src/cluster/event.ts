import type { Result } from 'neverthrow'
import type { Change } from '../model/configuration.ts'
import type { GroupNumber, MemberId, Revision, TeamName } from '../model/ids.ts'
import type { ClusterMessage, GroupSummary, TeamAmount } from '../model/peer.ts'
import type { Resources } from '../model/resources.ts'
import type { StoreResponse, StoreFailure } from '../ports/store.ts'

/** An event for the `cluster` module; `now` is the member's monotonic clock in milliseconds. */
export type ClusterEvent = { readonly now: number } & (
  | { readonly type: 'tick' }
  | { readonly type: 'store-answered', readonly callId: number, readonly result: Result<StoreResponse, StoreFailure> }
  | { readonly type: 'peer-received', readonly from: MemberId, readonly incarnation: string, readonly message: ClusterMessage }
  /** The event loop was delayed by `lateMs`; any lease may have expired. */
  | { readonly type: 'paused', readonly lateMs: number }
  /** `expected` is the revision that the author saw; the request is a conflict if another revision is in force. */
  | { readonly type: 'publish-requested', readonly requestId: string, readonly author: string, readonly at: number, readonly expected?: Revision, readonly changes: readonly Change[] }
  | { readonly type: 'demand-changed', readonly group: GroupNumber, readonly team: TeamName, readonly used: Resources, readonly wanted: Resources }
  /** An acquired group has listed its targets; `used` is what runs on them. */
  | { readonly type: 'group-recovered', readonly group: GroupNumber, readonly used: readonly TeamAmount[] }
  | { readonly type: 'summary-changed', readonly summary: GroupSummary }
  /** Graceful shutdown: hands over the groups, then emits `left`. */
  | { readonly type: 'leave-requested' }
)
