import type { Result } from 'neverthrow'
import type { Change } from '../model/configuration.ts'
import type { Revision } from '../model/ids.ts'
import type { PeerEnvelope } from '../model/peer.ts'
import type { HostListFailure, HostListing } from '../ports/host-list.ts'
import type { StoreResponse, StoreFailure } from '../ports/store.ts'
import type { TargetResponse, TargetFailure } from '../ports/target-client.ts'
import type { FrontendEvent } from '../frontend/event.ts'

/**
 * An event of one member. `now` is the wall clock at the start of the process plus its monotonic clock, in milliseconds
 * since 1970; it never decreases.
 */
export type Event = { readonly now: number } & (
  | { readonly type: 'tick' }
  /** The event loop was delayed by `lateMs` because the process was paused or the host was overloaded. */
  | { readonly type: 'paused', readonly lateMs: number }
  | { readonly type: 'store-answered', readonly callId: string, readonly result: Result<StoreResponse, StoreFailure> }
  | { readonly type: 'target-answered', readonly callId: string, readonly result: Result<TargetResponse, TargetFailure> }
  | { readonly type: 'host-list-answered', readonly result: Result<HostListing, HostListFailure> }
  | { readonly type: 'peer-received', readonly envelope: PeerEnvelope }
  | Extract<FrontendEvent, { type: 'caller-submitted' | 'caller-requested' | 'caller-gone' }>
  | { readonly type: 'publish-requested', readonly requestId: string, readonly author: string, readonly expected?: Revision, readonly changes: readonly Change[] }
  /** Graceful shutdown: the member responds to the waiting callers, hands over its groups and then emits `left`. */
  | { readonly type: 'leave-requested' }
)
