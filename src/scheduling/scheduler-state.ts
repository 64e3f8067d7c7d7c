import type { Organisation, Profile, Team } from '../model/configuration.ts'
import type { TaskId, WorkId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import type { Work } from '../model/work.ts'
import { KeyedHeap } from '../util/keyed-heap.ts'
import { Random } from '../util/random.ts'
import { computeDominantShare, fitsWithinLimit, addScaled } from './mutable-resources.ts'
import type { SchedulerEffect } from './effect.ts'
import { Fleet, type TargetState } from './fleet.ts'
import { getLatestStartTime } from './deadlines.ts'
import type { Estimate } from './estimates.ts'
import type { Family } from './family.ts'
import { DecisionHistory } from './decision-history.ts'
import { getProfileSettings, type ProfileSettings, type SchedulerOptions } from './options.ts'
import type { MoveReservation } from './evacuation.ts'
import { type Shape, ShapeQueue, type WorkClass } from './queue.ts'
import { QueueReadiness } from './queue-readiness.ts'
import type { Quarantine } from './quarantine.ts'
import type { GangReservation } from './gang-reservation.ts'
import { Retries } from './retries.ts'
import { getWorkClass, createShape, formatShapeKey } from './shape.ts'
import { isPreemptible, type Job, type Task } from './task.ts'
import { Teams, type TeamState } from './team.ts'

/** Relative change of a sort key from which the team orders are updated; updating for smaller changes costs more than it gains. */
const ORDER_TOLERANCE_RATIO = 0.01

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
  /** Which queues can be tried, and what the others wait for. */
  readonly readiness = QueueReadiness.create({
    leavesUrgentReserve: (amount) => this.leavesUrgentReserve(amount),
    getTeams: () => this.teams.byName.values()
  })

  /** Number of waiting tasks of each class. */
  readonly waitingByClass: Record<WorkClass, number> = { urgent: 0, request: 0, service: 0, gang: 0, batch: 0 }
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
    for (const queue of queues) this.readiness.remove(queue)
    this.teams.configure(organisations, teams)
    for (const team of this.teams.byName.values()) this.updateShare(team)
    for (const queue of queues) this.readiness.setReady(queue)
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
    if (queue.blockedBy === undefined) this.readiness.setReady(queue)
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
    this.readiness.remove(queue)
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
    this.readiness.updateOrder(team)
  }
}

function differs (left: number, right: number): boolean {
  return Math.abs(left - right) > ORDER_TOLERANCE_RATIO * Math.max(Math.abs(left), Math.abs(right))
}
