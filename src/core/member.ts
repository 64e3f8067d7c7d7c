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

/** Summaries of owned groups are renewed this often, for the choice of a group. */
const SUMMARY_INTERVAL_MS = 500
const DEFAULT_COMMIT_GATHER_MS = 50
const DEFAULT_DRAIN_MS = 2_000
/** A member that sends a heartbeat each second counts as unreachable after this silence. */
const SILENCE_MS = 2_500
/** A shutdown goes on without the callers that still wait after this time. */
const LEAVE_WAIT_MS = 30_000
/** Without the store the groups cannot be handed over; the member then ends, and others take over after its lease. */
const LEAVE_GIVE_UP_MS = 45_000

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
  /** How long a leaving member still takes work while it is no longer ready, so that the load balancer turns away. Default 2,000. */
  readonly drainMs?: number
  /** Longest time that writes are gathered for one group commit. Default 50. */
  readonly commitGatherMs?: number
}

type Leave = { readonly since: number, refusing: boolean, clusterAsked: boolean, clusterLeft: boolean, left: boolean }

/**
 * The reducer of one member: it passes each event to the module that it concerns, and the effects of one module to
 * another as events, until only effects towards the outside are left. Pure; all state of the process is in here.
 */
export class Member {
  private readonly cluster: Cluster
  private readonly frontend: Frontend
  private readonly groups = new Map<GroupNumber, Group>()
  private readonly loaders = new Map<string, Loader>()
  private readonly commits: GroupCommit
  private readonly hostList: HostListReader
  private readonly outbox = Outbox.create<Effect>()
  private readonly heardAt = new Map<MemberId, number>()
  private leave: Leave | undefined
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
      getUsage: (group, team) => this.usageOf(group, team)
    })
    this.frontend = Frontend.create(options)
    this.commits = GroupCommit.create({ memberId: member, incarnation, seed: seed + 1, gatherMs: options.commitGatherMs ?? DEFAULT_COMMIT_GATHER_MS, ownership: (group, epoch) => this.cluster.getOwnershipRecord(group, epoch) })
    this.hostList = HostListReader.create(options.groups)
  }

  /**
   * Starts a member that knows nothing yet.
   *
   * @example
   * const member = Member.create(options)
   * const effects = member.apply({ type: 'tick', now })
   */
  static create (options: MemberOptions): Member {
    return new Member(options)
  }

  /** Whether a call to a target of the group may be sent at this moment. */
  mayAct (group: GroupNumber, now: number): boolean {
    return this.groups.has(group) && this.cluster.mayAct(group, now)
  }

  /** Incarnation for envelopes; it changes when the right to act was lost. */
  get incarnation (): string { return this.cluster.incarnation }

  get configuration (): Configuration { return this.cluster.configuration }

  /** Whether the member takes work: its configuration is known and fresh, and it is not leaving. */
  ready (now: number): boolean {
    return this.leave === undefined && this.cluster.configuration.revision > 0 && this.cluster.isFresh(now)
  }

  /** Owner of a group as far as this member knows. */
  ownerOf (group: GroupNumber): { readonly owner: MemberId, readonly epoch: Epoch } | undefined {
    const known = this.cluster.getOwner(group)
    return known === undefined ? undefined : { owner: known.owner, epoch: known.epoch }
  }

  get ownedGroups (): readonly Group[] { return [...this.groups.values()] }
  get waitingCallers (): number { return this.frontend.waiting }

  /** Handles one event and returns its effects towards the outside, in order. */
  apply (event: Event): readonly Effect[] {
    this.handle(event)
    return this.outbox.drain()
  }

  private handle (event: Event): void {
    const { now } = event
    switch (event.type) {
      case 'tick': return this.tick(now)
      case 'paused': return this.applyCluster(event)
      case 'store-answered': return this.storeAnswered(event)
      case 'target-answered': {
        const group = this.groups.get(Number(event.callId.split('.')[0]))
        return group === undefined ? undefined : this.applyGroup(group, event)
      }
      case 'host-list-answered':
        if (this.hostList.answered(now, event.result)) for (const group of this.groups.values()) this.listHosts(now, group)
        return
      case 'peer-received': return this.receive(now, event.envelope)
      case 'caller-submitted':
      case 'caller-requested':
      case 'caller-gone':
        return this.applyFrontend(event)
      case 'publish-requested': return this.applyCluster({ ...event, at: now })
      case 'leave-requested':
        this.leave ??= { since: now, refusing: false, clusterAsked: false, clusterLeft: false, left: false }
        return this.continueLeave(now, this.leave)
      default: return assertNever(event)
    }
  }

  private tick (now: number): void {
    this.applyCluster({ type: 'tick', now })
    if (this.hostList.due(now)) this.outbox.push({ type: 'read-host-list' })
    for (const group of [...this.groups.values()]) this.applyGroup(group, { type: 'tick', now })
    this.applyFrontend({ type: 'tick', now })
    this.continueCommits(now, this.commits.step(now))
    if (now >= this.nextSummaryAt) this.summarise(now)
    if (this.leave !== undefined) this.continueLeave(now, this.leave)
  }

  private summarise (now: number): void {
    this.nextSummaryAt = now + SUMMARY_INTERVAL_MS
    const summaries = [...this.groups.values()].map((group) => group.summary)
    for (const summary of summaries) this.applyCluster({ type: 'summary-changed', now, summary })
    this.applyFrontend({ type: 'summaries-changed', now, summaries })
  }

  private continueLeave (now: number, leave: Leave): void {
    if (now - leave.since < (this.options.drainMs ?? DEFAULT_DRAIN_MS)) return
    if (!leave.refusing) {
      leave.refusing = true
      this.applyFrontend({ type: 'leave-requested', now })
    }
    const callersDone = this.frontend.waiting === 0 || now - leave.since >= LEAVE_WAIT_MS
    if (callersDone && !leave.clusterAsked) {
      leave.clusterAsked = true
      this.applyCluster({ type: 'leave-requested', now })
    }
    if (leave.clusterAsked && !leave.left && (leave.clusterLeft || now - leave.since >= LEAVE_GIVE_UP_MS)) {
      leave.left = true
      if (!leave.clusterLeft) this.outbox.push({ type: 'log', level: 'warn', message: 'left-without-handover', fields: { groups: this.groups.size } })
      this.outbox.push({ type: 'left' })
    }
  }

  private receive (now: number, envelope: PeerEnvelope): void {
    const { from, incarnation, message } = envelope
    switch (message.type) {
      case 'submit':
      case 'ask':
      case 'answer':
      case 'answer-received':
      case 'reply':
        return this.receiveCallerMessage(now, from, message)
      case 'heartbeat':
        this.noteHeard(now, from)
        this.applyFrontend({ type: 'summaries-changed', now, summaries: message.summaries })
        return this.applyCluster({ type: 'peer-received', now, from, incarnation, message })
      default:
        return this.applyCluster({ type: 'peer-received', now, from, incarnation, message })
    }
  }

  private noteHeard (now: number, from: MemberId): void {
    const before = this.heardAt.get(from)
    this.heardAt.set(from, now)
    if (before !== undefined && now - before > SILENCE_MS) this.applyFrontend({ type: 'member-heard-again', now, member: from })
  }

  private receiveCallerMessage (now: number, from: MemberId, message: CallerMessage): void {
    switch (message.type) {
      case 'answer':
      case 'reply':
        return this.applyFrontend({ type: 'message-received', now, from, message })
      case 'submit':
        return this.applyOwned(parseGroupNumber(message.work.id), { type: 'submitted', now, from, nonce: message.nonce, work: message.work, resumed: message.resumed }, message.epoch)
      case 'answer-received':
        return this.applyOwned(parseGroupNumber(message.work), { type: 'answer-received', now, from, nonce: message.nonce, work: message.work })
      case 'ask':
        return this.applyOwned(message.group, { type: 'group-requested', now, from, nonce: message.nonce, request: message.question })
      default: return assertNever(message)
    }
  }

  private applyOwned (number: GroupNumber | undefined, event: GroupEvent, epoch?: Epoch): void {
    const group = number === undefined ? undefined : this.groups.get(number)
    if (group !== undefined && (epoch ?? group.epoch) === group.epoch) return this.applyGroup(group, event)
    this.outbox.push({ type: 'count', counter: 'message-dropped', reason: 'not-owner' })
  }

  private applyCluster (event: ClusterEvent): void {
    for (const effect of this.cluster.apply(event)) this.carryOutCluster(event.now, effect)
  }

  private carryOutCluster (now: number, effect: ClusterEffect): void {
    switch (effect.type) {
      case 'store-call':
        this.outbox.push({ type: 'store-call', callId: `cluster/${effect.callId}`, call: effect.call })
        return
      case 'group-acquired': return this.acquire(now, effect.group, effect.epoch)
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
        // The effect may be outdated: the grant may have been lowered again before it is carried out, and the keeper was
        // told what the group used by then.
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

  private acquire (now: number, number: GroupNumber, epoch: number): void {
    const scheduler = Scheduler.create({ seed: hash(`${this.options.seed}/${number}/${epoch}`) })
    const group = Group.create({ group: number, epoch, scheduler, now, timing: this.options.groupTiming }, this.options.groups)
    this.groups.set(number, group)
    this.applyGroup(group, { type: 'configuration-applied', now, configuration: this.cluster.configuration })
    this.listHosts(now, group)
    this.applyGroup(group, { type: 'tick', now })
  }

  private listHosts (now: number, group: Group): void {
    const { newest } = this.hostList
    if (newest === undefined) return
    this.applyGroup(group, { type: 'hosts-listed', now, targets: newest.targets.get(group.number) ?? [], asOf: newest.asOf })
  }

  private applyGroup (group: Group, event: GroupEvent): void {
    for (const effect of group.apply(event)) this.carryOutGroup(event.now, group, effect)
  }

  private carryOutGroup (now: number, group: Group, effect: GroupEffect): void {
    switch (effect.type) {
      case 'load': return this.load(group, effect.prefix)
      case 'commit':
        this.commits.add(now, { group: group.number, epoch: group.epoch, commitId: effect.commitId, writes: effect.writes })
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
    for (const effect of this.frontend.apply(event)) this.carryOutFrontend(event.now, effect)
  }

  private carryOutFrontend (now: number, effect: FrontendEffect): void {
    if (effect.type === 'send') return this.send(now, effect.to, effect.message)
    this.outbox.push(effect)
  }

  private send (now: number, to: MemberId, message: CallerMessage): void {
    const { member } = this.options
    if (to === member) return this.receiveCallerMessage(now, member, message)
    const address = this.cluster.getAddress(to)
    if (address !== undefined) this.sendPeer(to, address, message)
    else this.outbox.push({ type: 'count', counter: 'message-dropped', reason: 'unknown-member' })
  }

  private sendPeer (to: MemberId, address: string, message: PeerMessage): void {
    this.outbox.push({ type: 'peer-send', to, address, message })
  }

  private load (group: Group, prefix: string): void {
    const callId = `load/${group.number}.${group.epoch}`
    const loader = Loader.create(prefix)
    this.loaders.set(callId, loader)
    this.outbox.push({ type: 'store-call', callId, call: loader.first() })
  }

  private storeAnswered (event: Extract<Event, { type: 'store-answered' }>): void {
    const { now, callId, result } = event
    const [purpose, id] = callId.split('/')
    if (purpose === 'cluster') return this.applyCluster({ type: 'store-answered', now, callId: Number(id), result })
    if (purpose === 'commit') return this.continueCommits(now, this.commits.answered(now, result))
    const loader = this.loaders.get(callId)
    if (loader === undefined) return
    const step = loader.answered(result)
    if (step.type === 'call') {
      this.outbox.push({ type: 'store-call', callId, call: step.call })
      return
    }
    this.loaders.delete(callId)
    const group = this.groups.get(Number(id?.split('.')[0]))
    if (group !== undefined && id === `${group.number}.${group.epoch}`) this.applyGroup(group, { type: 'loaded', now, result: step.result })
  }

  private continueCommits (now: number, step: GroupCommitStep): void {
    if (step.call !== undefined) this.outbox.push({ type: 'store-call', callId: 'commit/', call: step.call })
    for (const { commit, outcome } of step.settled) {
      const group = this.groups.get(commit.group)
      if (group?.epoch === commit.epoch) this.applyGroup(group, { type: 'commit-settled', now, commitId: commit.commitId, outcome })
    }
  }

  private usageOf (group: GroupNumber, team: TeamName): Resources {
    return this.groups.get(group)?.usage(team) ?? NO_RESOURCES
  }
}
