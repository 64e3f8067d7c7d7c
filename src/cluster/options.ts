import type { FailureDomainName, GroupNumber, MemberId, TeamName } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'

/** A member named in the settings, which may already be running. */
export type SeedPeer = { readonly id: MemberId, readonly address: string }

/** Durations in milliseconds. The defaults are documented on the design page. */
export type ClusterTimings = {
  /** Interval of heartbeats to each other member. */
  readonly heartbeatMs: number
  /** Validity of a renewal promise, counted from the sending of the request. */
  readonly promiseMs: number
  readonly storeLeaseMs: number
  readonly storeRenewalMs: number
  /** Subtracted from the validity of the store lease, because clocks run at slightly different rates. */
  readonly clockMarginMs: number
  readonly freshnessMs: number
  /** Maximum wait of one watch. Well below `freshnessMs`, because a watch confirms only the state at the time it was sent. */
  readonly watchWaitMs: number
  readonly callTimeoutMs: number
  /** Time for which the set of live members must be unchanged before groups move to their preferred members. */
  readonly rebalanceDelayMs: number
  /** A member without a store lease for this long is removed from the roster. */
  readonly removalMs: number
  /** The member of rank n waits n times this delay before it claims a group, so that the preferred member (rank 0) claims first. */
  readonly claimRankDelayMs: number
  readonly publishTimeoutMs: number
  /** After this time a leaving member stops waiting for its removal from the roster. */
  readonly leaveTimeoutMs: number
  readonly grantRetryMs: number
}

/** Default durations. */
export const DEFAULT_TIMINGS: ClusterTimings = {
  heartbeatMs: 1_000,
  promiseMs: 3_000,
  storeLeaseMs: 4_000,
  storeRenewalMs: 1_000,
  clockMarginMs: 100,
  freshnessMs: 3_000,
  watchWaitMs: 1_000,
  callTimeoutMs: 2_000,
  rebalanceDelayMs: 2_000,
  removalMs: 60_000,
  claimRankDelayMs: 1_500,
  publishTimeoutMs: 10_000,
  leaveTimeoutMs: 10_000,
  grantRetryMs: 500
}

/** Returns the resources that the running tasks of a team use in a group that this member owns. */
export type UsageQuery = (group: GroupNumber, team: TeamName) => Resources

/** Options of a `Cluster`. */
export type ClusterOptions = {
  readonly member: MemberId
  /** Later starts of a member id must have incarnations that sort later, compared as strings. */
  readonly incarnation: string
  readonly address: string
  readonly failureDomain: FailureDomainName
  readonly seedPeers: readonly SeedPeer[]
  readonly groups: number
  readonly seed: number
  readonly timings?: Partial<ClusterTimings>
  readonly getUsage: UsageQuery
}
