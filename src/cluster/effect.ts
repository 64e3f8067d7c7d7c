import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber, MemberId, Revision, TeamName } from '../model/ids.ts'
import type { ClusterMessage } from '../model/peer.ts'
import type { CountEffect, LogEffect } from '../model/report.ts'
import type { Resources } from '../model/resources.ts'
import type { StoreCall } from '../ports/store.ts'

/** Outcome of a request to publish a revision. */
export type PublishOutcome =
  /** The revision is in the store, and the members in `inForce`, which form a majority, have applied it. */
  | { readonly type: 'accepted', readonly revision: Revision, readonly inForce: readonly MemberId[] }
  | { readonly type: 'conflict', readonly revision: Revision, readonly author: string }
  | { readonly type: 'invalid', readonly detail: string }
  | { readonly type: 'unavailable', readonly verdict: 'not-applied' | 'may-have-applied' }

/** An effect of the `cluster` module. */
export type ClusterEffect =
  | { readonly type: 'store-call', readonly callId: number, readonly call: StoreCall }
  | { readonly type: 'peer-send', readonly to: MemberId, readonly address: string, readonly message: ClusterMessage }
  | { readonly type: 'group-acquired', readonly group: GroupNumber, readonly epoch: Epoch }
  | { readonly type: 'group-released', readonly group: GroupNumber, readonly epoch: Epoch }
  | { readonly type: 'owner-changed', readonly group: GroupNumber, readonly owner: MemberId, readonly address: string, readonly epoch: Epoch }
  | { readonly type: 'configuration-applied', readonly configuration: Configuration }
  | { readonly type: 'freshness-changed', readonly fresh: boolean }
  | { readonly type: 'grant-changed', readonly group: GroupNumber, readonly team: TeamName, readonly amount: Resources }
  | { readonly type: 'publish-answered', readonly requestId: string, readonly outcome: PublishOutcome }
  | { readonly type: 'left' }
  | CountEffect
  | LogEffect
