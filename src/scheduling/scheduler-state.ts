import type { Organisation, Profile, Team } from '../model/configuration.ts'
import type { TaskId, WorkId } from '../model/ids.ts'
import { fits, type Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import { KeyedHeap } from '../util/keyed-heap.ts'
import { Random } from '../util/random.ts'
import { dominantShare, fitsBeside, increase } from './mutable-resources.ts'
import type { SchedulerEffect } from './effect.ts'
import { FairOrder } from './fair-order.ts'
import { Fleet, takesWork, type TargetState } from './fleet.ts'
import { latestStart } from './deadlines.ts'
import type { Estimate } from './estimates.ts'
import type { Family } from './family.ts'
import { Journal } from './decision-history.ts'
import { profileSettings, type ProfileSettings, type SchedulerOptions } from './options.ts'
import type { Hold } from './evacuation.ts'
import { NoRoom } from './failed-searches.ts'
import { type BlockReason, fairestQueue, type Shape, ShapeQueue, type WorkClass } from './queue.ts'
import type { Quarantine } from './quarantine.ts'
import type { Reservation } from './gang-reservation.ts'
import { Retries } from './retries.ts'
import { classOf, createShape, shapeKey } from './shape.ts'
import { canYield, type Job, type Task } from './task.ts'
import { Teams, type TeamState } from './team.ts'

/** Relative change of a share at which the orders follow it; smaller changes would cost more than they order. */
const ORDER_TOLERANCE = 0.01
/** Blocked shapes or queues that are compared with the room of one target. */
const ITEMS_READ = 256
/** Blocked queues of each team that try again when room appeared in many places. */
const QUEUES_WOKEN = 8

/** The whole state of one group's scheduler with the operations that keep its totals and indexes consistent. */
export class Cell {
  now = 0
  /** When the entitled shares were calculated last. */
  entitledAt = Number.NEGATIVE_INFINITY
  /** When the rates of starts were averaged last. */
  ratesAt = 0
  effects: SchedulerEffect[] = []
  profile: ProfileSettings
  readonly fleet = Fleet.create()
  readonly teams = Teams.create()
  readonly jobs = new Map<WorkId, Job>()
  readonly tasks = new Map<TaskId, Task>()
  readonly shapes = new Map<string, Shape>()
  /** Shapes with queues that wait for room. */
  readonly blockedShapes = new Set<Shape>()
  /** Teams with queues to try. */
  readonly order = FairOrder.create()
  readonly urgentOrder = FairOrder.create()
  /** Teams with queues, other than urgent ones, that wait for room. */
  readonly blockedOrder = FairOrder.create()
  /** Amounts for which a search has found no room. */
  readonly noRoom = NoRoom.create()
  /** Teams with queues that wait until what is free exceeds the urgent reserve. */
  readonly reserveOrder = FairOrder.create()
  /** Queues whose first gang waits to be whole. */
  readonly gangQueues = new Set<ShapeQueue>()
  readonly waiting: Record<WorkClass, number> = { urgent: 0, request: 0, service: 0, gang: 0, batch: 0 }
  /** Urgent queues that wait for room. */
  readonly urgentBlocked = new Set<ShapeQueue>()
  /** Tasks that hold booked room and wait until it is free. */
  /** Waiting requests by the latest time at which a start is of use. */
  readonly deadlines = KeyedHeap.create<Job>()
  readonly families = new Map<string, Family>()
  readonly estimates = new Map<string, Estimate>()
  readonly retries = Retries.create()
  readonly quarantine = new Map<TargetState, Quarantine>()
  readonly claims = new Set<Task>()
  /** Tasks that have been asked to stop. */
  readonly stopping = new Set<Task>()
  reservation: Reservation | undefined
  /** Team for which lent capacity was reclaimed last. */
  reclaimedFor: TeamState | undefined
  /** Targets that their tasks should leave, with the time since when. */
  readonly emptying = new Map<TargetState, number>()
  /** Room held for tasks that move. */
  readonly holds = new Map<TaskId, Hold>()
  readonly changedDemand = new Set<TeamState>()
  readonly journal = Journal.create()
  readonly random: Random
  private nextOrder = 0

  private constructor (readonly options: SchedulerOptions) {
    this.random = Random.create(options.seed)
    this.profile = profileSettings('packing')
  }

  static create (options: SchedulerOptions): Cell {
    return new Cell(options)
  }

  setProfile (profile: Profile): void {
    this.profile = profileSettings(profile.weighs)
  }

  /** Replaces organisations and teams; the queues of a team that changes its organisation move with it. */
  configure (organisations: readonly Organisation[], teams: readonly Team[]): void {
    const moved = teams.map(({ name, organisation }) => ({ team: this.teams.teams.get(name), organisation }))
      .flatMap(({ team, organisation }) => team !== undefined && team.organisation.name !== organisation ? [team] : [])
    const queues = moved.flatMap((team) => [...team.queues.values()])
    for (const queue of queues) {
      this.clearBlock(queue)
      this.setNotReady(queue)
    }
    this.teams.configure(organisations, teams)
    for (const team of this.teams.teams.values()) this.updateShare(team)
    for (const queue of queues) this.setReady(queue)
  }

  emit (effect: SchedulerEffect): void {
    this.effects.push(effect)
  }

  count (counter: string, reason: string): void {
    this.effects.push({ type: 'count', counter, reason })
  }

  // Jobs and waiting tasks

  addJob (work: Work, team: TeamState): Job {
    const job: Job = {
      id: work.id,
      work,
      team,
      submitted: false,
      fresh: 0,
      upTo: 0,
      skipped: undefined,
      returned: [],
      pending: 0,
      delayed: new Set(),
      started: false,
      avoided: undefined,
      tasks: new Map(),
      failures: undefined,
      queuedAt: this.now,
      reservations: 0,
      order: this.nextOrder,
      queue: undefined,
      previous: undefined,
      next: undefined,
      cancelled: false
    }
    this.nextOrder += 1
    this.jobs.set(work.id, job)
    return job
  }

  /** Changes the number of waiting tasks of the job in all totals. */
  changeWaiting (job: Job, tasks: number): void {
    const workClass = classOf(job.work)
    job.team.waiting[workClass] += tasks
    this.waiting[workClass] += tasks
    increase(job.team.wanted, job.work.resources, tasks)
    this.changedDemand.add(job.team)
  }

  /** Puts a job with waiting tasks into its queue; `first` puts it before the others of the queue. */
  enqueue (job: Job, first = false): void {
    if (job.queue !== undefined || job.pending === 0) return
    const queue = this.queueFor(job)
    if (first) queue.prepend(job)
    else queue.append(job)
    if (queue.blockedBy === undefined) this.setReady(queue)
    const latest = latestStart(this, job.work)
    if (latest !== undefined) this.deadlines.set(job, latest)
  }

  private queueFor (job: Job): ShapeQueue {
    const workClass = classOf(job.work)
    const shape = this.shapeOf(job.work)
    const key = `${workClass} ${shape.key}`
    const known = job.team.queues.get(key)
    if (known !== undefined) return known
    const queue = ShapeQueue.create(job.team, workClass, shape)
    shape.users += 1
    job.team.queues.set(key, queue)
    return queue
  }

  shapeOf (work: Work): Shape {
    const key = shapeKey(work)
    const known = this.shapes.get(key)
    if (known !== undefined) return known
    const shape = createShape(key, work, this.estimates.get(key)?.booked ?? work.resources, this.now)
    this.shapes.set(key, shape)
    return shape
  }

  /** Takes the job out of its queue, and the queue out of its team when it was the last. */
  dequeue (job: Job): void {
    const { queue } = job
    if (queue === undefined) return
    this.deadlines.delete(job)
    queue.remove(job)
    if (queue.empty) this.dropQueue(queue)
  }

  private dropQueue (queue: ShapeQueue): void {
    this.clearBlock(queue)
    this.setNotReady(queue)
    const { shape, team, workClass } = queue
    team.queues.delete(`${workClass} ${shape.key}`)
    shape.users -= 1
    if (shape.users === 0) this.shapes.delete(shape.key)
  }

  dropJobWhenEnded (job: Job): void {
    if (job.pending > 0 || job.delayed.size > 0 || job.tasks.size > 0) return
    this.dequeue(job)
    this.jobs.delete(job.id)
  }

  // Readiness of queues

  private setReady (queue: ShapeQueue): void {
    const { team, workClass } = queue
    team.ready[workClass].add(queue)
    this.orderFor(workClass).add(team)
  }

  private setNotReady (queue: ShapeQueue): void {
    const { team, workClass } = queue
    if (!team.ready[workClass].delete(queue)) return
    if (workClass === 'urgent') {
      if (team.ready.urgent.size === 0) this.urgentOrder.delete(team)
    } else if (!hasOrdinaryReady(team)) {
      this.order.delete(team)
    }
  }

  private orderFor (workClass: WorkClass): FairOrder {
    return workClass === 'urgent' ? this.urgentOrder : this.order
  }

  /** Stops trying the queue until what blocks it changes. */
  block (queue: ShapeQueue, reason: BlockReason): void {
    this.setNotReady(queue)
    queue.blockedBy = reason
    switch (reason) {
      case 'no-room': return this.blockForRoom(queue)
      case 'team-limit': queue.team.limited.add(queue); return
      case 'urgent-reserve': queue.team.reserveBlocked.add(queue); this.reserveOrder.add(queue.team); return
      case 'gang-waiting': this.gangQueues.add(queue)
    }
  }

  private blockForRoom (queue: ShapeQueue): void {
    const { team, shape, workClass } = queue
    shape.blocked.add(queue)
    this.blockedShapes.add(shape)
    if (workClass === 'urgent') {
      this.urgentBlocked.add(queue)
    } else {
      team.blocked.add(queue)
      this.blockedOrder.add(team)
    }
  }

  private clearBlock (queue: ShapeQueue): void {
    const { team, shape } = queue
    queue.blockedBy = undefined
    if (shape.blocked.delete(queue) && shape.blocked.size === 0) this.blockedShapes.delete(shape)
    if (team.blocked.delete(queue) && team.blocked.size === 0) this.blockedOrder.delete(team)
    if (team.reserveBlocked.delete(queue) && team.reserveBlocked.size === 0) this.reserveOrder.delete(team)
    this.urgentBlocked.delete(queue)
    team.limited.delete(queue)
    this.gangQueues.delete(queue)
  }

  unblock (queue: ShapeQueue): void {
    if (queue.blockedBy === undefined) return
    this.clearBlock(queue)
    if (!queue.empty) this.setReady(queue)
  }

  /** Lets a queue try again for which the target now has room: an urgent one, else of the team furthest below its share. */
  wakeForTarget (target: TargetState): void {
    this.noRoom.noteFreed(target.free)
    if (!takesWork(target)) return
    const queue = this.nextForTarget(target)
    if (queue !== undefined) {
      queue.hint = target
      this.unblock(queue)
    }
    this.wakeReserve()
  }

  private nextForTarget (target: TargetState): ShapeQueue | undefined {
    const shape = firstFitting(this.blockedShapes, (each) => each, target)
    if (shape === undefined) return undefined
    const urgent = firstFitting(this.urgentBlocked, (queue) => queue.shape, target)
    if (urgent !== undefined && urgent.team.share <= urgent.team.entitled) return urgent
    return this.nextAccelerated(target) ??
      this.blockedOrder.find((team) => firstFitting(team.blocked, (queue) => queue.shape, target)) ??
      urgent ??
      fairestQueue(shape)
  }

  /** Free accelerators go to work that needs them first; other work could strand them by taking the rest of the target. */
  private nextAccelerated (target: TargetState): ShapeQueue | undefined {
    if (target.free.accelerators === 0) return undefined
    return this.blockedOrder.find((team) => firstFitting(team.blocked, ({ shape }) => shape, target, ({ booked }) => booked.accelerators > 0))
  }

  /** Searches for room for the shape again, with the queue that is next for it. */
  reopen (shape: Shape): void {
    shape.closed = false
    this.noRoom.clear()
    this.wakeNext(shape)
  }

  /** Lets the next queue try the shape again, after a start of the shape succeeded. */
  wakeNext (shape: Shape): void {
    const queue = fairestQueue(shape)
    if (queue !== undefined) this.unblock(queue)
  }

  private wakeReserve (): void {
    const team = this.reserveOrder.first()
    if (team === undefined) return
    for (const queue of [...team.reserveBlocked]) {
      if (this.fitsReserve(queue.shape.booked)) this.unblock(queue)
    }
  }

  /** Lets queues of all teams try again, after room appeared in many places; the others follow as these succeed. */
  wakeAll (): void {
    this.noRoom.clear()
    for (const shape of this.blockedShapes) shape.closed = false
    for (const queue of [...this.urgentBlocked]) this.unblock(queue)
    for (const team of this.teams.teams.values()) {
      for (const queue of [...team.blocked].slice(0, QUEUES_WOKEN)) this.unblock(queue)
      for (const queue of [...team.reserveBlocked]) this.unblock(queue)
    }
  }

  wakeLimited (team: TeamState): void {
    for (const queue of [...team.limited]) this.unblock(queue)
  }

  // Booking

  /** Whether the team's grant has room for the amount. */
  fitsGrant (team: TeamState, amount: Resources): boolean {
    return fitsBeside(amount, team.used, team.grant)
  }

  /** Whether the amount leaves the reserve for urgent work free. */
  fitsReserve (amount: Resources): boolean {
    const { capacity, booked, targets } = this.fleet
    if (targets.size < this.options.reserveFromTargets) return true
    const usable = 1 - this.profile.urgentReserve
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
    this.charge(task, 1)
    this.setYielding(task, canYield(task))
  }

  releaseTask (task: Task): void {
    this.setYielding(task, false)
    this.setStopping(task, false)
    if (task.state === 'claimed') this.setClaim(task, false)
    task.target.tasks.delete(task)
    this.tasks.delete(task.id)
    task.job.tasks.delete(task.index)
    this.fleet.book(task.target, task.booked, -1)
    this.charge(task, -1)
    this.fleet.dropWhenEmpty(task.target)
  }

  /** Marks a booked task as a claim that waits for its room, or as no claim any more. */
  setClaim (task: Task, claimed: boolean): void {
    if (this.claims.has(task) === claimed) return
    if (claimed) this.claims.add(task)
    else this.claims.delete(task)
    increase(task.target.claimed, task.booked, claimed ? 1 : -1)
    increase(task.job.team.claimed, task.job.work.resources, claimed ? 1 : -1)
  }

  /** Counts the task among those that have been asked to stop, or no more. */
  setStopping (task: Task, stopping: boolean): void {
    if (this.stopping.has(task) === stopping) return
    if (stopping) this.stopping.add(task)
    else this.stopping.delete(task)
    increase(task.job.team.leaving, task.job.work.resources, stopping ? 1 : -1)
  }

  /** Counts the task among what can be made to yield, or no more. */
  setYielding (task: Task, yielding: boolean): void {
    if ((task.yielding === true) === yielding) return
    task.yielding = yielding
    this.fleet.changeYielding(task.target, task.booked, yielding ? 1 : -1)
  }

  /** Changes the amount that a task books. */
  rebook (task: Task, amount: Resources): void {
    const { yielding } = task
    this.setYielding(task, false)
    this.fleet.book(task.target, task.booked, -1)
    task.booked = amount
    this.fleet.book(task.target, amount, 1)
    this.setYielding(task, yielding === true)
  }

  /** A team is charged what its work declares, whatever an estimate books on the target. */
  private charge ({ job: { team, work } }: Task, factor: 1 | -1): void {
    increase(team.used, work.resources, factor)
    this.changedDemand.add(team)
    this.updateShare(team)
  }

  /** Recalculates the share of a team, and its place in the orders when the share has moved enough. */
  updateShare (team: TeamState): void {
    const { organisation } = team
    const share = dominantShare(team.used, this.fleet.capacity)
    organisation.share += share - team.share
    team.share = share
    const key = (share + team.memory) / team.settings.weight
    const organisationKey = (organisation.share + organisation.memory) / organisation.weight
    const moved = differs(key, team.orderKey) || differs(organisationKey, organisation.orderKey)
    if (!moved) return
    team.orderKey = key
    organisation.orderKey = organisationKey
    this.order.update(team)
    this.urgentOrder.update(team)
    this.reserveOrder.update(team)
    this.blockedOrder.update(team)
  }
}

function differs (left: number, right: number): boolean {
  return Math.abs(left - right) > ORDER_TOLERANCE * Math.max(Math.abs(left), Math.abs(right))
}

/** The first of the items whose shape the target has room for; a bounded number is read. */
function firstFitting<Item> (items: Iterable<Item>, shapeOf: (item: Item) => Shape, { free }: TargetState, suits: (shape: Shape) => boolean = () => true): Item | undefined {
  let read = 0
  for (const item of items) {
    const shape = shapeOf(item)
    if (suits(shape) && fits(shape.booked, free)) return item
    read += 1
    if (read === ITEMS_READ) return undefined
  }
  return undefined
}

function hasOrdinaryReady (team: TeamState): boolean {
  const { request, service, gang, batch } = team.ready
  return request.size + service.size + gang.size + batch.size > 0
}
