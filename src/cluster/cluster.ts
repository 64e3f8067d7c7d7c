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

/** A member of 64 groups and 7 members owns about nine, so each summary is sent at least every three seconds. */
const SUMMARIES_PER_HEARTBEAT = 4

/**
 * Membership, ownership of groups, configuration and grants of one member, without clock or I/O.
 *
 * `tick` is expected at least every 100 ms. Peer messages are sent with `cluster.incarnation` as it is after the event
 * that produced them.
 *
 * @example
 * const cluster = Cluster.create({ member: 'm1', incarnation: '1', address: '10.0.0.1:7000', failureDomain: 'bole', seedPeers: [], groups: 4, seed: 1, usageOf })
 * for (const effect of cluster.apply({ type: 'tick', now: 0 })) run(effect)
 */
export class Cluster {
  private readonly context: Context
  private readonly rosterState: RosterState
  private readonly promises: Promises
  private readonly view: StoreView
  private readonly membership: Membership
  private readonly session: Session
  private readonly registration: Registration
  private readonly statements: StoppedStatements
  private readonly ownership: Ownership
  private readonly rosterChanges: RosterChanges
  private readonly log: ConfigurationLog
  private readonly loader: ConfigurationLoader
  private readonly freshness: Freshness
  private readonly publisher: Publisher
  private readonly grants: Grants
  private readonly ownSummaries = new Map<GroupNumber, GroupSummary>()
  private readonly peerSummaries = new Map<GroupNumber, GroupSummary>()
  private summaryTurn = 0
  private startedAt: number | undefined
  private appliedRevision = 0
  private leaveDeadline = Infinity
  private hasLeft = false

  private constructor (options: ClusterOptions) {
    const context = Context.create(options)
    this.context = context
    this.rosterState = RosterState.create(context)
    this.log = ConfigurationLog.create(context)
    this.loader = ConfigurationLoader.create(context, this.log)
    this.view = StoreView.create(context, {
      revisionStored: (value) => this.revisionStored(value),
      confirmed: (at) => this.storeConfirmed(at),
      reloaded: () => this.loader.reload()
    })
    this.promises = Promises.create(context, this.rosterState, () => this.registration.registered && this.view.loaded)
    this.membership = Membership.create(context, this.rosterState, this.promises, this.view, {
      incarnation: () => this.incarnation,
      revision: () => this.log.revision,
      summaries: () => this.summariesToSend(),
      peerBehind: (peer, address, revision) => this.log.push(peer, address, revision),
      answered: (peer, revision, trusted) => { if (trusted) this.freshness.peerAnswered(peer, revision) }
    })
    this.session = Session.create(context, (now) => this.registration.valid(now) || this.membership.renewedByMajority(now), { ended: () => this.sessionEnded() })
    this.registration = Registration.create(context, this.view, () => this.session.incarnation, {
      registered: () => this.session.registered(),
      renewed: () => this.session.renewed(),
      lost: () => this.session.check(false)
    })
    this.statements = StoppedStatements.create(context, this.rosterState, this.membership, this.promises, this.view)
    this.grants = Grants.create(context, this.membership, () => this.ownership, () => this.log.configuration)
    this.ownership = Ownership.create(context, {
      roster: this.rosterState,
      view: this.view,
      membership: this.membership,
      registration: this.registration,
      session: this.session,
      statements: this.statements,
      listener: { acquired: (group, epoch) => this.grants.acquired(group, epoch), released: (group) => this.groupReleased(group) }
    }, () => this.startedAt ?? 0)
    this.rosterChanges = RosterChanges.create(context, this.rosterState, this.membership, this.view)
    this.freshness = Freshness.create(context, this.log, this.loader, this.membership, this.rosterState)
    this.loader.onLoaded((at) => this.freshness.storeConfirmed(at))
    this.publisher = Publisher.create(context, this.log, this.membership, this.rosterState, () => this.session.incarnation)
  }

  static create (options: ClusterOptions): Cluster {
    return new Cluster(options)
  }

  /** The incarnation to send with peer messages; it changes when the right to act was lost. */
  get incarnation (): string {
    return this.session.incarnation
  }

  get configuration (): Configuration {
    return this.log.configuration
  }

  get roster (): Roster {
    return this.rosterState.roster
  }

  /** The newest summary of each group that its owner sent. */
  get summaries (): ReadonlyMap<GroupNumber, GroupSummary> {
    return this.peerSummaries
  }

  ownerOf (group: GroupNumber): Owner | undefined {
    return this.ownership.ownerOf(group)
  }

  /** Peer address of a member, from the store, the roster or the settings. */
  addressOf (member: MemberId): string | undefined {
    return this.membership.addressOf(member)
  }

  /** Key and value of the store's record of this member's ownership, to guard the group's writes. */
  ownershipRecord (group: GroupNumber, epoch: Epoch): { readonly key: string, readonly value: string } {
    return this.ownership.recordOf(group, epoch)
  }

  /** Epoch of this member's ownership of the group; undefined if it does not hold the group. */
  epochOf (group: GroupNumber): Epoch | undefined {
    return this.ownership.epochOf(group)
  }

  /** Whether effects of the group may be sent at this moment. */
  mayAct (group: GroupNumber, now: number): boolean {
    return this.ownership.mayAct(group, now)
  }

  /** Whether the configuration is known to be the newest. */
  fresh (now: number): boolean {
    return this.freshness.fresh(now)
  }

  /** What an owned group may use of a team's limit. */
  grantOf (group: GroupNumber, team: TeamName): Resources | undefined {
    return this.grants.amountOf(group, team)
  }

  /** What an owned group holds of a team's limit: its grant, or what runs if that is more. */
  heldOf (group: GroupNumber, team: TeamName): Resources | undefined {
    return this.grants.heldOf(group, team)
  }

  apply (event: ClusterEvent): readonly ClusterEffect[] {
    this.context.now = event.now
    this.startedAt ??= event.now
    if (this.hasLeft) return []
    this.session.check(this.registration.registered)
    this.dispatch(event)
    this.afterEvent()
    return this.context.outbox.take()
  }

  private dispatch (event: ClusterEvent): void {
    switch (event.type) {
      case 'tick': return this.tick()
      case 'store-answered': return this.context.calls.answered(event.callId, event.result)
      case 'peer-received': return this.peerReceived(event.from, event.incarnation, event.message)
      case 'paused': return this.context.outbox.log('warn', 'member-paused', { lateMs: event.lateMs })
      case 'publish-requested': return this.publisher.ask(event)
      case 'demand-changed': return this.grants.demand(event.group, event.team, event.used, event.wanted)
      case 'group-recovered': return this.grants.recovered(event.group, event.used)
      case 'summary-changed': return this.summaryChanged(event.summary)
      case 'leave-requested': return this.leaveAsked()
      default: return assertNever(event)
    }
  }

  private tick (): void {
    this.context.calls.expire(this.context.now)
    this.view.tick()
    this.loader.tick()
    this.registration.tick()
    this.membership.tick()
    this.rosterChanges.tick(this.session.active && this.registration.valid(this.context.now) && !this.ownership.leaving, this.ownership.handedOver)
    this.ownership.tick()
    this.publisher.tick()
    this.grants.tick()
  }

  private afterEvent (): void {
    if (this.view.roster !== undefined && this.rosterState.adopt(this.view.roster.value)) this.membership.heartbeatEarly()
    if (this.log.revision !== this.appliedRevision) {
      this.appliedRevision = this.log.revision
      this.grants.configurationApplied()
    }
    this.grants.deliverLocal()
    this.ownership.report()
    this.freshness.report()
    this.finishLeave()
  }

  private peerReceived (from: MemberId, incarnation: string, message: ClusterMessage): void {
    if (from === this.context.options.member || !this.promises.current(from, incarnation)) {
      return this.context.outbox.count('peer-messages-dropped', 'older-incarnation')
    }
    switch (message.type) {
      case 'heartbeat':
        message.summaries.forEach((summary) => this.summaryReceived(from, summary))
        return this.membership.heartbeatReceived(from, incarnation, message)
      case 'heartbeat-answer': return this.membership.answerReceived(from, incarnation, message)
      case 'revisions': return message.revisions.forEach((revision) => this.log.add(revision))
      case 'snapshot': return this.log.addSnapshot(message.snapshot)
      case 'stopped-asked': return this.stoppedAsked(from, message)
      case 'stopped-answer': return this.statements.answered(from, incarnation, message.member, message.incarnation, message.stopped, message.roster)
      case 'ownership': return this.ownership.hint(message.group, message.owner, message.epoch)
      default: return this.grants.received(message)
    }
  }

  private stoppedAsked (from: MemberId, message: Extract<ClusterMessage, { readonly type: 'stopped-asked' }>): void {
    const { member, incarnation, nonce } = message
    const stopped = this.promises.stop(member, incarnation, this.startedAt ?? 0)
    this.membership.send(from, { type: 'stopped-answer', member, incarnation, nonce, stopped, roster: this.rosterState.roster.revision })
  }

  private revisionStored (value: string): void {
    const revision = parseRevision(value)
    if (revision !== undefined) this.log.add(revision)
  }

  private storeConfirmed (at: number): void {
    if (this.log.incomplete) this.loader.reload()
    this.freshness.storeConfirmed(at)
  }

  private sessionEnded (): void {
    this.ownership.sessionEnded()
    this.registration.restart()
  }

  private groupReleased (group: GroupNumber): void {
    this.grants.released(group)
    this.ownSummaries.delete(group)
  }

  private summaryChanged (summary: GroupSummary): void {
    this.ownSummaries.set(summary.group, summary)
    this.peerSummaries.set(summary.group, summary)
  }

  private summaryReceived (from: MemberId, summary: GroupSummary): void {
    if (summary.epoch < (this.peerSummaries.get(summary.group)?.epoch ?? 0)) return
    this.peerSummaries.set(summary.group, summary)
    this.ownership.hint(summary.group, from, summary.epoch)
  }

  /** The next few summaries in turn, so that heartbeats stay small with many groups. */
  private summariesToSend (): readonly GroupSummary[] {
    const current = [...this.ownSummaries.values()].filter((summary) => this.ownership.epochOf(summary.group) === summary.epoch)
    if (current.length <= SUMMARIES_PER_HEARTBEAT) return current
    this.summaryTurn += SUMMARIES_PER_HEARTBEAT
    return Array.from({ length: SUMMARIES_PER_HEARTBEAT }, (_, index) => current[(this.summaryTurn + index) % current.length]!)
  }

  private leaveAsked (): void {
    if (this.ownership.leaving) return
    this.ownership.leave()
    this.leaveDeadline = this.context.now + this.context.timings.leaveTimeoutMs
    this.ownership.tick()
  }

  private finishLeave (): void {
    if (!this.ownership.handedOver) return
    if (this.rosterState.includes(this.context.options.member) && this.context.now < this.leaveDeadline) return
    this.hasLeft = true
    this.context.outbox.emit({ type: 'left' })
  }
}
