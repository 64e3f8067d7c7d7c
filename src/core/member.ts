import { Cluster } from '../cluster/cluster.ts'
import type { ClusterEffect } from '../cluster/effect.ts'
import type { ClusterEvent } from '../cluster/event.ts'
import type { ClusterTimings, SeedPeer } from '../cluster/options.ts'
import type { FrontendEffect } from '../frontend/effect.ts'
import type { FrontendEvent } from '../frontend/event.ts'
import { Frontend } from '../frontend/frontend.ts'
import type { GroupEffect } from '../group/effect.ts'
import type { GroupEvent } from '../group/event.ts'
import { Group } from '../group/group.ts'
import type { GroupTiming } from '../group/timing.ts'
import { parseGroupNumber, type Epoch, type FailureDomainName, type GroupNumber, type MemberId, type TeamName } from '../model/ids.ts'
import type { Configuration } from '../model/configuration.ts'
import type { CallerMessage, PeerEnvelope, PeerMessage } from '../model/peer.ts'
import { NO_RESOURCES, type Resources } from '../model/resources.ts'
import { Scheduler } from '../scheduling/scheduler.ts'
import { assertNever } from '../util/assert-never.ts'
import { hash } from '../util/hash.ts'
import { Outbox } from '../util/outbox.ts'
import type { Effect } from './effect.ts'
import type { Event } from './event.ts'
import { GroupCommit, type GroupCommitStep } from './group-commit.ts'
import { HostListReader } from './host-list-reader.ts'
import { Loader } from './loader.ts'

/** Interval at which the summaries of the owned groups are published; the frontend chooses a group by them. */
const SUMMARY_INTERVAL_MS = 500
const DEFAULT_COMMIT_GATHER_MS = 50
const DEFAULT_DRAIN_MS = 2_000
/** Members send a heartbeat each second; a member counts as unreachable after this time without one. */
const UNREACHABLE_AFTER_MS = 2_500
/** A shutdown no longer waits for the remaining callers after this time. */
const LEAVE_CALLER_TIMEOUT_MS = 30_000
/**
 * Groups can't be handed over while the store is unavailable. After this time the member ends without a handover, and
 * other members take over its groups when its lease expires.
 */
const LEAVE_TIMEOUT_MS = 45_000

/** Options of a member; times are in milliseconds. */
export type MemberOptions = {
  readonly member: MemberId
  readonly incarnation: string
  readonly address: string
  readonly failureDomain: FailureDomainName
  readonly seedPeers: readonly SeedPeer[]
  readonly groups: number
  readonly seed: number
  readonly pendingLimit: number
  readonly urgentReserve: number
  readonly clusterTimings?: Partial<ClusterTimings>
  readonly groupTiming?: GroupTiming
  /**
   * How long a leaving member still accepts work although it reports that it is not ready, so that the load balancer can
   * stop sending to it. Default 2,000.
   */
  readonly drainMs?: number
  /** Maximum time for which writes are collected for one group commit. Default 50. */
  readonly commitGatherMs?: number
}

type LeaveState = { readonly startedAt: number, refusesWork: boolean, clusterLeaveRequested: boolean, clusterLeft: boolean, left: boolean }

/**
 * The reducer of one member. It dispatches each event to the module that handles it and passes effects between the
 * modules as events, until only external effects remain. It does no I/O and holds all state of the process.
 */
export class Member {
  private readonly cluster: Cluster
  private readonly frontend: Frontend
  private readonly groups = new Map<GroupNumber, Group>()
  private readonly loaders = new Map<string, Loader>()
  private readonly groupCommit: GroupCommit
  private readonly hostListReader: HostListReader
  private readonly outbox = Outbox.create<Effect>()
  private readonly lastHeartbeatAt = new Map<MemberId, number>()
  private leave: LeaveState | undefined
  private nextSummaryAt = 0

  private constructor (private readonly options: MemberOptions) {
    const { member, incarnation, seed } = options
    this.cluster = Cluster.create({
      member,
      incarnation,
      address: options.address,
      failureDomain: options.failureDomain,
      seedPeers: options.seedPeers,
      groups: options.groups,
      seed,
      timings: options.clusterTimings,
      getUsage: (group, team) => this.getUsage(group, team)
    })
    this.frontend = Frontend.create(options)
    this.groupCommit = GroupCommit.create({ memberId: member, incarnation, seed: seed + 1, gatherMs: options.commitGatherMs ?? DEFAULT_COMMIT_GATHER_MS, getOwnershipRecord: (group, epoch) => this.cluster.getOwnershipRecord(group, epoch) })
    this.hostListReader = HostListReader.create(options.groups)
  }

  /**
   * Creates a member without configuration, groups or callers.
   *
   * @example
   * const member = Member.create(options)
   * const effects = member.apply({ type: 'tick', now })
   */
  static create (options: MemberOptions): Member {
    return new Member(options)
  }

  /** Whether the member may send a call to a target of the group at the time `now`. */
  mayAct (group: GroupNumber, now: number): boolean {
    return this.groups.has(group) && this.cluster.mayAct(group, now)
  }

  /** Incarnation for envelopes; it changes after the member has lost the right to act for its groups. */
  get incarnation (): string { return this.cluster.incarnation }

  /** The configuration that this member applies. */
  get configuration (): Configuration { return this.cluster.configuration }

  /** Whether the member accepts work: its configuration is known and fresh, and it is not leaving. */
  isReady (now: number): boolean {
    return this.leave === undefined && this.cluster.configuration.revision > 0 && this.cluster.isFresh(now)
  }

  /** Returns the owner of a group that is known to this member. */
  getOwner (group: GroupNumber): { readonly owner: MemberId, readonly epoch: Epoch } | undefined {
    const known = this.cluster.getOwner(group)
    return known === undefined ? undefined : { owner: known.owner, epoch: known.epoch }
  }

  get ownedGroups (): readonly Group[] { return [...this.groups.values()] }
  get waitingCallers (): number { return this.frontend.waitingCount }

  /** Handles one event and returns its external effects in order. */
  apply (event: Event): readonly Effect[] {
    this.handle(event)
    return this.outbox.drain()
  }

  private handle (event: Event): void {
    const { now } = event
    switch (event.type) {
      case 'tick': return this.tick(now)
      case 'paused': return this.applyCluster(event)
      case 'store-answered': return this.handleStoreResponse(event)
      case 'target-answered': {
        const group = this.groups.get(Number(event.callId.split('.')[0]))
        return group === undefined ? undefined : this.applyGroup(group, event)
      }
      case 'host-list-answered':
        if (this.hostListReader.handleResponse(now, event.result)) for (const group of this.groups.values()) this.applyHostList(now, group)
        return
      case 'peer-received': return this.handlePeerMessage(now, event.envelope)
      case 'caller-submitted':
      case 'caller-requested':
      case 'caller-gone':
        return this.applyFrontend(event)
      case 'publish-requested': return this.applyCluster({ ...event, at: now })
      case 'leave-requested':
        this.leave ??= { startedAt: now, refusesWork: false, clusterLeaveRequested: false, clusterLeft: false, left: false }
        return this.continueLeave(now, this.leave)
      default: return assertNever(event)
    }
  }

  private tick (now: number): void {
    this.applyCluster({ type: 'tick', now })
    if (this.hostListReader.startReadIfDue(now)) this.outbox.push({ type: 'read-host-list' })
    for (const group of [...this.groups.values()]) this.applyGroup(group, { type: 'tick', now })
    this.applyFrontend({ type: 'tick', now })
    this.handleCommitStep(now, this.groupCommit.step(now))
    if (now >= this.nextSummaryAt) this.publishSummaries(now)
    if (this.leave !== undefined) this.continueLeave(now, this.leave)
  }

  private publishSummaries (now: number): void {
    this.nextSummaryAt = now + SUMMARY_INTERVAL_MS
    const summaries = [...this.groups.values()].map((group) => group.summary)
    for (const summary of summaries) this.applyCluster({ type: 'summary-changed', now, summary })
    this.applyFrontend({ type: 'summaries-changed', now, summaries })
  }

  private continueLeave (now: number, leave: LeaveState): void {
    if (now - leave.startedAt < (this.options.drainMs ?? DEFAULT_DRAIN_MS)) return
    if (!leave.refusesWork) {
      leave.refusesWork = true
      this.applyFrontend({ type: 'leave-requested', now })
    }
    const callersDone = this.frontend.waitingCount === 0 || now - leave.startedAt >= LEAVE_CALLER_TIMEOUT_MS
    if (callersDone && !leave.clusterLeaveRequested) {
      leave.clusterLeaveRequested = true
      this.applyCluster({ type: 'leave-requested', now })
    }
    if (leave.clusterLeaveRequested && !leave.left && (leave.clusterLeft || now - leave.startedAt >= LEAVE_TIMEOUT_MS)) {
      leave.left = true
      if (!leave.clusterLeft) this.outbox.push({ type: 'log', level: 'warn', message: 'left-without-handover', fields: { groups: this.groups.size } })
      this.outbox.push({ type: 'left' })
    }
  }

  private handlePeerMessage (now: number, envelope: PeerEnvelope): void {
    const { from, incarnation, message } = envelope
    switch (message.type) {
      case 'submit':
      case 'ask':
      case 'answer':
      case 'answer-received':
      case 'reply':
        return this.handleCallerMessage(now, from, message)
      case 'heartbeat':
        this.recordHeartbeat(now, from)
        this.applyFrontend({ type: 'summaries-changed', now, summaries: message.summaries })
        return this.applyCluster({ type: 'peer-received', now, from, incarnation, message })
      default:
        return this.applyCluster({ type: 'peer-received', now, from, incarnation, message })
    }
  }

  private recordHeartbeat (now: number, from: MemberId): void {
    const previousAt = this.lastHeartbeatAt.get(from)
    this.lastHeartbeatAt.set(from, now)
    if (previousAt !== undefined && now - previousAt > UNREACHABLE_AFTER_MS) this.applyFrontend({ type: 'member-reachable', now, member: from })
  }

  private handleCallerMessage (now: number, from: MemberId, message: CallerMessage): void {
    switch (message.type) {
      case 'answer':
      case 'reply':
        return this.applyFrontend({ type: 'message-received', now, from, message })
      case 'submit':
        return this.applyToOwnedGroup(parseGroupNumber(message.work.id), { type: 'submitted', now, from, nonce: message.nonce, work: message.work, resumed: message.resumed }, message.epoch)
      case 'answer-received':
        return this.applyToOwnedGroup(parseGroupNumber(message.work), { type: 'answer-received', now, from, nonce: message.nonce, work: message.work })
      case 'ask':
        return this.applyToOwnedGroup(message.group, { type: 'group-requested', now, from, nonce: message.nonce, request: message.question })
      default: return assertNever(message)
    }
  }

  private applyToOwnedGroup (number: GroupNumber | undefined, event: GroupEvent, epoch?: Epoch): void {
    const group = number === undefined ? undefined : this.groups.get(number)
    if (group !== undefined && (epoch ?? group.epoch) === group.epoch) return this.applyGroup(group, event)
    this.outbox.push({ type: 'count', counter: 'message-dropped', reason: 'not-owner' })
  }

  private applyCluster (event: ClusterEvent): void {
    for (const effect of this.cluster.apply(event)) this.handleClusterEffect(event.now, effect)
  }

  private handleClusterEffect (now: number, effect: ClusterEffect): void {
    switch (effect.type) {
      case 'store-call':
        this.outbox.push({ type: 'store-call', callId: `cluster/${effect.callId}`, call: effect.call })
        return
      case 'group-acquired': return this.createGroup(now, effect.group, effect.epoch)
      case 'group-released':
        this.groups.delete(effect.group)
        return
      case 'owner-changed': return this.applyFrontend({ ...effect, now })
      case 'configuration-applied':
        this.applyFrontend({ type: 'configuration-applied', now, configuration: effect.configuration })
        for (const group of this.groups.values()) this.applyGroup(group, { type: 'configuration-applied', now, configuration: effect.configuration })
        return
      case 'freshness-changed': return this.applyFrontend({ ...effect, now })
      case 'grant-changed': {
        const group = this.groups.get(effect.group)
        // The effect may be outdated: the grant may have been lowered again since it was emitted, after the keeper was
        // informed of the usage at that time.
        const amount = this.cluster.getGrant(effect.group, effect.team) ?? effect.amount
        return group === undefined ? undefined : this.applyGroup(group, { type: 'grant-changed', now, team: effect.team, amount })
      }
      case 'left':
        if (this.leave !== undefined) this.leave.clusterLeft = true
        return
      case 'peer-send':
      case 'publish-answered':
      case 'count':
      case 'log':
        this.outbox.push(effect)
        return
      default: return assertNever(effect)
    }
  }

  private createGroup (now: number, number: GroupNumber, epoch: number): void {
    const scheduler = Scheduler.create({ seed: hash(`${this.options.seed}/${number}/${epoch}`) })
    const group = Group.create({ group: number, epoch, scheduler, now, timing: this.options.groupTiming }, this.options.groups)
    this.groups.set(number, group)
    this.applyGroup(group, { type: 'configuration-applied', now, configuration: this.cluster.configuration })
    this.applyHostList(now, group)
    this.applyGroup(group, { type: 'tick', now })
  }

  private applyHostList (now: number, group: Group): void {
    const { newest } = this.hostListReader
    if (newest === undefined) return
    this.applyGroup(group, { type: 'hosts-listed', now, targets: newest.targets.get(group.number) ?? [], asOf: newest.asOf })
  }

  private applyGroup (group: Group, event: GroupEvent): void {
    for (const effect of group.apply(event)) this.handleGroupEffect(event.now, group, effect)
  }

  private handleGroupEffect (now: number, group: Group, effect: GroupEffect): void {
    switch (effect.type) {
      case 'load': return this.startLoading(group, effect.prefix)
      case 'commit':
        this.groupCommit.enqueue(now, { group: group.number, epoch: group.epoch, commitId: effect.commitId, writes: effect.writes })
        return
      case 'send': return this.send(now, effect.to, effect.message)
      case 'recovered': return this.applyCluster({ type: 'group-recovered', now, group: group.number, used: effect.used })
      case 'demand-changed': return this.applyCluster({ type: 'demand-changed', now, group: group.number, team: effect.team, used: effect.used, wanted: effect.wanted })
      case 'target-call':
      case 'count':
      case 'log':
        this.outbox.push(effect)
        return
      default: return assertNever(effect)
    }
  }

  private applyFrontend (event: FrontendEvent): void {
    for (const effect of this.frontend.apply(event)) this.handleFrontendEffect(event.now, effect)
  }

  private handleFrontendEffect (now: number, effect: FrontendEffect): void {
    if (effect.type === 'send') return this.send(now, effect.to, effect.message)
    this.outbox.push(effect)
  }

  private send (now: number, to: MemberId, message: CallerMessage): void {
    const { member } = this.options
    if (to === member) return this.handleCallerMessage(now, member, message)
    const address = this.cluster.getAddress(to)
    if (address !== undefined) this.sendPeer(to, address, message)
    else this.outbox.push({ type: 'count', counter: 'message-dropped', reason: 'unknown-member' })
  }

  private sendPeer (to: MemberId, address: string, message: PeerMessage): void {
    this.outbox.push({ type: 'peer-send', to, address, message })
  }

  private startLoading (group: Group, prefix: string): void {
    const callId = `load/${group.number}.${group.epoch}`
    const loader = Loader.create(prefix)
    this.loaders.set(callId, loader)
    this.outbox.push({ type: 'store-call', callId, call: loader.createFirstCall() })
  }

  private handleStoreResponse (event: Extract<Event, { type: 'store-answered' }>): void {
    const { now, callId, result } = event
    const [purpose, id] = callId.split('/')
    if (purpose === 'cluster') return this.applyCluster({ type: 'store-answered', now, callId: Number(id), result })
    if (purpose === 'commit') return this.handleCommitStep(now, this.groupCommit.handleResponse(now, result))
    const loader = this.loaders.get(callId)
    if (loader === undefined) return
    const step = loader.handleResponse(result)
    if (step.type === 'call') {
      this.outbox.push({ type: 'store-call', callId, call: step.call })
      return
    }
    this.loaders.delete(callId)
    const group = this.groups.get(Number(id?.split('.')[0]))
    if (group !== undefined && id === `${group.number}.${group.epoch}`) this.applyGroup(group, { type: 'loaded', now, result: step.result })
  }

  private handleCommitStep (now: number, step: GroupCommitStep): void {
    if (step.call !== undefined) this.outbox.push({ type: 'store-call', callId: 'commit/', call: step.call })
    for (const { commit, outcome } of step.resolved) {
      const group = this.groups.get(commit.group)
      if (group?.epoch === commit.epoch) this.applyGroup(group, { type: 'commit-settled', now, commitId: commit.commitId, outcome })
    }
  }

  private getUsage (group: GroupNumber, team: TeamName): Resources {
    return this.groups.get(group)?.usage(team) ?? NO_RESOURCES
  }
}
