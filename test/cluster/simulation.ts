import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Cluster } from '../../src/cluster/index.ts'
import type { ClusterEffect, ClusterEvent, ClusterOptions } from '../../src/cluster/index.ts'
import type { GroupNumber, MemberId, TeamName } from '../../src/model/ids.ts'
import type { ClusterMessage } from '../../src/model/peer.ts'
import { NO_RESOURCES } from '../../src/model/resources.ts'
import type { Resources } from '../../src/model/resources.ts'
import type { StoreResponse, StoreCall, StoreFailure } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { Random } from '../../src/util/random.ts'

type OmitTime<Event> = Event extends ClusterEvent ? Omit<Event, 'now'> : never
/** A cluster event without its time, which the simulation adds. */
export type TimelessEvent = OmitTime<ClusterEvent>

type WatchCall = Extract<StoreCall, { readonly type: 'watch' }>
type WaitingWatch = { readonly member: Member, readonly callId: number, readonly call: WatchCall, readonly startedAt: number }

/** A member with the state of its process. `clockOffset` differs between members, so that their clocks cannot be compared. */
export type Member = {
  readonly id: MemberId
  readonly cluster: Cluster
  readonly clockOffset: number
  isAlive: boolean
  pausedUntil: number
  isStoreUnreachable: boolean
  readonly deferredEvents: (() => void)[]
  readonly effects: { readonly at: number, readonly effect: ClusterEffect }[]
}

/** Options of a `Simulation`. */
export type SimulationOptions = {
  readonly seed: number
  readonly groups: number
  /** Ratios of peer messages that are lost or duplicated, and of store responses that are lost. */
  readonly messageLossRatio?: number
  readonly duplicationRatio?: number
  readonly responseLossRatio?: number
  /** Modifies messages or responses in transit, for deliberately broken variants. */
  readonly tamperMessage?: (message: ClusterMessage) => ClusterMessage
  readonly tamperResponse?: (response: StoreResponse) => StoreResponse
}

const TICK_MS = 50

/** Runs clusters, a network and a store in virtual time. */
export class Simulation {
  now = 0
  readonly members = new Map<MemberId, Member>()
  readonly store = InMemoryStore.create()
  storeState: 'up' | 'down' | 'slow' = 'up'
  responseLossRatio: number
  /** Called after each event of a member. */
  onStep: (simulation: Simulation) => void = () => {}
  readonly running = new Map<string, Resources>()
  readonly counters = new Map<string, number>()
  /** Called for each message that a member sends. */
  onSend: (message: ClusterMessage) => void = () => {}
  readonly callsPerSecond = new Map<number, { reads: number, writes: number }>()
  private readonly partitionedLinks = new Set<string>()
  private readonly random: Random
  /** Scheduled callbacks, sorted so that the next one is at the end. Callbacks for the same time run in the order in which they were added. */
  private readonly queue: { readonly at: number, readonly run: () => void }[] = []
  private waitingWatches: WaitingWatch[] = []

  private constructor (private readonly options: SimulationOptions) {
    this.random = Random.create(options.seed)
    this.responseLossRatio = options.responseLossRatio ?? 0
    this.repeat(20, () => this.resumeWatches())
  }

  static create (options: SimulationOptions): Simulation {
    return new Simulation(options)
  }

  start (id: MemberId, seedPeers: readonly MemberId[] = [], options: Partial<ClusterOptions> = {}): Member {
    // Only one process can listen at an address.
    this.kill(id)
    const cluster = Cluster.create({
      member: id,
      incarnation: String(Math.floor(this.now)).padStart(12, '0'),
      address: `${id}:1`,
      failureDomain: 'bole',
      seedPeers: seedPeers.map((peer) => ({ id: peer, address: `${peer}:1` })),
      groups: this.options.groups,
      seed: this.random.nextInt(1e9),
      getUsage: (group, team) => this.running.get(`${group}/${team}`) ?? NO_RESOURCES,
      ...options
    })
    const member: Member = { id, cluster, clockOffset: this.random.nextInt(1e6), isAlive: true, pausedUntil: 0, isStoreUnreachable: false, deferredEvents: [], effects: [] }
    this.members.set(id, member)
    this.repeat(TICK_MS, () => this.apply(member, { type: 'tick' }), () => member.isAlive, this.random.nextInt(TICK_MS))
    return member
  }

  kill (id: MemberId): void {
    const member = this.members.get(id)
    if (member !== undefined) member.isAlive = false
  }

  pause (id: MemberId, ms: number): void {
    const member = this.getMember(id)
    if (member.pausedUntil > this.now) return
    member.pausedUntil = this.now + ms
    this.schedule(ms, () => {
      this.apply(member, { type: 'paused', lateMs: ms })
      for (const run of member.deferredEvents.splice(0)) run()
    })
  }

  /** Interrupts or restores the network between two sets of members. */
  setPartitioned (left: readonly MemberId[], right: readonly MemberId[], partitioned: boolean): void {
    for (const leftId of left) {
      for (const rightId of right) {
        for (const key of [`${leftId} ${rightId}`, `${rightId} ${leftId}`]) partitioned ? this.partitionedLinks.add(key) : this.partitionedLinks.delete(key)
      }
    }
  }

  apply (member: Member, event: TimelessEvent): void {
    if (!member.isAlive) return
    if (this.now < member.pausedUntil) {
      if (event.type !== 'tick') member.deferredEvents.push(() => this.apply(member, event))
      return
    }
    const effects = member.cluster.apply({ ...event, now: this.now + member.clockOffset } as ClusterEvent)
    for (const effect of effects) this.runEffect(member, effect)
    this.onStep(this)
  }

  advance (ms: number): void {
    const end = this.now + ms
    for (;;) {
      const next = this.queue.at(-1)
      if (next === undefined || next.at > end) break
      this.queue.pop()
      this.now = next.at
      next.run()
    }
    this.now = end
  }

  /** Advances until the condition holds. Returns the elapsed milliseconds, or undefined if it does not hold within `limitMs`. */
  advanceUntil (condition: () => boolean, limitMs: number): number | undefined {
    const start = this.now
    while (this.now < start + limitMs) {
      if (condition()) return this.now - start
      this.advance(5)
    }
    return condition() ? this.now - start : undefined
  }

  getMember (id: MemberId): Member {
    const member = this.members.get(id)
    if (member === undefined) throw new Error(`no member ${id}`)
    return member
  }

  mayAct (member: Member, group: GroupNumber): boolean {
    return member.isAlive && member.cluster.mayAct(group, this.now + member.clockOffset)
  }

  isFresh (id: MemberId): boolean {
    const member = this.getMember(id)
    return member.cluster.isFresh(this.now + member.clockOffset)
  }

  getActingMembers (group: GroupNumber): readonly MemberId[] {
    return [...this.members.values()].filter((member) => this.mayAct(member, group)).map((member) => member.id)
  }

  isEveryGroupOwned (): boolean {
    return Array.from({ length: this.options.groups }, (_, group) => group).every((group) => this.getActingMembers(group).length === 1)
  }

  schedule (ms: number, run: () => void): void {
    const at = this.now + ms
    let low = 0
    let high = this.queue.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.queue[middle]!.at > at) low = middle + 1
      else high = middle
    }
    this.queue.splice(low, 0, { at, run })
  }

  repeat (ms: number, run: () => void, condition: () => boolean = () => true, firstMs = ms): void {
    this.schedule(firstMs, () => {
      if (!condition()) return
      run()
      this.repeat(ms, run, condition)
    })
  }

  private runEffect (member: Member, effect: ClusterEffect): void {
    if (effect.type === 'peer-send') return this.send(member, effect.to, effect.message)
    if (effect.type === 'store-call') return this.sendStoreCall(member, effect.callId, effect.call)
    if (effect.type === 'count') {
      const key = `${effect.counter}/${effect.reason}`
      this.counters.set(key, (this.counters.get(key) ?? 0) + 1)
      return
    }
    member.effects.push({ at: this.now, effect })
    if (effect.type === 'group-acquired') {
      this.schedule(10, () => this.apply(member, { type: 'group-recovered', group: effect.group, used: this.getUsage(effect.group) }))
    }
  }

  private getUsage (group: GroupNumber): { team: TeamName, amount: Resources }[] {
    return [...this.running].filter(([key]) => key.startsWith(`${group}/`)).map(([key, amount]) => ({ team: key.slice(key.indexOf('/') + 1), amount }))
  }

  private send (from: Member, to: MemberId, message: ClusterMessage): void {
    const delivered = this.options.tamperMessage?.(message) ?? message
    const incarnation = from.cluster.incarnation
    this.onSend(message)
    const copies = this.random.next() < (this.options.messageLossRatio ?? 0) ? 0 : this.random.next() < (this.options.duplicationRatio ?? 0) ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const extraDelayMs = copy > 0 ? this.random.nextInt(5_000) : 0
      this.schedule(1 + this.random.nextInt(3) + extraDelayMs, () => {
        const receiver = this.members.get(to)
        if (receiver === undefined || this.partitionedLinks.has(`${from.id} ${to}`)) return
        this.apply(receiver, { type: 'peer-received', from: from.id, incarnation, message: structuredClone(delivered) })
      })
    }
  }

  private sendStoreCall (member: Member, callId: number, call: StoreCall): void {
    const second = Math.floor(this.now / 1000)
    const calls = this.callsPerSecond.get(second) ?? { reads: 0, writes: 0 }
    calls[call.type === 'read' || call.type === 'watch' ? 'reads' : 'writes'] += 1
    this.callsPerSecond.set(second, calls)
    if (member.isStoreUnreachable) return
    this.schedule(this.pickLatencyMs(), () => this.handleStoreCall(member, callId, call))
  }

  private pickLatencyMs (): number {
    return this.storeState === 'slow' ? 200 + this.random.nextInt(2_500) : 1 + this.random.nextInt(4)
  }

  private handleStoreCall (member: Member, callId: number, call: StoreCall): void {
    if (this.storeState === 'down') {
      if (this.random.next() < 0.5) this.sendFailure(member, callId, 'not-applied')
      return
    }
    const response = this.store.call(this.now, call)
    if (response === 'waiting') this.waitingWatches.push({ member, callId, call: call as WatchCall, startedAt: this.now })
    else this.sendResponse(member, callId, response)
    if (call.type !== 'read' && call.type !== 'watch') this.resumeWatches()
  }

  private sendResponse (member: Member, callId: number, response: StoreResponse): void {
    if (member.isStoreUnreachable) return
    if (this.random.next() >= this.responseLossRatio) this.deliverResult(member, callId, ok(this.options.tamperResponse?.(response) ?? response))
    else if (this.random.next() < 0.5) this.sendFailure(member, callId, response.type === 'transact' ? 'may-have-applied' : 'not-applied')
  }

  private sendFailure (member: Member, callId: number, verdict: StoreFailure['verdict']): void {
    this.deliverResult(member, callId, err({ reason: 'unavailable', verdict }))
  }

  private deliverResult (member: Member, callId: number, result: Result<StoreResponse, StoreFailure>): void {
    this.schedule(this.pickLatencyMs(), () => this.apply(member, { type: 'store-answered', callId, result }))
  }

  private resumeWatches (): void {
    if (this.storeState === 'down') {
      this.waitingWatches.splice(0).forEach((entry) => this.sendFailure(entry.member, entry.callId, 'not-applied'))
      return
    }
    const waiting = this.waitingWatches.splice(0)
    for (const entry of waiting) {
      const response = this.store.resume(this.now, entry.call, entry.startedAt)
      if (response === 'waiting') this.waitingWatches.push(entry)
      else this.sendResponse(entry.member, entry.callId, response)
    }
  }
}
