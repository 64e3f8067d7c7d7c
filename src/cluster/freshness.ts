import type { MemberId, Revision } from '../model/ids.ts'
import type { ConfigurationLoader } from './configuration-loader.ts'
import type { ConfigurationLog } from './configuration-log.ts'
import type { Context } from './context.ts'
import type { Membership } from './membership.ts'
import type { RosterState } from './roster-state.ts'

/** Tracks whether this member's configuration is known to be the newest. */
export class Freshness {
  private storeConfirmedAt = -Infinity
  /** Whether the newest revision was learnt from the store, or from a majority that does not include this member. */
  private hasLearntRevision = false
  /** Revisions in the responses of peers, collected until `hasLearntRevision` is set. */
  private readonly peerRevisions = new Map<MemberId, Revision>()
  private reportedFresh = false

  private constructor (
    private readonly context: Context,
    private readonly log: ConfigurationLog,
    private readonly loader: ConfigurationLoader,
    private readonly membership: Membership,
    private readonly roster: RosterState
  ) {}

  static create (context: Context, log: ConfigurationLog, loader: ConfigurationLoader, membership: Membership, roster: RosterState): Freshness {
    return new Freshness(context, log, loader, membership, roster)
  }

  isFresh (now: number): boolean {
    if (now < this.storeConfirmedAt + this.context.timings.freshnessMs) return true
    return this.hasLearntRevision && this.membership.isRevisionConfirmedByMajority(now)
  }

  /** Records that everything written to the store before `at` has been received. */
  handleStoreConfirmed (at: number): void {
    if (!this.loader.isUpToDate || this.log.hasGap) return
    this.storeConfirmedAt = Math.max(this.storeConfirmedAt, at)
    this.hasLearntRevision = true
  }

  /**
   * Records the revision of a peer. A restarted member no longer knows which revisions it had, so it must not count
   * itself in the majority that a publisher relied on; it learns only from a majority of other members.
   */
  handlePeerResponse (peer: MemberId, revision: Revision): void {
    if (this.hasLearntRevision) return
    this.peerRevisions.set(peer, revision)
    const others = this.roster.roster.members.filter(({ id }) => this.peerRevisions.has(id))
    const highest = Math.max(...others.map(({ id }) => this.peerRevisions.get(id) ?? 0))
    if (others.length >= this.roster.majority && this.log.revision >= highest) this.hasLearntRevision = true
  }

  /** Emits an effect and a log line if the freshness has changed since the last call. */
  reportChange (): void {
    const isFresh = this.isFresh(this.context.now)
    if (isFresh === this.reportedFresh) return
    this.reportedFresh = isFresh
    this.context.outbox.emit({ type: 'freshness-changed', fresh: isFresh })
    this.context.outbox.log(isFresh ? 'info' : 'warn', 'freshness-changed', { fresh: isFresh, revision: this.log.revision })
  }
}
