import type { Change, ConfigurationRevision } from './configuration.ts'
import type { Epoch, GroupNumber, MemberId, Revision, TeamName, WorkId } from './ids.ts'
import type { Resources } from './resources.ts'
import type { SubmissionResponse, GroupRequest, GroupResponse } from './group-request.ts'
import type { Work } from './work.ts'

/** What an owner reports to the other members about a group, for the choice of a group for new work. */
export type GroupSummary = {
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly ready: boolean
  readonly free: Resources
  /** Most that one target has free, in each resource. */
  readonly largestFree: Resources
  readonly waiting: number
}

/** Member of the roster. */
export type RosterMember = { readonly id: MemberId, readonly address: string, readonly failureDomain: string }

/** The members whose majority counts; `revision` grows by one with each change of one member. */
export type Roster = { readonly revision: number, readonly members: readonly RosterMember[] }

/** Why a member does not promise to renew another; `starting`: the promiser is not yet registered in the store. */
export type RenewalRefusal = 'stale-roster' | 'stopped' | 'not-in-roster' | 'older-incarnation' | 'starting'

/** Changes that produce the configuration of `revision` from the empty one. */
export type ConfigurationSnapshot = { readonly revision: Revision, readonly author: string, readonly changes: readonly Change[] }

/** Messages of the module `cluster`. */
export type ClusterMessage =
  /** `sentAt` is on the sender's monotonic clock and comes back in the response; `address` is given by a sender outside the roster. */
  | { readonly type: 'heartbeat', readonly sequence: number, readonly sentAt: number, readonly revision: Revision, readonly roster: number, readonly summaries: readonly GroupSummary[], readonly address?: string }
  | { readonly type: 'heartbeat-answer', readonly sequence: number, readonly sentAt: number, readonly revision: Revision, readonly roster: Roster | undefined, readonly refusal?: RenewalRefusal }
  | { readonly type: 'revisions', readonly revisions: readonly ConfigurationRevision[] }
  /** For a receiver that lacks revisions that the sender no longer keeps. */
  | { readonly type: 'snapshot', readonly snapshot: ConfigurationSnapshot }
  | { readonly type: 'stopped-asked', readonly member: MemberId, readonly incarnation: string, readonly nonce: string }
  | { readonly type: 'stopped-answer', readonly member: MemberId, readonly incarnation: string, readonly nonce: string, readonly stopped: boolean, readonly roster: number }
  | { readonly type: 'ownership', readonly group: GroupNumber, readonly owner: MemberId, readonly epoch: Epoch }
  | GrantMessage

/** Messages between the keeper of a team (the owner of group `keeper`) and the groups that use the team's limit. */
export type GrantMessage =
  | { readonly type: 'grant-report-asked', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch }
  | { readonly type: 'grant-report', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch, readonly group: GroupNumber, readonly epoch: Epoch, readonly sequence: number, readonly held: readonly TeamAmount[] }
  /** States what the group holds and needs; also sent to return a part of a grant, which was lowered before. */
  | { readonly type: 'grant-asked', readonly keeper: GroupNumber, readonly group: GroupNumber, readonly epoch: Epoch, readonly sequence: number, readonly team: TeamName, readonly held: Resources, readonly wanted: Resources }
  | { readonly type: 'grant-given', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch, readonly group: GroupNumber, readonly epoch: Epoch, readonly sequence: number, readonly team: TeamName, readonly amount: Resources }
  | { readonly type: 'grant-recalled', readonly keeper: GroupNumber, readonly keeperEpoch: Epoch, readonly group: GroupNumber, readonly epoch: Epoch, readonly team: TeamName, readonly wanted: Resources }

export type TeamAmount = { readonly team: TeamName, readonly amount: Resources }

/** Messages between the member that holds a caller's connection and the owner of the group. */
export type CallerMessage =
  /**
   * `epoch`: the ownership that it is meant for; a copy that is late must not reach a later one. `resumed`: the same work
   * was sent to a previous owner. `nonce` is the pending entry of the frontend.
   */
  | { readonly type: 'submit', readonly work: Work, readonly epoch: Epoch, readonly nonce: string, readonly resumed: boolean }
  /** `epoch`: the ownership that responds; a refusal of an ownership that has ended may be outdated. */
  | { readonly type: 'answer', readonly work: WorkId, readonly epoch: Epoch, readonly nonce: string, readonly answer: SubmissionResponse }
  | { readonly type: 'answer-received', readonly work: WorkId, readonly nonce: string }
  | { readonly type: 'ask', readonly nonce: string, readonly group: GroupNumber, readonly question: GroupRequest }
  | { readonly type: 'reply', readonly nonce: string, readonly reply: GroupResponse }

export type PeerMessage = ClusterMessage | CallerMessage

/** A message with its sender; a receiver drops messages of an older incarnation than it has seen. */
export type PeerEnvelope = {
  readonly from: MemberId
  readonly incarnation: string
  readonly message: PeerMessage
}
