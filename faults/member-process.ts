import type { Result } from 'neverthrow'
import type { Change, Configuration } from '../src/model/configuration.ts'
import type { KeyId, MemberId, WorkId } from '../src/model/ids.ts'
import type { PeerEnvelope, PeerMessage } from '../src/model/peer.ts'
import type { SubmissionResponse } from '../src/model/group-request.ts'
import type { Target } from '../src/model/target.ts'
import type { HostListFailure, HostListing } from '../src/ports/host-list.ts'
import type { StoreResponse, StoreCall, StoreFailure } from '../src/ports/store.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../src/ports/target-client.ts'
import type { PublicationOutcome } from './history.ts'
import type { CallerRequest } from './member-access.ts'

/** An input to a member process. */
export type MemberInput =
  | { readonly type: 'tick' }
  | { readonly type: 'paused', readonly lateMs: number }
  | { readonly type: 'store-answered', readonly callId: string, readonly result: Result<StoreResponse, StoreFailure> }
  | { readonly type: 'target-answered', readonly callId: string, readonly result: Result<TargetResponse, TargetFailure> }
  | { readonly type: 'peer-received', readonly envelope: PeerEnvelope }
  | { readonly type: 'host-list-answered', readonly result: Result<HostListing, HostListFailure> }
  | { readonly type: 'caller-submitted', readonly exchangeId: string, readonly request: CallerRequest }
  | { readonly type: 'caller-cancelled', readonly exchangeId: string, readonly work: WorkId, readonly key: KeyId | undefined }
  | { readonly type: 'publish-requested', readonly exchangeId: string, readonly author: string, readonly changes: readonly Change[] }
  | { readonly type: 'leave-requested' }

/** An output of a member process. */
export type MemberOutput =
  | { readonly type: 'store-call', readonly callId: string, readonly call: StoreCall }
  | { readonly type: 'target-call', readonly callId: string, readonly target: Target, readonly call: TargetCall }
  | { readonly type: 'read-host-list' }
  | { readonly type: 'peer-send', readonly to: MemberId, readonly message: PeerMessage }
  | { readonly type: 'caller-answer', readonly exchangeId: string, readonly answer: SubmissionResponse }
  | { readonly type: 'cancel-reply', readonly exchangeId: string, readonly reply: unknown }
  | { readonly type: 'publish-answer', readonly exchangeId: string, readonly answer: PublicationOutcome }
  | { readonly type: 'left' }

/** One incarnation of a member: the real reducer behind the inputs and outputs of the simulation. */
export type MemberProcess = {
  readonly apply: (now: number, input: MemberInput) => readonly MemberOutput[]
  readonly configuration: () => Configuration
  /** Whether the member's configuration is fresh enough to accept work. */
  readonly isFresh: (now: number) => boolean
  /** Incarnation for envelopes; it changes when the member loses its right to act. */
  readonly incarnation: () => string
}

export type MemberProcessOptions = {
  readonly id: MemberId
  readonly incarnation: string
  readonly failureDomain: string
  readonly seed: number
  /** The member's clock, in milliseconds since 1970. */
  readonly now: number
}

/** Starts an incarnation; broken variants of the system replace it. */
export type CreateMemberProcess = (options: MemberProcessOptions) => MemberProcess
