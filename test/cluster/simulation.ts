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

type WithoutTime<Event> = Event extends ClusterEvent ? Omit<Event, 'now'> : never
export type TimelessEvent = WithoutTime<ClusterEvent>

type WatchCall = Extract<StoreCall, { readonly type: 'watch' }>
type Waiting = { readonly member: Member, readonly callId: number, readonly call: WatchCall, readonly startedAt: number }

/** A member with its process state; `clockOffset` makes the clocks of members incomparable. */
export type Member = {
  readonly id: MemberId
  readonly cluster: Cluster
  readonly clockOffset: number
  alive: boolean
  pausedUntil: number
  cutFromStore: boolean
  readonly held: (() => void)[]
  readonly effects: { readonly at: number, readonly effect: ClusterEffect }[]
}

export type SimulationOptions = {
  readonly seed: number
  readonly groups: number
  /** Chances that a peer message is lost or doubled, and that the answer of a store call is lost. */
  readonly loss?: number
  readonly doubled?: number
  readonly answerLoss?: number
  /** Changes messages or answers on their way, for deliberately broken variants. */
  readonly tamperMessage?: (message: ClusterMessage) => ClusterMessage
  readonly tamperAnswer?: (answer: StoreResponse) => StoreResponse
}

const TICK_MS = 50

/** Drives clusters, a network and a store in virtual time. */
export class Simulation {
  now = 0
  readonly members = new Map<MemberId, Member>()
  readonly store = InMemoryStore.create()
  storeState: 'up' | 'down' | 'slow' = 'up'
  answerLoss: number
  /** Called after each event of a member. */
  onStep: (simulation: Simulation) => void = () => {}
  readonly running = new Map<string, Resources>()
  readonly counters = new Map<string, number>()
  /** Called for each message that a member sends. */
  onSend: (message: ClusterMessage) => void = () => {}
  readonly callsPerSecond = new Map<number, { reads: number, writes: number }>()
  private readonly parted = new Set<string>()
  private readonly random: Random
  /** What is to happen, the next at the end; of things at one time, the first added is the next. */
  private readonly queue: { readonly at: number, readonly run: () => void }[] = []
  private waiting: Waiting[] = []

  private constructor (private readonly options: SimulationOptions) {
    this.random = Random.create(options.seed)
    this.answerLoss = options.answerLoss ?? 0
    this.every(20, () => this.resumeWatches())
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
      seed: this.random.below(1e9),
      usageOf: (group, team) => this.running.get(`${group}/${team}`) ?? NO_RESOURCES,
      ...options
    })
    const member: Member = { id, cluster, clockOffset: this.random.below(1e6), alive: true, pausedUntil: 0, cutFromStore: false, held: [], effects: [] }
    this.members.set(id, member)
    this.every(TICK_MS, () => this.apply(member, { type: 'tick' }), () => member.alive, this.random.below(TICK_MS))
    return member
  }

  kill (id: MemberId): void {
    const member = this.members.get(id)
    if (member !== undefined) member.alive = false
  }

  pause (id: MemberId, ms: number): void {
    const member = this.member(id)
    if (member.pausedUntil > this.now) return
    member.pausedUntil = this.now + ms
    this.after(ms, () => {
      this.apply(member, { type: 'paused', lateMs: ms })
      for (const run of member.held.splice(0)) run()
    })
  }

  /** Cuts or restores the network between two sets of members. */
  part (left: readonly MemberId[], right: readonly MemberId[], apart: boolean): void {
    for (const one of left) {
      for (const other of right) {
        for (const key of [`${one} ${other}`, `${other} ${one}`]) apart ? this.parted.add(key) : this.parted.delete(key)
      }
    }
  }

  apply (member: Member, event: TimelessEvent): void {
    if (!member.alive) return
    if (this.now < member.pausedUntil) {
      if (event.type !== 'tick') member.held.push(() => this.apply(member, event))
      return
    }
    const effects = member.cluster.apply({ ...event, now: this.now + member.clockOffset } as ClusterEvent)
    for (const effect of effects) this.run(member, effect)
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

  /** Advances until the condition holds; returns the milliseconds it took, or undefined after `limitMs`. */
  until (condition: () => boolean, limitMs: number): number | undefined {
    const start = this.now
    while (this.now < start + limitMs) {
      if (condition()) return this.now - start
      this.advance(5)
    }
    return condition() ? this.now - start : undefined
  }

  member (id: MemberId): Member {
    const member = this.members.get(id)
    if (member === undefined) throw new Error(`no member ${id}`)
    return member
  }

  mayAct (member: Member, group: GroupNumber): boolean {
    return member.alive && member.cluster.mayAct(group, this.now + member.clockOffset)
  }

  fresh (id: MemberId): boolean {
    const member = this.member(id)
    return member.cluster.fresh(this.now + member.clockOffset)
  }

  actors (group: GroupNumber): readonly MemberId[] {
    return [...this.members.values()].filter((member) => this.mayAct(member, group)).map((member) => member.id)
  }

  allOwned (): boolean {
    return Array.from({ length: this.options.groups }, (_, group) => group).every((group) => this.actors(group).length === 1)
  }

  after (ms: number, run: () => void): void {
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

  every (ms: number, run: () => void, while_: () => boolean = () => true, first = ms): void {
    this.after(first, () => {
      if (!while_()) return
      run()
      this.every(ms, run, while_)
    })
  }

  private run (member: Member, effect: ClusterEffect): void {
    if (effect.type === 'peer-send') return this.send(member, effect.to, effect.message)
    if (effect.type === 'store-call') return this.call(member, effect.callId, effect.call)
    if (effect.type === 'count') {
      const key = `${effect.counter}/${effect.reason}`
      this.counters.set(key, (this.counters.get(key) ?? 0) + 1)
      return
    }
    member.effects.push({ at: this.now, effect })
    if (effect.type === 'group-acquired') {
      this.after(10, () => this.apply(member, { type: 'group-recovered', group: effect.group, used: this.usedIn(effect.group) }))
    }
  }

  private usedIn (group: GroupNumber): { team: TeamName, amount: Resources }[] {
    return [...this.running].filter(([key]) => key.startsWith(`${group}/`)).map(([key, amount]) => ({ team: key.slice(key.indexOf('/') + 1), amount }))
  }

  private send (from: Member, to: MemberId, message: ClusterMessage): void {
    const sent = this.options.tamperMessage?.(message) ?? message
    const incarnation = from.cluster.incarnation
    this.onSend(message)
    const copies = this.random.next() < (this.options.loss ?? 0) ? 0 : this.random.next() < (this.options.doubled ?? 0) ? 2 : 1
    for (let copy = 0; copy < copies; copy += 1) {
      const late = copy > 0 ? this.random.below(5_000) : 0
      this.after(1 + this.random.below(3) + late, () => {
        const receiver = this.members.get(to)
        if (receiver === undefined || this.parted.has(`${from.id} ${to}`)) return
        this.apply(receiver, { type: 'peer-received', from: from.id, incarnation, message: structuredClone(sent) })
      })
    }
  }

  private call (member: Member, callId: number, call: StoreCall): void {
    const second = Math.floor(this.now / 1000)
    const calls = this.callsPerSecond.get(second) ?? { reads: 0, writes: 0 }
    calls[call.type === 'read' || call.type === 'watch' ? 'reads' : 'writes'] += 1
    this.callsPerSecond.set(second, calls)
    if (member.cutFromStore) return
    this.after(this.latency(), () => this.arrive(member, callId, call))
  }

  private latency (): number {
    return this.storeState === 'slow' ? 200 + this.random.below(2_500) : 1 + this.random.below(4)
  }

  private arrive (member: Member, callId: number, call: StoreCall): void {
    if (this.storeState === 'down') {
      if (this.random.next() < 0.5) this.fail(member, callId, 'not-applied')
      return
    }
    const answer = this.store.call(this.now, call)
    if (answer === 'waiting') this.waiting.push({ member, callId, call: call as WatchCall, startedAt: this.now })
    else this.answer(member, callId, answer)
    if (call.type !== 'read' && call.type !== 'watch') this.resumeWatches()
  }

  private answer (member: Member, callId: number, answer: StoreResponse): void {
    if (member.cutFromStore) return
    if (this.random.next() >= this.answerLoss) this.deliver(member, callId, ok(this.options.tamperAnswer?.(answer) ?? answer))
    else if (this.random.next() < 0.5) this.fail(member, callId, answer.type === 'transact' ? 'may-have-applied' : 'not-applied')
  }

  private fail (member: Member, callId: number, verdict: StoreFailure['verdict']): void {
    this.deliver(member, callId, err({ reason: 'unavailable', verdict }))
  }

  private deliver (member: Member, callId: number, result: Result<StoreResponse, StoreFailure>): void {
    this.after(this.latency(), () => this.apply(member, { type: 'store-answered', callId, result }))
  }

  private resumeWatches (): void {
    if (this.storeState === 'down') {
      this.waiting.splice(0).forEach((entry) => this.fail(entry.member, entry.callId, 'not-applied'))
      return
    }
    const waiting = this.waiting.splice(0)
    for (const entry of waiting) {
      const answer = this.store.resume(this.now, entry.call, entry.startedAt)
      if (answer === 'waiting') this.waiting.push(entry)
      else this.answer(entry.member, entry.callId, answer)
    }
  }
}
