import type { PublishOutcome } from '../cluster/effect.ts'
import type { FrontendEffect } from '../frontend/effect.ts'
import type { MemberId } from '../model/ids.ts'
import type { PeerMessage } from '../model/peer.ts'
import type { CountEffect, LogEffect } from '../model/report.ts'
import type { Target } from '../model/target.ts'
import type { StoreCall } from '../ports/store.ts'
import type { TargetCall } from '../ports/target-client.ts'

/** An external effect of one member. */
export type Effect =
  | { readonly type: 'store-call', readonly callId: string, readonly call: StoreCall }
  /** The call is sent only if the member may still act for the call's group at the time of sending. */
  | { readonly type: 'target-call', readonly callId: string, readonly target: Target, readonly call: TargetCall }
  | { readonly type: 'read-host-list' }
  | { readonly type: 'peer-send', readonly to: MemberId, readonly address: string, readonly message: PeerMessage }
  | { readonly type: 'publish-answered', readonly requestId: string, readonly outcome: PublishOutcome }
  /** The member has left the cluster; the process can end. */
  | { readonly type: 'left' }
  | Exclude<FrontendEffect, { type: 'send' }>
  | CountEffect
  | LogEffect
