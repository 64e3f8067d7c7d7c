import { fits, type Resources } from '../model/resources.ts'
import { FailedSearches } from './failed-searches.ts'
import { FairOrder } from './fair-order.ts'
import { acceptsWork, type TargetState } from './fleet.ts'
import { type BlockReason, findFairestQueue, type Shape, type ShapeQueue, type WorkClass } from './queue.ts'
import type { TeamState } from './team.ts'

/** Maximum number of blocked shapes or queues compared with the free capacity of one target. */
const MAX_ITEMS_READ = 256
/** Maximum number of blocked queues of each team that are retried after capacity became free on many targets. */
const MAX_UNBLOCKED_QUEUES_PER_TEAM = 8

/** Dependencies of the readiness of queues. */
export type QueueReadinessOptions = {
  /** Whether the reserve for urgent work stays free when the amount is booked. */
  readonly leavesUrgentReserve: (amount: Resources) => boolean
  readonly getTeams: () => Iterable<TeamState>
}

/** Which queues of waiting tasks can be tried, in the order of the teams' shares, and what the blocked ones wait for. */
export class QueueReadiness {
  /** Teams with queues other than urgent ones that can be tried. */
  readonly readyTeams = FairOrder.create()
  /** Teams with urgent queues that can be tried. */
  readonly urgentReadyTeams = FairOrder.create()
  /** Shapes with queues that wait for free capacity. */
  readonly blockedShapes = new Set<Shape>()
  /** Urgent queues that wait for free capacity. */
  readonly blockedUrgentQueues = new Set<ShapeQueue>()
  /** Queues whose first gang waits until all its tasks can start together. */
  readonly gangQueues = new Set<ShapeQueue>()
  /** Amounts for which a search found no target. */
  readonly failedSearches = FailedSearches.create()
  /** Teams with queues other than urgent ones that wait for free capacity. */
  private readonly blockedTeams = FairOrder.create()
  /** Teams with queues that wait until the free capacity exceeds the urgent reserve. */
  private readonly reserveBlockedTeams = FairOrder.create()

  private constructor (private readonly options: QueueReadinessOptions) {}

  /**
   * Creates the readiness of no queues.
   *
   * @example
   * const readiness = QueueReadiness.create({ leavesUrgentReserve: () => true, getTeams: () => teams.byName.values() })
   * readiness.setReady(queue)
   * readiness.block(queue, 'no-room')
   */
  static create (options: QueueReadinessOptions): QueueReadiness {
    return new QueueReadiness(options)
  }

  /** Lets the queue be tried. */
  setReady (queue: ShapeQueue): void {
    const { team, workClass } = queue
    team.readyQueues[workClass].add(queue)
    this.getReadyTeams(workClass).add(team)
  }

  private setNotReady (queue: ShapeQueue): void {
    const { team, workClass } = queue
    if (!team.readyQueues[workClass].delete(queue)) return
    if (workClass === 'urgent') {
      if (team.readyQueues.urgent.size === 0) this.urgentReadyTeams.delete(team)
    } else if (!hasReadyNonUrgentQueue(team)) {
      this.readyTeams.delete(team)
    }
  }

  private getReadyTeams (workClass: WorkClass): FairOrder {
    return workClass === 'urgent' ? this.urgentReadyTeams : this.readyTeams
  }

  /** Excludes the queue from placement until the reason for the block may have changed. */
  block (queue: ShapeQueue, reason: BlockReason): void {
    this.setNotReady(queue)
    queue.blockedBy = reason
    switch (reason) {
      case 'no-room': return this.blockForCapacity(queue)
      case 'team-limit': queue.team.grantBlockedQueues.add(queue); return
      case 'urgent-reserve': queue.team.reserveBlockedQueues.add(queue); this.reserveBlockedTeams.add(queue.team); return
      case 'gang-waiting': this.gangQueues.add(queue)
    }
  }

  private blockForCapacity (queue: ShapeQueue): void {
    const { team, shape, workClass } = queue
    shape.blockedQueues.add(queue)
    this.blockedShapes.add(shape)
    if (workClass === 'urgent') {
      this.blockedUrgentQueues.add(queue)
    } else {
      team.blockedQueues.add(queue)
      this.blockedTeams.add(team)
    }
  }

  private clearBlock (queue: ShapeQueue): void {
    const { team, shape } = queue
    queue.blockedBy = undefined
    if (shape.blockedQueues.delete(queue) && shape.blockedQueues.size === 0) this.blockedShapes.delete(shape)
    if (team.blockedQueues.delete(queue) && team.blockedQueues.size === 0) this.blockedTeams.delete(team)
    if (team.reserveBlockedQueues.delete(queue) && team.reserveBlockedQueues.size === 0) this.reserveBlockedTeams.delete(team)
    this.blockedUrgentQueues.delete(queue)
    team.grantBlockedQueues.delete(queue)
    this.gangQueues.delete(queue)
  }

  unblock (queue: ShapeQueue): void {
    if (queue.blockedBy === undefined) return
    this.clearBlock(queue)
    if (!queue.isEmpty) this.setReady(queue)
  }

  /**
   * Unblocks a queue whose tasks fit on the target now: an urgent one, else one of the team furthest below its share.
   * Also unblocks queues that wait for the urgent reserve.
   */
  unblockForTarget (target: TargetState): void {
    this.failedSearches.removeFitting(target.free)
    if (!acceptsWork(target)) return
    const queue = this.findQueueForTarget(target)
    if (queue !== undefined) {
      queue.targetHint = target
      this.unblock(queue)
    }
    this.unblockReserveBlocked()
  }

  private findQueueForTarget (target: TargetState): ShapeQueue | undefined {
    const shape = findFirstFitting(this.blockedShapes, (each) => each, target)
    if (shape === undefined) return undefined
    const urgent = findFirstFitting(this.blockedUrgentQueues, (queue) => queue.shape, target)
    if (urgent !== undefined && urgent.team.share <= urgent.team.entitledShare) return urgent
    return this.findAcceleratorQueue(target) ??
      this.blockedTeams.find((team) => findFirstFitting(team.blockedQueues, (queue) => queue.shape, target)) ??
      urgent ??
      findFairestQueue(shape)
  }

  /**
   * Queues that need accelerators come first on a target with free accelerators: other work could book the rest of the
   * target and leave the accelerators unusable.
   */
  private findAcceleratorQueue (target: TargetState): ShapeQueue | undefined {
    if (target.free.accelerators === 0) return undefined
    return this.blockedTeams.find((team) => findFirstFitting(team.blockedQueues, ({ shape }) => shape, target, ({ booked }) => booked.accelerators > 0))
  }

  /** Allows a new search for the shape and unblocks the queue that is next for it. */
  retryShape (shape: Shape): void {
    shape.searchFailed = false
    this.failedSearches.clear()
    this.unblockNext(shape)
  }

  /** Unblocks the next queue of the shape, after a task of the shape was started. */
  unblockNext (shape: Shape): void {
    const queue = findFairestQueue(shape)
    if (queue !== undefined) this.unblock(queue)
  }

  /** Removes a queue that is empty or changes its organisation. */
  remove (queue: ShapeQueue): void {
    this.clearBlock(queue)
    this.setNotReady(queue)
  }

  /** Updates the position of a team in the orders after its sort key has changed. */
  updateOrder (team: TeamState): void {
    this.readyTeams.update(team)
    this.urgentReadyTeams.update(team)
    this.reserveBlockedTeams.update(team)
    this.blockedTeams.update(team)
  }

  private unblockReserveBlocked (): void {
    const team = this.reserveBlockedTeams.first()
    if (team === undefined) return
    for (const queue of [...team.reserveBlockedQueues]) {
      if (this.options.leavesUrgentReserve(queue.shape.booked)) this.unblock(queue)
    }
  }

  /** Unblocks some queues of every team after capacity became free on many targets; the others follow when these start tasks. */
  unblockAllTeams (): void {
    this.failedSearches.clear()
    for (const shape of this.blockedShapes) shape.searchFailed = false
    for (const queue of [...this.blockedUrgentQueues]) this.unblock(queue)
    for (const team of this.options.getTeams()) {
      for (const queue of [...team.blockedQueues].slice(0, MAX_UNBLOCKED_QUEUES_PER_TEAM)) this.unblock(queue)
      for (const queue of [...team.reserveBlockedQueues]) this.unblock(queue)
    }
  }

  unblockGrantBlocked (team: TeamState): void {
    for (const queue of [...team.grantBlockedQueues]) this.unblock(queue)
  }
}

/** Finds the first item whose shape fits in the free capacity of the target; reads a bounded number of items. */
function findFirstFitting<Item> (items: Iterable<Item>, getShape: (item: Item) => Shape, { free }: TargetState, isCandidate: (shape: Shape) => boolean = () => true): Item | undefined {
  let readCount = 0
  for (const item of items) {
    const shape = getShape(item)
    if (isCandidate(shape) && fits(shape.booked, free)) return item
    readCount += 1
    if (readCount === MAX_ITEMS_READ) return undefined
  }
  return undefined
}

function hasReadyNonUrgentQueue (team: TeamState): boolean {
  const { request, service, gang, batch } = team.readyQueues
  return request.size + service.size + gang.size + batch.size > 0
}
