import type { Result } from 'neverthrow'
import type { MemberId } from '../model/ids.ts'
import type { PeerEnvelope } from '../model/peer.ts'

/** Why a message could not be sent. */
export type PeerFailure = { readonly reason: 'timeout' | 'unavailable' | 'rejected' }

/**
 * Sends one-way messages to other members. `ok` means that the other process has received the message; after a failure it
 * is unknown whether it has. Messages may be lost, delayed, duplicated or reordered.
 */
export type PeerTransport = {
  readonly send: (to: MemberId, address: string, envelope: PeerEnvelope) => Promise<Result<void, PeerFailure>>
}
