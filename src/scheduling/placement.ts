import { formatTaskId } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { precedes } from './fair-order.ts'
import { hasFreeCapacity, type TargetSearch, type TargetState } from './fleet.ts'
import { recordDecision } from './decision-history.ts'
import { chooseTarget } from './packing.ts'
import { recordProbe, findTargetToProbe } from './quarantine.ts'
import { type ShapeQueue, WORK_CLASSES } from './queue.ts'
import { getWorkClass } from './shape.ts'
import { chooseSpreadTarget } from './spread.ts'
import { isPreemptible, type Job, addWaitingIndex, dequeueIndex, type Task } from './task.ts'
import type { TeamState } from './team.ts'
import { startGang } from './gang.ts'
import { preemptForUrgent, preemptWithinGrant } from './preemption.ts'

/** Cost of a search in units of the attempt budget; an attempt that fails because of the grant costs 1. */
const SEARCH_COST = 8
/** Cost of a search for tasks to preempt, which reads the tasks of several targets. */
const PREEMPTION_COST = 24
/** Time per task after which a gang is tried again: each attempt searches a target for each of its tasks. */
const GANG_RETRY_PER_TASK_MS = 2
/** Maximum number of queues of one class compared to find the oldest job. */
const MAX_QUEUES_COMPARED = 16

/**
 * Starts waiting work in the fair order until nothing more fits or the budget of `attempts` is used up.
 *
 * @example
 * placeWaitingTasks(state, 16)
 */
export function placeWaitingTasks (state: SchedulerState, attempts: number): void {
  let budget = attempts * SEARCH_COST
  while (budget > 0) {
    const queue = selectNextQueue(state)
    if (queue === undefined) return
    budget -= tryQueue(state, queue)
  }
}

function selectNextQueue (state: SchedulerState): ShapeQueue | undefined {
  const urgent = state.readiness.urgentReadyTeams.first()
  const team = state.readiness.readyTeams.first()
  if (urgent !== undefined && (team === undefined || urgentPrecedes(urgent, team))) return findOldestQueue(urgent, 'urgent')
  return team === undefined ? undefined : selectTeamQueue(team)
}

/** Urgent work comes first, unless its team is above its share: it would otherwise delay teams below theirs. */
function urgentPrecedes (urgent: TeamState, nonUrgent: TeamState): boolean {
  return urgent.share <= urgent.entitledShare || !precedes(nonUrgent, urgent)
}

function selectTeamQueue (team: TeamState): ShapeQueue | undefined {
  for (const workClass of WORK_CLASSES) {
    if (workClass !== 'urgent' && team.readyQueues[workClass].size > 0) return findOldestQueue(team, workClass)
  }
  return undefined
}

function findOldestQueue (team: TeamState, workClass: typeof WORK_CLASSES[number]): ShapeQueue | undefined {
  let oldest: ShapeQueue | undefined
  let compared = 0
  for (const queue of team.readyQueues[workClass]) {
    if (oldest === undefined || queue.head!.sequence < oldest.head!.sequence) oldest = queue
    compared += 1
    if (compared === MAX_QUEUES_COMPARED) break
  }
  return oldest
}

/** Tries the first job of the queue; returns the cost. */
function tryQueue (state: SchedulerState, queue: ShapeQueue): number {
  const job = queue.head!
  if (queue.workClass === 'gang') return tryGang(state, queue, job)
  const { booked } = queue.shape
  if (!state.fitsGrant(queue.team, queue.shape.declared)) {
    if (queue.workClass === 'urgent' && preemptWithinGrant(state, job)) return PREEMPTION_COST
    return blockQueue(state, queue, 'team-limit')
  }
  if (mustLeaveReserve(queue) && !state.leavesUrgentReserve(booked)) return blockQueue(state, queue, 'urgent-reserve')
  const { shape } = queue
  const canSearch = !shape.searchFailed && !state.readiness.failedSearches.wouldFail(booked)
  const target = canSearch ? searchTarget(state, job, booked) : consumeTargetHint(queue)
  if (target === undefined) {
    shape.searchFailed = true
    const cost = queue.workClass === 'urgent' ? PREEMPTION_COST : canSearch ? SEARCH_COST : 1
    if (queue.workClass !== 'urgent' || !preemptForUrgent(state, job)) state.readiness.block(queue, 'no-room')
    return cost
  }
  startNextTask(state, job, target)
  shape.lastStartAt = state.now
  if (canSearch) state.readiness.unblockNext(shape)
  else state.readiness.unblockForTarget(target)
  return SEARCH_COST
}

/** Removes and returns the target on which capacity became free for a shape that fits on no other target. */
function consumeTargetHint (queue: ShapeQueue): TargetState | undefined {
  const { targetHint, shape } = queue
  queue.targetHint = undefined
  return targetHint !== undefined && hasFreeCapacity(targetHint, shape.booked) ? targetHint : undefined
}

function searchTarget (state: SchedulerState, job: Job, booked: Resources): TargetState | undefined {
  const target = findTarget(state, job, booked)
  if (target === undefined) state.readiness.failedSearches.recordFailure(booked)
  return target
}

function tryGang (state: SchedulerState, queue: ShapeQueue, job: Job): number {
  const cost = SEARCH_COST * job.pendingCount
  if (!startGang(state, job)) {
    queue.retryAt = state.now + GANG_RETRY_PER_TASK_MS * job.pendingCount
    state.readiness.block(queue, 'gang-waiting')
  }
  return cost
}

function blockQueue (state: SchedulerState, queue: ShapeQueue, reason: 'team-limit' | 'urgent-reserve'): number {
  state.readiness.block(queue, reason)
  return 1
}

function mustLeaveReserve ({ workClass }: ShapeQueue): boolean {
  return workClass !== 'urgent'
}

/** Finds a target for one task of the job, or undefined when none has enough free capacity. */
export function findTarget (state: SchedulerState, job: Job, wanted: Resources): TargetState | undefined {
  const targetToProbe = findTargetToProbe(state, job, wanted)
  if (targetToProbe !== undefined) return targetToProbe
  if (job.work.kind === 'service') return chooseSpreadTarget(state, job, wanted)
  const search: TargetSearch = { wanted, maxPerDomain: state.options.candidatesPerDomain, startRatio: 0 }
  const candidates = state.fleet.search(search)
  const others = job.avoidedTarget === undefined ? candidates : candidates.filter((candidate) => candidate !== job.avoidedTarget)
  return chooseTarget(state, wanted, others.length > 0 ? others : candidates)
}

/** Books the next waiting task of the job on the target and starts it. */
export function startNextTask (state: SchedulerState, job: Job, target: TargetState): Task | undefined {
  const index = dequeueIndex(job)
  if (index === undefined) return undefined
  const task = bookTaskAtIndex(state, job, index, target)
  startTask(state, task)
  return task
}

/** Books a task whose index was removed from the waiting ones; does not send the start. */
export function bookTaskAtIndex (state: SchedulerState, job: Job, index: number, target: TargetState, booked = state.getOrCreateShape(job.work).booked): Task {
  const id = formatTaskId(job.id, index)
  const task: Task = {
    id,
    index,
    job,
    target,
    booked,
    state: 'claimed',
    startedAt: state.now,
    decisions: state.decisionHistory.getEarlierDecisions(id)
  }
  state.changeWaiting(job, -1)
  state.bookTask(task)
  if (job.pendingCount === 0) state.dequeue(job)
  return task
}

/** Starts a booked task: emits the start effect and records the decision. */
export function startTask (state: SchedulerState, task: Task): void {
  const { job, target } = task
  state.setClaim(task, false)
  task.state = 'starting'
  state.setPreemptible(task, isPreemptible(task))
  task.startedAt = state.now
  job.team.startsSinceUpdate += 1
  recordProbe(state, task)
  recordDecision(task, state.now, 'placed', `on ${target.id} in ${target.target.failureDomain}`)
  state.emit({ type: 'start', taskId: task.id, targetId: target.id })
  state.emitCount('started', getWorkClass(job.work))
}

/** Releases a booked task that was not started and adds its index to the waiting ones. */
export function cancelBooking (state: SchedulerState, task: Task): void {
  state.releaseTask(task)
  addWaitingIndex(task.job, task.index)
  state.changeWaiting(task.job, 1)
}
