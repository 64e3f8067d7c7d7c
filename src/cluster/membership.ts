import type { MemberId, Revision } from '../model/ids.ts'
import type { ClusterMessage, GroupSummary, RenewalRefusal } from '../model/peer.ts'
import type { Context } from './context.ts'
import type { Promises } from './promises.ts'
import type { RosterState } from './roster-state.ts'
import type { StoreView } from './store-view.ts'

type Heartbeat = Extract<ClusterMessage, { readonly type: 'heartbeat' }>
type HeartbeatResponse = Extract<ClusterMessage, { readonly type: 'heartbeat-answer' }>

/** What this member knows about a peer from its messages. */
export type PeerState = {
  incarnation: string
  /** Sending time of this member's newest heartbeat to which the peer responded with a promise. */
  promisedAt: number
  /** Sending time of this member's newest heartbeat whose response showed that the peer knows no newer configuration revision. */
  revisionConfirmedAt: number
  /** Sending time of this member's newest heartbeat to which the peer responded. */
  respondedAt: number
  /** Arrival time of the peer's newest heartbeat. */
  heartbeatReceivedAt: number
  /** Configuration and roster revisions that the peer is known to have. */
  configurationRevision: Revision
  rosterRevision: number
  refusal: RenewalRefusal | undefined
}

/** Functions of other components that membership calls. */
export type MembershipHooks = {
  readonly incarnation: () => string
  readonly revision: () => Revision
  readonly summaries: () => readonly GroupSummary[]
  /** Called when a peer has an older configuration revision; `address` is where to send the missing ones. */
  readonly peerBehind: (peer: MemberId, address: string, revision: Revision) => void
  /** Called when a peer has responded to a heartbeat with its revision. */
  readonly responseReceived: (peer: MemberId, revision: Revision, trusted: boolean) => void
}

/** Sent heartbeats are kept for this long to match responses to them. */
const SENT_HEARTBEAT_RETENTION_MS = 10_000
/** Minimum time between heartbeats that are sent outside the regular interval. */
const MIN_EXTRA_HEARTBEAT_INTERVAL_MS = 100
/**
 * A heartbeat without a response after this time is sent once more. Otherwise two lost round trips to one peer interrupt a
 * bare majority from the end of the promise until the next response: once in ten minutes at 4% loss of round trips.
 */
const RESEND_DELAY_MS = 400
/** Heartbeats are resent only to peers that responded within this time, so that dead peers cause no extra messages. */
const RESEND_WINDOW_MS = 10_000

/** Exchanges heartbeats, and tracks the promises of peers and the revisions that they have. */
export class Membership {
  readonly peers = new Map<MemberId, PeerState>()
  private sequence = 0
  /** Sending time and roster revision of each sent heartbeat, by sequence number. */
  private readonly sentHeartbeats = new Map<number, { readonly at: number, readonly rosterRevision: number }>()
  private nextHeartbeatAt = 0
  private lastHeartbeatAt = -Infinity
  private hasResent = false
  private readonly announcedAddresses = new Map<MemberId, string>()

  private constructor (
    private readonly context: Context,
    private readonly roster: RosterState,
    private readonly promises: Promises,
    private readonly view: StoreView,
    private readonly hooks: MembershipHooks
  ) {}

  static create (context: Context, roster: RosterState, promises: Promises, view: StoreView, hooks: MembershipHooks): Membership {
    return new Membership(context, roster, promises, view, hooks)
  }

  /** Whether a majority, this member included, has promised renewals that are still valid. */
  isRenewedByMajority (now: number): boolean {
    return this.holdsForMajority((peer) => now < peer.promisedAt + this.context.timings.promiseMs)
  }

  /** Whether a majority has confirmed this member's configuration revision within the freshness window. */
  isRevisionConfirmedByMajority (now: number): boolean {
    return this.holdsForMajority((peer) => now < peer.revisionConfirmedAt + this.context.timings.freshnessMs)
  }

  /** Whether a majority of the current roster has the current roster. */
  isRosterConfirmed (): boolean {
    return this.holdsForMajority((peer) => peer.rosterRevision >= this.roster.roster.revision)
  }

  /** Returns the members of the roster, this one included, that are known to have the configuration revision. */
  getMembersWithRevision (revision: Revision): readonly MemberId[] {
    const { member } = this.context.options
    return this.roster.roster.members
      .map((entry) => entry.id)
      .filter((id) => id === member ? this.hooks.revision() >= revision : (this.peers.get(id)?.configurationRevision ?? 0) >= revision)
  }

  getAddress (member: MemberId): string | undefined {
    return this.view.members.get(member)?.value.address ?? this.roster.getAddress(member) ?? this.announcedAddresses.get(member) ??
      this.context.options.seedPeers.find((seed) => seed.id === member)?.address
  }

  /** Sends to every other member of the roster, and to the seed peers while this member is not in the roster. */
  broadcast (message: ClusterMessage): void {
    for (const member of this.getRecipients()) this.send(member, message)
  }

  send (member: MemberId, message: ClusterMessage): void {
    const address = this.getAddress(member)
    if (address === undefined) this.context.outbox.count('peer-sends-skipped', 'address-unknown')
    else this.context.outbox.send(member, address, message)
  }

  tick (): void {
    const { now, timings } = this.context
    if (now < this.nextHeartbeatAt) return this.resendHeartbeats()
    this.nextHeartbeatAt = Math.max(this.nextHeartbeatAt + timings.heartbeatMs, now + timings.heartbeatMs / 2)
    this.sendHeartbeats()
  }

  /** Sends a round of heartbeats before the regular time, at most once in 100 ms. */
  sendHeartbeatsEarly (): void {
    if (this.context.now >= this.lastHeartbeatAt + MIN_EXTRA_HEARTBEAT_INTERVAL_MS) this.sendHeartbeats()
  }

  handleHeartbeat (from: MemberId, incarnation: string, message: Heartbeat): void {
    if (message.address !== undefined) this.announcedAddresses.set(from, message.address)
    const refusal = this.promises.handleRenewal(from, incarnation, message.roster)
    const { roster } = this.roster
    const revision = this.hooks.revision()
    this.send(from, { type: 'heartbeat-answer', sequence: message.sequence, sentAt: message.sentAt, revision, roster: roster.revision === message.roster ? undefined : roster, refusal })
    const peer = this.getOrCreatePeer(from, incarnation)
    peer.heartbeatReceivedAt = this.context.now
    this.recordPeerRevisions(from, peer, message.revision, message.roster)
    if (message.roster > roster.revision) this.sendHeartbeatsEarly()
  }

  handleHeartbeatResponse (from: MemberId, incarnation: string, message: HeartbeatResponse): void {
    const heartbeat = this.sentHeartbeats.get(message.sequence)
    if (heartbeat === undefined || heartbeat.at !== message.sentAt) return
    const peer = this.getOrCreatePeer(from, incarnation)
    const { refusal } = message
    peer.refusal = refusal
    peer.respondedAt = Math.max(peer.respondedAt, heartbeat.at)
    if (refusal === undefined) peer.promisedAt = Math.max(peer.promisedAt, heartbeat.at)
    this.recordPeerRevisions(from, peer, message.revision, message.roster?.revision ?? heartbeat.rosterRevision)
    if (message.roster !== undefined && this.roster.adopt(message.roster)) this.sendHeartbeatsEarly()
    const trusted = refusal === undefined || refusal === 'not-in-roster' || refusal === 'stopped'
    if (trusted && message.revision <= this.hooks.revision()) peer.revisionConfirmedAt = Math.max(peer.revisionConfirmedAt, heartbeat.at)
    this.hooks.responseReceived(from, message.revision, trusted)
  }

  private sendHeartbeats (): void {
    this.lastHeartbeatAt = this.context.now
    this.hasResent = false
    this.broadcast(this.createHeartbeat())
  }

  private resendHeartbeats (): void {
    const { now } = this.context
    if (this.hasResent || now < this.lastHeartbeatAt + RESEND_DELAY_MS) return
    this.hasResent = true
    const unresponsive = this.getRecipients().filter((member) => {
      const respondedAt = this.peers.get(member)?.respondedAt ?? -Infinity
      return respondedAt < this.lastHeartbeatAt && now < respondedAt + RESEND_WINDOW_MS
    })
    if (unresponsive.length === 0) return
    const message = this.createHeartbeat()
    for (const member of unresponsive) this.send(member, message)
  }

  private createHeartbeat (): ClusterMessage {
    const { now, options } = this.context
    this.sequence += 1
    this.sentHeartbeats.set(this.sequence, { at: now, rosterRevision: this.roster.roster.revision })
    for (const [sequence, heartbeat] of this.sentHeartbeats) {
      if (heartbeat.at >= now - SENT_HEARTBEAT_RETENTION_MS) break
      this.sentHeartbeats.delete(sequence)
    }
    const address = this.roster.includes(options.member) ? undefined : options.address
    return { type: 'heartbeat', sequence: this.sequence, sentAt: now, revision: this.hooks.revision(), roster: this.roster.roster.revision, summaries: this.hooks.summaries(), address }
  }

  private getRecipients (): readonly MemberId[] {
    const { member, seedPeers } = this.context.options
    const members = new Set(this.roster.roster.members.map((entry) => entry.id))
    if (!members.has(member)) seedPeers.forEach((seed) => members.add(seed.id))
    members.delete(member)
    return [...members]
  }

  private getOrCreatePeer (member: MemberId, incarnation: string): PeerState {
    const known = this.peers.get(member)
    if (known !== undefined && known.incarnation === incarnation) return known
    const peer: PeerState = { incarnation, promisedAt: -Infinity, revisionConfirmedAt: -Infinity, respondedAt: -Infinity, heartbeatReceivedAt: -Infinity, configurationRevision: 0, rosterRevision: 0, refusal: undefined }
    this.peers.set(member, peer)
    return peer
  }

  private recordPeerRevisions (member: MemberId, peer: PeerState, revision: Revision, rosterRevision: number): void {
    peer.configurationRevision = Math.max(peer.configurationRevision, revision)
    peer.rosterRevision = Math.max(peer.rosterRevision, rosterRevision)
    const address = this.getAddress(member)
    if (revision < this.hooks.revision() && address !== undefined) this.hooks.peerBehind(member, address, revision)
  }

  private holdsForMajority (holds: (peer: PeerState) => boolean): boolean {
    const { member } = this.context.options
    const count = this.roster.roster.members.filter(({ id }) => {
      if (id === member) return true
      const peer = this.peers.get(id)
      return peer !== undefined && holds(peer)
    }).length
    return count >= this.roster.majority
  }
}
