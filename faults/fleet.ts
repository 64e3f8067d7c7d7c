import type { TargetCall } from '../src/ports/target-client.ts'
import type { HostListing } from '../src/ports/host-list.ts'
import { InMemoryHostList } from '../src/standins/host-list.ts'
import type { EventQueue } from './event-queue.ts'
import { FAULT_TIMING } from './fault-catalogue.ts'
import type { ObservedEvent } from './history.ts'
import { TARGETS } from './scenario.ts'
import { TargetNode } from './target-node.ts'

const HOST_LIST_LAG_MS = 1_000

export type FleetOptions = {
  readonly queue: EventQueue
  readonly observe: (observed: ObservedEvent) => void
  /** Creates, for each target, a function that changes its calls; used by broken variants. */
  readonly alterTargetCall?: () => (call: TargetCall) => TargetCall
}

/** All targets and the host list. */
export class Fleet {
  private readonly hostList = InMemoryHostList.create({ targets: TARGETS, lagMs: HOST_LIST_LAG_MS })
  private readonly nodes: ReadonlyMap<string, TargetNode>

  private constructor (private readonly options: FleetOptions) {
    const { queue, observe, alterTargetCall } = options
    const checkpoints = new Map<string, number>()
    this.nodes = new Map(TARGETS.map((target) => [target.id, TargetNode.create({ target, queue, checkpoints, observe, alterCall: alterTargetCall?.() })]))
    for (const target of TARGETS) observe({ type: 'target-listed', target: target.id, failureDomain: target.failureDomain, capacity: target.capacity })
  }

  static create (options: FleetOptions): Fleet {
    return new Fleet(options)
  }

  findNode (id: string): TargetNode | undefined {
    return this.nodes.get(id)
  }

  /** Returns the target with the most running tasks. */
  findBusiestTarget (): TargetNode {
    return [...this.nodes.values()].reduce((best, node) => node.runningCount > best.runningCount ? node : best)
  }

  readHostList (): HostListing {
    return this.hostList.read(this.options.queue.now)
  }

  /** Makes the host list show the target as leaving after its lag, and as live again later. */
  scheduleLeaving (id: string): void {
    const { queue, observe } = this.options
    this.hostList.setState(queue.now, id, 'leaving')
    queue.after(HOST_LIST_LAG_MS, () => observe({ type: 'target-leaving', target: id }))
    queue.after(FAULT_TIMING.leavingMs, () => {
      this.hostList.setState(queue.now, id, 'live')
      queue.after(HOST_LIST_LAG_MS, () => observe({ type: 'target-returned', target: id }))
    })
  }

  failTasks (count: number, forMs: number): void {
    const failing = [...this.nodes.values()].sort((left, right) => right.runningCount - left.runningCount).slice(0, count)
    failing.forEach((node) => node.setFailing(true))
    this.options.queue.after(forMs, () => failing.forEach((node) => node.setFailing(false)))
  }
}
