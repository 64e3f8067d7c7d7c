import type { Change, ConfigurationRevision } from './configuration.ts'
import type { Epoch, GroupNumber, MemberId, Revision, TeamName, WorkId } from './ids.ts'
import type { Resources } from './resources.ts'
import type { SubmissionResponse, GroupRequest, GroupResponse } from './group-request.ts'
import type { Work } from './work.ts'

/** State of a group that its owner sends to the other members; they choose a group for new work by it. */
export type GroupSummary = {
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly ready: boolean
  readonly free: Resources
  /** Largest free amount on a single target, separately for each resource. */
  readonly largestFree: Resources
  readonly waiting: number
}

/** A member in the roster. */
export type RosterMember = { readonly id: MemberId, readonly address: string, readonly failureDomain: string }

/** The members of which a majority is a quorum; `revision` increases by one with each change of one member. */
export type Roster = { readonly revision: number, readonly members: readonly RosterMember[] }

/** Why a member gives another no renewal promise; `starting`: the refusing member isn't yet registered in the store. */
export type RenewalRefusal = 'stale-roster' | 'stopped' | 'not-in-roster' | 'older-incarnation' | 'starting'

/** Changes that produce the configuration of `revision` from the empty configuration. */
export type ConfigurationSnapshot = { readonly revision: Revision, readonly author: string, readonly changes: readonly Change[] }

/** Messages between the `cluster` modules of the members. */
export type ClusterMessage =
  /** `sentAt` is on the sender's monotonic clock and is returned in the response; only a sender outside the roster sets `address`. */
  | { readonly type: 'heartbeat', readonly sequence: number, readonly sentAt: number, readonly revision: Revision, readonly roster: number, readonly summaries: readonly GroupSummary[], readonly address?: string }
  | { readonly type: 'heartbeat-answer', readonly sequence: number, readonly sentAt: number, readonly revision: Revision, readonly roster: Roster | undefined, readonly refusal?: RenewalRefusal }
  | { readonly type: 'revisions', readonly revisions: readonly ConfigurationRevision[] }
  /** Sent to a member that needs revisions that the sender no longer keeps. */
  | { readonly type: 'snapshot', readonly snapshot: ConfigurationSnapshot }
  | { readonly type: 'stopped-asked', readonly member: MemberId, readonly incarnation: string, readonly nonce: string }
  | { readonly type: 'stopped-answer', readonly member: MemberId, readonly incarnation: string, readonly nonce: string, readonly stopped: boolean, readonly roster: number }
  | { readonly type: 'ownership', readonly group: GroupNumber, readonly owner: MemberId, readonly epoch: Epoch }
  | GrantMessage

/** Messages between the keeper of a team (the owner of group `keeper`) and the groups that use the team's limit. */
export type GrantMessage =
  | { readonly type: 'grant-report-asked', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch }
  | { readonly type: 'grant-report', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch, readonly group: GroupNumber, readonly epoch: Epoch, readonly sequence: number, readonly held: readonly TeamAmount[] }
  /** Reports what the group holds and needs. Also returns a part of a grant; the sender has lowered its grant before. */
  | { readonly type: 'grant-asked', readonly keeper: GroupNumber, readonly group: GroupNumber, readonly epoch: Epoch, readonly sequence: number, readonly team: TeamName, readonly held: Resources, readonly wanted: Resources }
  | { readonly type: 'grant-given', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch, readonly group: GroupNumber, readonly epoch: Epoch, readonly sequence: number, readonly team: TeamName, readonly amount: Resources }
  | { readonly type: 'grant-recalled', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch, readonly group: GroupNumber, readonly epoch: Epoch, readonly team: TeamName, readonly wanted: Resources }

/** An amount of resources of one team. */
export type TeamAmount = { readonly team: TeamName, readonly amount: Resources }

/** Messages between the member with a caller's connection and the owner of the group. */
export type CallerMessage =
  /**
   * `epoch`: the ownership that the message is addressed to; a later ownership must not accept a delayed copy. `resumed`:
   * the same work was sent to a previous owner. `nonce` identifies the waiting caller in the frontend.
   */
  | { readonly type: 'submit', readonly work: Work, readonly epoch: Epoch, readonly nonce: string, readonly resumed: boolean }
  /** `epoch`: the ownership that responds; a refusal from an ownership that has ended may be outdated. */
  | { readonly type: 'answer', readonly work: WorkId, readonly epoch: Epoch, readonly nonce: string, readonly answer: SubmissionResponse }
  | { readonly type: 'answer-received', readonly work: WorkId, readonly nonce: string }
  | { readonly type: 'ask', readonly nonce: string, readonly group: GroupNumber, readonly question: GroupRequest }
  | { readonly type: 'reply', readonly nonce: string, readonly reply: GroupResponse }

/** A message between members. */
export type PeerMessage = ClusterMessage | CallerMessage

/** A message with its sender; the receiver drops messages of an incarnation older than the newest that it has seen. */
export type PeerEnvelope = {
  readonly from: MemberId
  readonly incarnation: string
  readonly message: PeerMessage
}
