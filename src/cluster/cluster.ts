import type { Configuration } from '../model/configuration.ts'
import type { Epoch, GroupNumber, MemberId, TeamName } from '../model/ids.ts'
import type { ClusterMessage, GroupSummary, Roster } from '../model/peer.ts'
import type { Resources } from '../model/resources.ts'
import { assertNever } from '../util/assert-never.ts'
import { ConfigurationLoader } from './configuration-loader.ts'
import { ConfigurationLog } from './configuration-log.ts'
import { Context } from './context.ts'
import type { ClusterEffect } from './effect.ts'
import type { ClusterEvent } from './event.ts'
import { Freshness } from './freshness.ts'
import { Grants } from './grants.ts'
import { Membership } from './membership.ts'
import type { ClusterOptions } from './options.ts'
import { Ownership } from './ownership.ts'
import type { Owner } from './ownership.ts'
import { Promises } from './promises.ts'
import { Publisher } from './publisher.ts'
import { Registration } from './registration.ts'
import { RosterChanges } from './roster-changes.ts'
import { RosterState } from './roster-state.ts'
import { Session } from './session.ts'
import { StoppedStatements } from './stopped-statements.ts'
import { parseRevision } from './store-records.ts'
import { StoreView } from './store-view.ts'

/** With 64 groups and 7 members a member owns about nine groups, so each summary is sent at least every three seconds. */
const SUMMARIES_PER_HEARTBEAT = 4

/**
 * Manages the membership, group ownership, configuration and grants of one member, without a clock or I/O.
 *
 * A `tick` event is expected at least every 100 ms. Peer messages must be sent with the value that `cluster.incarnation`
 * has after the event that produced them.
 *
 * @example
 * const cluster = Cluster.create({ member: 'm1', incarnation: '1', address: '10.0.0.1:7000', failureDomain: 'bole', seedPeers: [], groups: 4, seed: 1, getUsage })
 * for (const effect of cluster.apply({ type: 'tick', now: 0 })) run(effect)
 */
export class Cluster {
  private readonly context: Context
  private readonly rosterState: RosterState
  private readonly renewalPromises: Promises
  private readonly storeView: StoreView
  private readonly membership: Membership
  private readonly session: Session
  private readonly registration: Registration
  private readonly stoppedStatements: StoppedStatements
  private readonly ownership: Ownership
  private readonly rosterChanges: RosterChanges
  private readonly configurationLog: ConfigurationLog
  private readonly configurationLoader: ConfigurationLoader
  private readonly freshness: Freshness
  private readonly publisher: Publisher
  private readonly grants: Grants
  private readonly ownSummaries = new Map<GroupNumber, GroupSummary>()
  private readonly peerSummaries = new Map<GroupNumber, GroupSummary>()
  private summaryOffset = 0
  private startedAt: number | undefined
  private appliedRevision = 0
  private leaveDeadline = Infinity
  private hasLeft = false

  private constructor (options: ClusterOptions) {
    const context = Context.create(options)
    this.context = context
    this.rosterState = RosterState.create(context)
    this.configurationLog = ConfigurationLog.create(context)
    this.configurationLoader = ConfigurationLoader.create(context, this.configurationLog)
    this.storeView = StoreView.create(context, {
      revisionStored: (value) => this.handleRevisionStored(value),
      confirmed: (at) => this.handleStoreConfirmed(at),
      reloaded: () => this.configurationLoader.reload()
    })
    this.renewalPromises = Promises.create(context, this.rosterState, () => this.registration.registered && this.storeView.loaded)
    this.membership = Membership.create(context, this.rosterState, this.renewalPromises, this.storeView, {
      incarnation: () => this.incarnation,
      revision: () => this.configurationLog.revision,
      summaries: () => this.selectSummaries(),
      peerBehind: (peer, address, revision) => this.configurationLog.pushTo(peer, address, revision),
      responseReceived: (peer, revision, trusted) => { if (trusted) this.freshness.handlePeerResponse(peer, revision) }
    })
    this.session = Session.create(context, (now) => this.registration.isValid(now) || this.membership.isRenewedByMajority(now), { ended: () => this.handleSessionEnded() })
    this.registration = Registration.create(context, this.storeView, () => this.session.incarnation, {
      registered: () => this.session.handleRegistered(),
      renewed: () => this.session.handleRenewed(),
      lost: () => this.session.checkAuthority(false)
    })
    this.stoppedStatements = StoppedStatements.create(context, this.rosterState, this.membership, this.renewalPromises, this.storeView)
    this.grants = Grants.create(context, this.membership, () => this.ownership, () => this.configurationLog.configuration)
    this.ownership = Ownership.create(context, {
      roster: this.rosterState,
      view: this.storeView,
      membership: this.membership,
      registration: this.registration,
      session: this.session,
      stoppedStatements: this.stoppedStatements,
      listener: { acquired: (group, epoch) => this.grants.handleAcquired(group, epoch), released: (group) => this.handleGroupReleased(group) }
    }, () => this.startedAt ?? 0)
    this.rosterChanges = RosterChanges.create(context, this.rosterState, this.membership, this.storeView)
    this.freshness = Freshness.create(context, this.configurationLog, this.configurationLoader, this.membership, this.rosterState)
    this.configurationLoader.onLoaded((at) => this.freshness.handleStoreConfirmed(at))
    this.publisher = Publisher.create(context, this.configurationLog, this.membership, this.rosterState, () => this.session.incarnation)
  }

  static create (options: ClusterOptions): Cluster {
    return new Cluster(options)
  }

  /** The incarnation to send with peer messages; it changes when the authority to act has been lost. */
  get incarnation (): string {
    return this.session.incarnation
  }

  get configuration (): Configuration {
    return this.configurationLog.configuration
  }

  get roster (): Roster {
    return this.rosterState.roster
  }

  /** The newest summary of each group, as sent by its owner. */
  get summaries (): ReadonlyMap<GroupNumber, GroupSummary> {
    return this.peerSummaries
  }

  getOwner (group: GroupNumber): Owner | undefined {
    return this.ownership.getOwner(group)
  }

  /** Returns the peer address of a member, from the store, the roster or the settings. */
  getAddress (member: MemberId): string | undefined {
    return this.membership.getAddress(member)
  }

  /** Returns the key and value of the stored record of this member's ownership, used to guard the group's writes. */
  getOwnershipRecord (group: GroupNumber, epoch: Epoch): { readonly key: string, readonly value: string } {
    return this.ownership.getRecord(group, epoch)
  }

  /** Returns the epoch of this member's ownership of the group; undefined if it does not hold the group. */
  getHeldEpoch (group: GroupNumber): Epoch | undefined {
    return this.ownership.getHeldEpoch(group)
  }

  /** Whether effects of the group may be sent at this moment. */
  mayAct (group: GroupNumber, now: number): boolean {
    return this.ownership.mayAct(group, now)
  }

  /** Whether the configuration is known to be the newest. */
  isFresh (now: number): boolean {
    return this.freshness.isFresh(now)
  }

  /** Returns the amount of a team's limit that an owned group may use. */
  getGrant (group: GroupNumber, team: TeamName): Resources | undefined {
    return this.grants.getAmount(group, team)
  }

  /** Returns the amount of a team's limit that an owned group holds: its grant, or what is running if that is more. */
  getHeldAmount (group: GroupNumber, team: TeamName): Resources | undefined {
    return this.grants.getHeldAmount(group, team)
  }

  apply (event: ClusterEvent): readonly ClusterEffect[] {
    this.context.now = event.now
    this.startedAt ??= event.now
    if (this.hasLeft) return []
    this.session.checkAuthority(this.registration.registered)
    this.dispatch(event)
    this.finishEvent()
    return this.context.outbox.drain()
  }

  private dispatch (event: ClusterEvent): void {
    switch (event.type) {
      case 'tick': return this.tick()
      case 'store-answered': return this.context.storeCalls.handleResponse(event.callId, event.result)
      case 'peer-received': return this.handlePeerMessage(event.from, event.incarnation, event.message)
      case 'paused': return this.context.outbox.log('warn', 'member-paused', { lateMs: event.lateMs })
      case 'publish-requested': return this.publisher.publish(event)
      case 'demand-changed': return this.grants.updateDemand(event.group, event.team, event.used, event.wanted)
      case 'group-recovered': return this.grants.handleRecovered(event.group, event.used)
      case 'summary-changed': return this.handleSummaryChanged(event.summary)
      case 'leave-requested': return this.handleLeaveRequest()
      default: return assertNever(event)
    }
  }

  private tick (): void {
    this.context.storeCalls.expireCalls(this.context.now)
    this.storeView.tick()
    this.configurationLoader.tick()
    this.registration.tick()
    this.membership.tick()
    this.rosterChanges.tick(this.session.isActive && this.registration.isValid(this.context.now) && !this.ownership.isLeaving, this.ownership.hasHandedOver)
    this.ownership.tick()
    this.publisher.tick()
    this.grants.tick()
  }

  private finishEvent (): void {
    if (this.storeView.roster !== undefined && this.rosterState.adopt(this.storeView.roster.value)) this.membership.sendHeartbeatsEarly()
    if (this.configurationLog.revision !== this.appliedRevision) {
      this.appliedRevision = this.configurationLog.revision
      this.grants.handleConfigurationApplied()
    }
    this.grants.deliverLocalMessages()
    this.ownership.reportOwnerChanges()
    this.freshness.reportChange()
    this.finishLeaving()
  }

  private handlePeerMessage (from: MemberId, incarnation: string, message: ClusterMessage): void {
    if (from === this.context.options.member || !this.renewalPromises.recordIncarnation(from, incarnation)) {
      return this.context.outbox.count('peer-messages-dropped', 'older-incarnation')
    }
    switch (message.type) {
      case 'heartbeat':
        message.summaries.forEach((summary) => this.handleSummaryReceived(from, summary))
        return this.membership.handleHeartbeat(from, incarnation, message)
      case 'heartbeat-answer': return this.membership.handleHeartbeatResponse(from, incarnation, message)
      case 'revisions': return message.revisions.forEach((revision) => this.configurationLog.add(revision))
      case 'snapshot': return this.configurationLog.addSnapshot(message.snapshot)
      case 'stopped-asked': return this.handleStoppedRequest(from, message)
      case 'stopped-answer': return this.stoppedStatements.handleResponse(from, incarnation, message.member, message.incarnation, message.stopped, message.roster)
      case 'ownership': return this.ownership.recordHint(message.group, message.owner, message.epoch)
      default: return this.grants.handleMessage(message)
    }
  }

  private handleStoppedRequest (from: MemberId, message: Extract<ClusterMessage, { readonly type: 'stopped-asked' }>): void {
    const { member, incarnation, nonce } = message
    const stopped = this.renewalPromises.stopRenewing(member, incarnation, this.startedAt ?? 0)
    this.membership.send(from, { type: 'stopped-answer', member, incarnation, nonce, stopped, roster: this.rosterState.roster.revision })
  }

  private handleRevisionStored (value: string): void {
    const revision = parseRevision(value)
    if (revision !== undefined) this.configurationLog.add(revision)
  }

  private handleStoreConfirmed (at: number): void {
    if (this.configurationLog.hasGap) this.configurationLoader.reload()
    this.freshness.handleStoreConfirmed(at)
  }

  private handleSessionEnded (): void {
    this.ownership.handleSessionEnded()
    this.registration.restart()
  }

  private handleGroupReleased (group: GroupNumber): void {
    this.grants.handleReleased(group)
    this.ownSummaries.delete(group)
  }

  private handleSummaryChanged (summary: GroupSummary): void {
    this.ownSummaries.set(summary.group, summary)
    this.peerSummaries.set(summary.group, summary)
  }

  private handleSummaryReceived (from: MemberId, summary: GroupSummary): void {
    if (summary.epoch < (this.peerSummaries.get(summary.group)?.epoch ?? 0)) return
    this.peerSummaries.set(summary.group, summary)
    this.ownership.recordHint(summary.group, from, summary.epoch)
  }

  /** Selects the next few summaries in rotation, so that heartbeats stay small with many groups. */
  private selectSummaries (): readonly GroupSummary[] {
    const current = [...this.ownSummaries.values()].filter((summary) => this.ownership.getHeldEpoch(summary.group) === summary.epoch)
    if (current.length <= SUMMARIES_PER_HEARTBEAT) return current
    this.summaryOffset += SUMMARIES_PER_HEARTBEAT
    return Array.from({ length: SUMMARIES_PER_HEARTBEAT }, (_, index) => current[(this.summaryOffset + index) % current.length]!)
  }

  private handleLeaveRequest (): void {
    if (this.ownership.isLeaving) return
    this.ownership.startLeaving()
    this.leaveDeadline = this.context.now + this.context.timings.leaveTimeoutMs
    this.ownership.tick()
  }

  private finishLeaving (): void {
    if (!this.ownership.hasHandedOver) return
    if (this.rosterState.includes(this.context.options.member) && this.context.now < this.leaveDeadline) return
    this.hasLeft = true
    this.context.outbox.emit({ type: 'left' })
  }
}
