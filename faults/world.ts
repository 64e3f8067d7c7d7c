import { err, ok, type Result } from 'neverthrow'
import { Random } from '../src/util/random.ts'
import { assertNever } from '../src/util/assert-never.ts'
import type { StoreResponse, StoreFailure } from '../src/ports/store.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../src/ports/target-client.ts'
import { Callers } from './callers.ts'
import { Conditions } from './conditions.ts'
import { EventQueue } from './event-queue.ts'
import { FAULT_TIMING } from './fault-catalogue.ts'
import { Fleet } from './fleet.ts'
import type { History, Observation, Observed } from './history.ts'
import { Injector, type Injection } from './injector.ts'
import type { MemberAccess } from './member-access.ts'
import { MemberNode, type PerformOutput } from './member-node.ts'
import type { CreateMemberProcess, MemberInput, MemberOutput } from './member-process.ts'
import { Operators } from './operators.ts'
import { DOMAINS, INITIAL_CHANGES, MEMBERS, PHASES, QUEUES } from './scenario.ts'
import { StoreNode } from './store-node.ts'
import { Wire } from './wire.ts'

export type WorldOptions = {
  readonly seed: number
  readonly injections: readonly Injection[]
  readonly createMember: CreateMemberProcess
  /** Breaks the targets on purpose. */
  readonly alterTargetCall?: () => (call: TargetCall) => TargetCall
}

export type WorldRun = { readonly history: History, readonly injected: readonly Injection[] }

const CALL_TIMEOUT_MS = 2_000
const HOST_LIST_DELAY_MS = 2
const MEMBER_START_SPREAD_MS = 300

type Respond<Answer> = (answer: Answer) => void

/** The real member reducers, the stand-ins and callers under virtual time, with injected faults. */
export class World {
  private readonly observations: Observation[] = []
  private readonly queue: EventQueue
  private readonly wire: Wire
  private readonly store: StoreNode
  private readonly fleet: Fleet
  private readonly members: ReadonlyMap<string, MemberNode>
  private readonly injector: Injector
  private readonly callers: Callers
  private readonly operators: Operators

  private constructor (options: WorldOptions) {
    const random = Random.create(options.seed)
    const fork = (): Random => Random.create(Math.floor(random.next() * 2 ** 32))
    this.queue = EventQueue.create(fork())
    this.injector = Injector.create(options.injections, (fault, passage) => conditions.begin(fault, passage))
    this.wire = Wire.create(this.queue, fork(), this.injector)
    this.store = StoreNode.create(this.queue, fork())
    this.fleet = Fleet.create({ queue: this.queue, observe: this.observe, alterTargetCall: options.alterTargetCall })
    this.members = new Map(MEMBERS.map((id, index) => [id, this.createNode(id, index, options)]))
    const parts = { queue: this.queue, members: this.access(), observe: this.observe }
    this.callers = Callers.create({ ...parts, random: fork() })
    this.operators = Operators.create({ ...parts, random: fork() })
    const conditions = Conditions.create({ ...this.parts(), random: fork() })
  }

  /** Runs one world to its end. */
  static run (options: WorldOptions): WorldRun {
    const world = new World(options)
    world.begin()
    world.queue.runUntil(PHASES.end)
    world.observe({ type: 'ended' })
    return { history: world.observations, injected: world.injector.injected }
  }

  private begin (): void {
    for (const [queue, { open, team }] of Object.entries(QUEUES)) this.observe({ type: 'queue-defined', queue, open, team })
    let index = 0
    for (const node of this.members.values()) {
      this.queue.at(index * MEMBER_START_SPREAD_MS, () => node.start())
      index += 1
    }
    this.queue.at(PHASES.publishAt, () => this.operators.publish(INITIAL_CHANGES))
    this.callers.start()
  }

  private readonly observe = (observed: Observed): void => {
    this.observations.push({ at: this.queue.now, ...observed })
  }

  private parts () {
    const { queue, wire, store, fleet, members, callers, operators } = this
    return { queue, wire, store, fleet, members, callers, operators }
  }

  private createNode (id: string, index: number, options: WorldOptions): MemberNode {
    return MemberNode.create({
      id,
      failureDomain: DOMAINS[index % DOMAINS.length]!,
      seed: options.seed * 100 + index * 10,
      queue: this.queue,
      create: options.createMember,
      observe: this.observe,
      perform: this.perform
    })
  }

  private access (): MemberAccess {
    const node = (id: string): MemberNode => this.members.get(id)!
    return {
      live: () => [...this.members.values()].filter((member) => member.up).map((member) => member.id),
      submit: (member, request, exchange) => this.connect(() => node(member).open(exchange, (exchangeId) => ({ type: 'caller-submitted', exchangeId, request }))),
      cancel: (member, work, key, exchange) => this.connect(() => node(member).open(exchange, (exchangeId) => ({ type: 'caller-cancelled', exchangeId, work, key }))),
      publish: (member, author, changes, exchange) => this.connect(() => node(member).open(exchange, (exchangeId) => ({ type: 'publish-requested', exchangeId, author, changes })))
    }
  }

  /** One millisecond from a caller to a member, as on the design page. */
  private connect (action: () => void): void {
    this.queue.after(1, action)
  }

  private readonly perform: PerformOutput = (node, output, again) => {
    switch (output.type) {
      case 'store-call': return this.callStore(node, output, (result) => again({ type: 'store-answered', callId: output.callId, result }))
      case 'target-call': return this.callTarget(node, output, (result) => again({ type: 'target-answered', callId: output.callId, result }))
      case 'read-host-list': return this.readHostList(again)
      case 'peer-send': return this.sendToPeer(node, output)
      case 'caller-answer': return node.answer(output.exchangeId, output.answer)
      case 'cancel-reply': return node.answer(output.exchangeId, output.reply)
      case 'publish-answer': return node.answer(output.exchangeId, output.answer)
      case 'left': return node.exit(FAULT_TIMING.restartMs)
      default: return assertNever(output)
    }
  }

  private callStore (node: MemberNode, { call }: Extract<MemberOutput, { type: 'store-call' }>, answered: Respond<Result<StoreResponse, StoreFailure>>): void {
    const verdict = call.type === 'transact' ? 'may-have-applied' : 'not-applied'
    this.wire.send<Result<StoreResponse, StoreFailure>>({
      step: `store:${call.type}`,
      from: node.id,
      to: 'store',
      deliver: (respond) => this.store.handle(call, respond),
      answered,
      timeoutMs: CALL_TIMEOUT_MS + (call.type === 'watch' ? call.waitMs : 0),
      timedOut: () => answered(err({ reason: 'timeout', verdict }))
    })
  }

  private callTarget (node: MemberNode, { target, call }: Extract<MemberOutput, { type: 'target-call' }>, answered: Respond<Result<TargetResponse, TargetFailure>>): void {
    this.wire.send<Result<TargetResponse, TargetFailure>>({
      step: `target:${call.type}`,
      from: node.id,
      to: target.id,
      deliver: (respond) => this.fleet.node(target.id)?.handle(call, respond),
      answered,
      timeoutMs: CALL_TIMEOUT_MS + (call.type === 'sync' ? call.waitMs : 0),
      timedOut: () => answered(err({ reason: 'timeout', verdict: 'may-have-run' }))
    })
  }

  private sendToPeer (node: MemberNode, { to, message }: Extract<MemberOutput, { type: 'peer-send' }>): void {
    const envelope = { from: node.id, incarnation: node.envelopeIncarnation, message }
    this.wire.send<void>({
      step: `peer:${message.type}`,
      from: node.id,
      to,
      deliver: () => this.members.get(to)?.receive({ type: 'peer-received', envelope }),
      answered: () => {},
      timeoutMs: CALL_TIMEOUT_MS,
      timedOut: () => {}
    })
  }

  private readHostList (again: (input: MemberInput) => void): void {
    this.queue.after(HOST_LIST_DELAY_MS, () => again({ type: 'host-list-answered', result: ok(this.fleet.read()) }))
  }
}
