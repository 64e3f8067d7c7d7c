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
import type { History, Observation, ObservedEvent } from './history.ts'
import { Injector, type Injection } from './injector.ts'
import type { MemberAccess } from './member-access.ts'
import { MemberNode, type PerformOutput } from './member-node.ts'
import type { CreateMemberProcess, MemberInput, MemberOutput } from './member-process.ts'
import { Operators } from './operators.ts'
import { FAILURE_DOMAINS, INITIAL_CHANGES, MEMBERS, PHASES, QUEUES } from './scenario.ts'
import { StoreNode } from './store-node.ts'
import { SimulatedNetwork } from './wire.ts'

export type WorldOptions = {
  readonly seed: number
  readonly injections: readonly Injection[]
  readonly createMember: CreateMemberProcess
  /** Creates, for each target, a function that changes its calls; used by broken variants. */
  readonly alterTargetCall?: () => (call: TargetCall) => TargetCall
}

export type WorldRun = { readonly history: History, readonly injected: readonly Injection[] }

const CALL_TIMEOUT_MS = 2_000
const HOST_LIST_DELAY_MS = 2
const MEMBER_START_SPREAD_MS = 300

type Respond<Answer> = (answer: Answer) => void

/** Simulation of the real member reducers, the stand-ins and callers in virtual time, with injected faults. */
export class World {
  private readonly observations: Observation[] = []
  private readonly queue: EventQueue
  private readonly network: SimulatedNetwork
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
    this.injector = Injector.create(options.injections, (fault, route) => conditions.startFault(fault, route))
    this.network = SimulatedNetwork.create(this.queue, fork(), this.injector)
    this.store = StoreNode.create(this.queue, fork())
    this.fleet = Fleet.create({ queue: this.queue, observe: this.observe, alterTargetCall: options.alterTargetCall })
    this.members = new Map(MEMBERS.map((id, index) => [id, this.createNode(id, index, options)]))
    const parts = { queue: this.queue, members: this.createMemberAccess(), observe: this.observe }
    this.callers = Callers.create({ ...parts, random: fork() })
    this.operators = Operators.create({ ...parts, random: fork() })
    const conditions = Conditions.create({ ...this.getConditionOptions(), random: fork() })
  }

  /** Runs one simulation to its end. */
  static run (options: WorldOptions): WorldRun {
    const world = new World(options)
    world.start()
    world.queue.runUntil(PHASES.end)
    world.observe({ type: 'ended' })
    return { history: world.observations, injected: world.injector.injected }
  }

  private start (): void {
    for (const [queue, { open, team }] of Object.entries(QUEUES)) this.observe({ type: 'queue-defined', queue, open, team })
    let index = 0
    for (const node of this.members.values()) {
      this.queue.at(index * MEMBER_START_SPREAD_MS, () => node.start())
      index += 1
    }
    this.queue.at(PHASES.publishAt, () => this.operators.publish(INITIAL_CHANGES))
    this.callers.start()
  }

  private readonly observe = (observed: ObservedEvent): void => {
    this.observations.push({ at: this.queue.now, ...observed })
  }

  private getConditionOptions () {
    const { queue, network, store, fleet, members, callers, operators } = this
    return { queue, network, store, fleet, members, callers, operators }
  }

  private createNode (id: string, index: number, options: WorldOptions): MemberNode {
    return MemberNode.create({
      id,
      failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
      seed: options.seed * 100 + index * 10,
      queue: this.queue,
      create: options.createMember,
      observe: this.observe,
      perform: this.perform
    })
  }

  private createMemberAccess (): MemberAccess {
    const node = (id: string): MemberNode => this.members.get(id)!
    return {
      getLiveMembers: () => [...this.members.values()].filter((member) => member.isRunning).map((member) => member.id),
      submit: (member, request, exchange) => this.sendWithCallerDelay(() => node(member).openExchange(exchange, (exchangeId) => ({ type: 'caller-submitted', exchangeId, request }))),
      cancel: (member, work, key, exchange) => this.sendWithCallerDelay(() => node(member).openExchange(exchange, (exchangeId) => ({ type: 'caller-cancelled', exchangeId, work, key }))),
      publish: (member, author, changes, exchange) => this.sendWithCallerDelay(() => node(member).openExchange(exchange, (exchangeId) => ({ type: 'publish-requested', exchangeId, author, changes })))
    }
  }

  /** Runs the action after the delay of 1 ms from a caller to a member that the design page states. */
  private sendWithCallerDelay (action: () => void): void {
    this.queue.after(1, action)
  }

  private readonly perform: PerformOutput = (node, output, receiveLater) => {
    switch (output.type) {
      case 'store-call': return this.callStore(node, output, (result) => receiveLater({ type: 'store-answered', callId: output.callId, result }))
      case 'target-call': return this.callTarget(node, output, (result) => receiveLater({ type: 'target-answered', callId: output.callId, result }))
      case 'read-host-list': return this.readHostList(receiveLater)
      case 'peer-send': return this.sendToPeer(node, output)
      case 'caller-answer': return node.completeExchange(output.exchangeId, output.answer)
      case 'cancel-reply': return node.completeExchange(output.exchangeId, output.reply)
      case 'publish-answer': return node.completeExchange(output.exchangeId, output.answer)
      case 'left': return node.exit(FAULT_TIMING.restartMs)
      default: return assertNever(output)
    }
  }

  private callStore (node: MemberNode, { call }: Extract<MemberOutput, { type: 'store-call' }>, answered: Respond<Result<StoreResponse, StoreFailure>>): void {
    const verdict = call.type === 'transact' ? 'may-have-applied' : 'not-applied'
    this.network.send<Result<StoreResponse, StoreFailure>>({
      step: `store:${call.type}`,
      from: node.id,
      to: 'store',
      deliver: (respond) => this.store.handle(call, respond),
      onResponse: answered,
      timeoutMs: CALL_TIMEOUT_MS + (call.type === 'watch' ? call.waitMs : 0),
      onTimeout: () => answered(err({ reason: 'timeout', verdict }))
    })
  }

  private callTarget (node: MemberNode, { target, call }: Extract<MemberOutput, { type: 'target-call' }>, answered: Respond<Result<TargetResponse, TargetFailure>>): void {
    this.network.send<Result<TargetResponse, TargetFailure>>({
      step: `target:${call.type}`,
      from: node.id,
      to: target.id,
      deliver: (respond) => this.fleet.findNode(target.id)?.handle(call, respond),
      onResponse: answered,
      timeoutMs: CALL_TIMEOUT_MS + (call.type === 'sync' ? call.waitMs : 0),
      onTimeout: () => answered(err({ reason: 'timeout', verdict: 'may-have-run' }))
    })
  }

  private sendToPeer (node: MemberNode, { to, message }: Extract<MemberOutput, { type: 'peer-send' }>): void {
    const envelope = { from: node.id, incarnation: node.envelopeIncarnation, message }
    this.network.send<void>({
      step: `peer:${message.type}`,
      from: node.id,
      to,
      deliver: () => this.members.get(to)?.receive({ type: 'peer-received', envelope }),
      onResponse: () => {},
      timeoutMs: CALL_TIMEOUT_MS,
      onTimeout: () => {}
    })
  }

  private readHostList (receiveLater: (input: MemberInput) => void): void {
    this.queue.after(HOST_LIST_DELAY_MS, () => receiveLater({ type: 'host-list-answered', result: ok(this.fleet.readHostList()) }))
  }
}
