import type { Organisation, Profile, Team } from '../model/configuration.ts'
import type { TaskId, WorkId } from '../model/ids.ts'
import { fits, type Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import { KeyedHeap } from '../util/keyed-heap.ts'
import { Random } from '../util/random.ts'
import { computeDominantShare, fitsWithinLimit, addScaled } from './mutable-resources.ts'
import type { SchedulerEffect } from './effect.ts'
import { FairOrder } from './fair-order.ts'
import { Fleet, acceptsWork, type TargetState } from './fleet.ts'
import { getLatestStartTime } from './deadlines.ts'
import type { Estimate } from './estimates.ts'
import type { Family } from './family.ts'
import { DecisionHistory } from './decision-history.ts'
import { getProfileSettings, type ProfileSettings, type SchedulerOptions } from './options.ts'
import type { MoveReservation } from './evacuation.ts'
import { FailedSearches } from './failed-searches.ts'
import { type BlockReason, findFairestQueue, type Shape, ShapeQueue, type WorkClass } from './queue.ts'
import type { Quarantine } from './quarantine.ts'
import type { GangReservation } from './gang-reservation.ts'
import { Retries } from './retries.ts'
import { getWorkClass, createShape, formatShapeKey } from './shape.ts'
import { isPreemptible, type Job, type Task } from './task.ts'
import { Teams, type TeamState } from './team.ts'

/** Relative change of a sort key from which the team orders are updated; updating for smaller changes costs more than it gains. */
const ORDER_TOLERANCE_RATIO = 0.01
/** Maximum number of blocked shapes or queues compared with the free capacity of one target. */
const MAX_ITEMS_READ = 256
/** Maximum number of blocked queues of each team that are retried after capacity became free on many targets. */
const MAX_UNBLOCKED_QUEUES_PER_TEAM = 8

/** State of the scheduler of one group, with the operations that keep its totals and indexes consistent. */
export class SchedulerState {
  now = 0
  /** Time of the last calculation of the entitled shares. */
  entitledSharesUpdatedAt = Number.NEGATIVE_INFINITY
  /** Time of the last update of the start rates of the teams. */
  startRatesUpdatedAt = 0
  /** Effects of the event that is being applied. */
  effects: SchedulerEffect[] = []
  profile: ProfileSettings
  readonly fleet = Fleet.create()
  readonly teams = Teams.create()
  readonly jobs = new Map<WorkId, Job>()
  readonly tasks = new Map<TaskId, Task>()
  readonly shapes = new Map<string, Shape>()
  /** Shapes with queues that wait for free capacity. */
  readonly blockedShapes = new Set<Shape>()
  /** Teams with queues other than urgent ones that can be tried. */
  readonly readyTeams = FairOrder.create()
  /** Teams with urgent queues that can be tried. */
  readonly urgentReadyTeams = FairOrder.create()
  /** Teams with queues other than urgent ones that wait for free capacity. */
  readonly blockedTeams = FairOrder.create()
  /** Amounts for which a search found no target. */
  readonly failedSearches = FailedSearches.create()
  /** Teams with queues that wait until the free capacity exceeds the urgent reserve. */
  readonly reserveBlockedTeams = FairOrder.create()
  /** Queues whose first gang waits until all its tasks can start together. */
  readonly gangQueues = new Set<ShapeQueue>()
  /** Number of waiting tasks of each class. */
  readonly waitingByClass: Record<WorkClass, number> = { urgent: 0, request: 0, service: 0, gang: 0, batch: 0 }
  /** Urgent queues that wait for free capacity. */
  readonly blockedUrgentQueues = new Set<ShapeQueue>()
  /** Waiting requests by the latest time at which a start can still meet the deadline. */
  readonly requestsByLatestStart = KeyedHeap.create<Job>()
  readonly families = new Map<string, Family>()
  readonly estimates = new Map<string, Estimate>()
  readonly retries = Retries.create()
  readonly quarantines = new Map<TargetState, Quarantine>()
  /** Tasks with a claim: they have booked capacity and wait until it is free. */
  readonly claims = new Set<Task>()
  /** Tasks for which a stop was sent. */
  readonly stoppingTasks = new Set<Task>()
  reservation: GangReservation | undefined
  /** Team for which the scheduler last tried to reclaim lent capacity. */
  lastReclaimTeam: TeamState | undefined
  /** Targets that are being evacuated, with the time at which the evacuation began. */
  readonly evacuatingSince = new Map<TargetState, number>()
  /** Reservations for tasks that move to another target. */
  readonly moveReservations = new Map<TaskId, MoveReservation>()
  readonly teamsWithChangedDemand = new Set<TeamState>()
  readonly decisionHistory = DecisionHistory.create()
  readonly random: Random
  private nextSequence = 0

  private constructor (readonly options: SchedulerOptions) {
    this.random = Random.create(options.seed)
    this.profile = getProfileSettings('packing')
  }

  static create (options: SchedulerOptions): SchedulerState {
    return new SchedulerState(options)
  }

  setProfile (profile: Profile): void {
    this.profile = getProfileSettings(profile.weighs)
  }

  /** Replaces the organisations and teams; the queues of a team that changes its organisation are entered under the new one. */
  configure (organisations: readonly Organisation[], teams: readonly Team[]): void {
    const moved = teams.map(({ name, organisation }) => ({ team: this.teams.byName.get(name), organisation }))
      .flatMap(({ team, organisation }) => team !== undefined && team.organisation.name !== organisation ? [team] : [])
    const queues = moved.flatMap((team) => [...team.queues.values()])
    for (const queue of queues) {
      this.clearBlock(queue)
      this.setNotReady(queue)
    }
    this.teams.configure(organisations, teams)
    for (const team of this.teams.byName.values()) this.updateShare(team)
    for (const queue of queues) this.setReady(queue)
  }

  emit (effect: SchedulerEffect): void {
    this.effects.push(effect)
  }

  emitCount (counter: string, reason: string): void {
    this.effects.push({ type: 'count', counter, reason })
  }

  // Jobs and waiting tasks

  addJob (work: Work, team: TeamState): Job {
    const job: Job = {
      id: work.id,
      work,
      team,
      submitted: false,
      firstFreshIndex: 0,
      taskCount: 0,
      skippedIndices: undefined,
      listedIndices: [],
      pendingCount: 0,
      delayedIndices: new Set(),
      mayHaveRun: false,
      avoidedTarget: undefined,
      tasks: new Map(),
      failuresByIndex: undefined,
      queuedAt: this.now,
      reservationCount: 0,
      sequence: this.nextSequence,
      queue: undefined,
      previous: undefined,
      next: undefined,
      cancelled: false
    }
    this.nextSequence += 1
    this.jobs.set(work.id, job)
    return job
  }

  /** Adds to all totals of waiting tasks; `tasks` may be negative. */
  changeWaiting (job: Job, tasks: number): void {
    const workClass = getWorkClass(job.work)
    job.team.waitingByClass[workClass] += tasks
    this.waitingByClass[workClass] += tasks
    addScaled(job.team.waitingResources, job.work.resources, tasks)
    this.teamsWithChangedDemand.add(job.team)
  }

  /** Puts a job with waiting tasks into its queue; `atFront` puts it before the other jobs of the queue. */
  enqueue (job: Job, atFront = false): void {
    if (job.queue !== undefined || job.pendingCount === 0) return
    const queue = this.getOrCreateQueue(job)
    if (atFront) queue.prepend(job)
    else queue.append(job)
    if (queue.blockedBy === undefined) this.setReady(queue)
    const latestStart = getLatestStartTime(this, job.work)
    if (latestStart !== undefined) this.requestsByLatestStart.set(job, latestStart)
  }

  private getOrCreateQueue (job: Job): ShapeQueue {
    const workClass = getWorkClass(job.work)
    const shape = this.getOrCreateShape(job.work)
    const key = `${workClass} ${shape.key}`
    const known = job.team.queues.get(key)
    if (known !== undefined) return known
    const queue = ShapeQueue.create(job.team, workClass, shape)
    shape.queueCount += 1
    job.team.queues.set(key, queue)
    return queue
  }

  getOrCreateShape (work: Work): Shape {
    const key = formatShapeKey(work)
    const known = this.shapes.get(key)
    if (known !== undefined) return known
    const shape = createShape(key, work, this.estimates.get(key)?.booked ?? work.resources, this.now)
    this.shapes.set(key, shape)
    return shape
  }

  /** Removes the job from its queue, and the queue from its team when it is empty. */
  dequeue (job: Job): void {
    const { queue } = job
    if (queue === undefined) return
    this.requestsByLatestStart.delete(job)
    queue.remove(job)
    if (queue.isEmpty) this.removeQueue(queue)
  }

  private removeQueue (queue: ShapeQueue): void {
    this.clearBlock(queue)
    this.setNotReady(queue)
    const { shape, team, workClass } = queue
    team.queues.delete(`${workClass} ${shape.key}`)
    shape.queueCount -= 1
    if (shape.queueCount === 0) this.shapes.delete(shape.key)
  }

  removeJobIfEnded (job: Job): void {
    if (job.pendingCount > 0 || job.delayedIndices.size > 0 || job.tasks.size > 0) return
    this.dequeue(job)
    this.jobs.delete(job.id)
  }

  // Readiness of queues

  private setReady (queue: ShapeQueue): void {
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

  private unblockReserveBlocked (): void {
    const team = this.reserveBlockedTeams.first()
    if (team === undefined) return
    for (const queue of [...team.reserveBlockedQueues]) {
      if (this.leavesUrgentReserve(queue.shape.booked)) this.unblock(queue)
    }
  }

  /** Unblocks some queues of every team after capacity became free on many targets; the others follow when these start tasks. */
  unblockAllTeams (): void {
    this.failedSearches.clear()
    for (const shape of this.blockedShapes) shape.searchFailed = false
    for (const queue of [...this.blockedUrgentQueues]) this.unblock(queue)
    for (const team of this.teams.byName.values()) {
      for (const queue of [...team.blockedQueues].slice(0, MAX_UNBLOCKED_QUEUES_PER_TEAM)) this.unblock(queue)
      for (const queue of [...team.reserveBlockedQueues]) this.unblock(queue)
    }
  }

  unblockGrantBlocked (team: TeamState): void {
    for (const queue of [...team.grantBlockedQueues]) this.unblock(queue)
  }

  // Booking

  /** Whether the amount fits in what is left of the team's grant. */
  fitsGrant (team: TeamState, amount: Resources): boolean {
    return fitsWithinLimit(amount, team.used, team.grant)
  }

  /** Whether the reserve for urgent work stays free when the amount is booked. */
  leavesUrgentReserve (amount: Resources): boolean {
    const { capacity, booked, targets } = this.fleet
    if (targets.size < this.options.minTargetsForReserve) return true
    const usable = 1 - this.profile.urgentReserveRatio
    return booked.cpuMillis + amount.cpuMillis <= capacity.cpuMillis * usable &&
      booked.memoryMiB + amount.memoryMiB <= capacity.memoryMiB * usable &&
      (amount.accelerators === 0 || booked.accelerators + amount.accelerators <= capacity.accelerators * usable) &&
      (amount.slots === 0 || booked.slots + amount.slots <= capacity.slots * usable) &&
      (amount.connections === 0 || booked.connections + amount.connections <= capacity.connections * usable)
  }

  bookTask (task: Task): void {
    task.target.tasks.add(task)
    this.tasks.set(task.id, task)
    task.job.tasks.set(task.index, task)
    this.fleet.book(task.target, task.booked, 1)
    this.chargeTeam(task, 1)
    this.setPreemptible(task, isPreemptible(task))
  }

  releaseTask (task: Task): void {
    this.setPreemptible(task, false)
    this.setStopping(task, false)
    if (task.state === 'claimed') this.setClaim(task, false)
    task.target.tasks.delete(task)
    this.tasks.delete(task.id)
    task.job.tasks.delete(task.index)
    this.fleet.book(task.target, task.booked, -1)
    this.chargeTeam(task, -1)
    this.fleet.removeIfEmpty(task.target)
  }

  /** Marks a booked task as a claim that waits for its capacity to become free, or removes the mark. */
  setClaim (task: Task, claimed: boolean): void {
    if (this.claims.has(task) === claimed) return
    if (claimed) this.claims.add(task)
    else this.claims.delete(task)
    addScaled(task.target.claimed, task.booked, claimed ? 1 : -1)
    addScaled(task.job.team.claimed, task.job.work.resources, claimed ? 1 : -1)
  }

  /** Adds the task to those for which a stop was sent, or removes it. */
  setStopping (task: Task, stopping: boolean): void {
    if (this.stoppingTasks.has(task) === stopping) return
    if (stopping) this.stoppingTasks.add(task)
    else this.stoppingTasks.delete(task)
    addScaled(task.job.team.stopping, task.job.work.resources, stopping ? 1 : -1)
  }

  /** Adds the booking of the task to the preemptible amount of its target, or subtracts it. */
  setPreemptible (task: Task, preemptible: boolean): void {
    if ((task.preemptible === true) === preemptible) return
    task.preemptible = preemptible
    this.fleet.changePreemptible(task.target, task.booked, preemptible ? 1 : -1)
  }

  /** Replaces the amount that a task books. */
  changeBooking (task: Task, amount: Resources): void {
    const { preemptible } = task
    this.setPreemptible(task, false)
    this.fleet.book(task.target, task.booked, -1)
    task.booked = amount
    this.fleet.book(task.target, amount, 1)
    this.setPreemptible(task, preemptible === true)
  }

  /** Charges the team for the declared size of the task, also where the booking on the target follows an estimate. */
  private chargeTeam ({ job: { team, work } }: Task, factor: 1 | -1): void {
    addScaled(team.used, work.resources, factor)
    this.teamsWithChangedDemand.add(team)
    this.updateShare(team)
  }

  /** Recalculates the share of a team, and its position in the team orders when a sort key has changed enough. */
  updateShare (team: TeamState): void {
    const { organisation } = team
    const share = computeDominantShare(team.used, this.fleet.capacity)
    organisation.share += share - team.share
    team.share = share
    const key = (share + team.pastExcess) / team.settings.weight
    const organisationKey = (organisation.share + organisation.pastExcess) / organisation.weight
    const moved = differs(key, team.orderKey) || differs(organisationKey, organisation.orderKey)
    if (!moved) return
    team.orderKey = key
    organisation.orderKey = organisationKey
    this.readyTeams.update(team)
    this.urgentReadyTeams.update(team)
    this.reserveBlockedTeams.update(team)
    this.blockedTeams.update(team)
  }
}

function differs (left: number, right: number): boolean {
  return Math.abs(left - right) > ORDER_TOLERANCE_RATIO * Math.max(Math.abs(left), Math.abs(right))
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
