import type { Result } from 'neverthrow'
import type { MemberId } from '../model/ids.ts'
import type { PeerEnvelope } from '../model/peer.ts'

export type PeerFailure = { readonly reason: 'timeout' | 'unavailable' | 'rejected' }

/**
 * One-way messages between members. `ok` means that the other process has received the message, a failure that it may
 * or may not have. Messages may be lost, late, doubled or out of order.
 */
export type PeerTransport = {
  readonly send: (to: MemberId, address: string, envelope: PeerEnvelope) => Promise<Result<void, PeerFailure>>
}
