import type { Random } from '../src/util/random.ts'
import { assertNever } from '../src/util/assert-never.ts'
import type { Callers } from './callers.ts'
import { FAULT_TIMING, type ConditionFaultName } from './fault-catalogue.ts'
import type { Fleet } from './fleet.ts'
import type { MessageRoute } from './injector.ts'
import type { MemberNode } from './member-node.ts'
import type { Operators } from './operators.ts'
import { createKeyChange, TEAM_SLOTS, createTeam } from './scenario.ts'
import type { EventQueue } from './event-queue.ts'
import type { StoreNode } from './store-node.ts'
import type { SimulatedNetwork } from './wire.ts'

export type ConditionOptions = {
  readonly queue: EventQueue
  readonly random: Random
  readonly network: SimulatedNetwork
  readonly store: StoreNode
  readonly fleet: Fleet
  readonly members: ReadonlyMap<string, MemberNode>
  readonly callers: Callers
  readonly operators: Operators
}

/** Starts the faults that affect nodes, the network, the configuration or the load rather than one message. */
export class Conditions {
  private withdrawnKeys = 0

  private constructor (private readonly options: ConditionOptions) {}

  static create (options: ConditionOptions): Conditions {
    return new Conditions(options)
  }

  startFault (fault: ConditionFaultName, route: MessageRoute): void {
    const { store, fleet, callers, members } = this.options
    switch (fault) {
      case 'sender-dies': return members.get(route.from)?.kill(FAULT_TIMING.restartMs)
      case 'receiver-dies': return this.killReceiver(route.to)
      case 'sender-pauses': return members.get(route.from)?.pause(FAULT_TIMING.pauseMs)
      case 'receiver-pauses': return this.pauseReceiver(route.to)
      case 'members-partitioned': return this.partitionMember(route.from)
      case 'store-down': return store.startOutage(FAULT_TIMING.storeMs)
      case 'store-slow': return store.startSlowPeriod(FAULT_TIMING.storeMs)
      case 'target-dies': return fleet.findBusiestTarget().kill(FAULT_TIMING.restartMs)
      case 'target-silent': return this.isolateTarget(fleet.findBusiestTarget().listed.id)
      case 'target-leaves': return fleet.scheduleLeaving(fleet.findBusiestTarget().listed.id)
      case 'domain-out': return this.takeDomainOut()
      case 'key-withdrawn': return this.withdrawKey()
      case 'publications-race': return this.publishConcurrently()
      case 'member-leaves': return members.get(route.from)?.leave()
      case 'cancellation-wave': return callers.cancelAll()
      case 'targets-fail-all': return fleet.failTasks(2, FAULT_TIMING.failingMs)
      case 'wrong-declarations': return callers.misdeclareResources(FAULT_TIMING.declarationMs)
      case 'never-fitting-work': return callers.sendUnschedulableWork()
      default: return assertNever(fault)
    }
  }

  private killReceiver (receiver: string): void {
    if (receiver === 'store') this.options.store.startOutage(100)
    this.options.members.get(receiver)?.kill(FAULT_TIMING.restartMs)
    this.options.fleet.findNode(receiver)?.kill(FAULT_TIMING.restartMs)
  }

  private pauseReceiver (receiver: string): void {
    if (receiver === 'store') this.options.store.startSlowPeriod(FAULT_TIMING.pauseMs)
    this.options.members.get(receiver)?.pause(FAULT_TIMING.pauseMs)
    this.options.fleet.findNode(receiver)?.pause(FAULT_TIMING.pauseMs)
  }

  private partitionMember (member: string): void {
    const { network, queue, members } = this.options
    const others = [...members.keys()].filter((id) => id !== member)
    others.forEach((id) => network.disconnect(member, id))
    queue.after(FAULT_TIMING.partitionMs, () => others.forEach((id) => network.reconnect(member, id)))
  }

  private isolateTarget (target: string): void {
    const { network, queue, members } = this.options
    for (const id of members.keys()) network.disconnect(id, target)
    queue.after(FAULT_TIMING.silenceMs, () => {
      for (const id of members.keys()) network.reconnect(id, target)
    })
  }

  private takeDomainOut (): void {
    const name = this.options.fleet.findBusiestTarget().listed.failureDomain
    this.options.operators.publish([{ kind: 'failureDomain', name, value: { name, state: 'out' } }])
    this.options.queue.after(FAULT_TIMING.domainMs, () => {
      this.options.operators.publish([{ kind: 'failureDomain', name, value: { name, state: 'in' } }])
    })
  }

  /** Withdraws the key; callers keep using it until the new one is issued. */
  private withdrawKey (): void {
    const { operators, callers, queue } = this.options
    this.withdrawnKeys += 1
    const name = this.withdrawnKeys === 1 ? 'key-a' : `key-a${this.withdrawnKeys}`
    const next = `key-a${this.withdrawnKeys + 1}`
    operators.publish([{ kind: 'key', name, value: null }])
    queue.after(FAULT_TIMING.keyMs, () => {
      operators.publish([createKeyChange(next, 'a')])
      callers.setTeamKey('a', next)
    })
  }

  private publishConcurrently (): void {
    const slots = TEAM_SLOTS['b']!
    for (const other of [slots - 4, slots + 4]) {
      this.options.operators.publish([{ kind: 'team', name: 'b', value: createTeam('b', other) }])
    }
  }
}
