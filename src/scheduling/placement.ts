import { taskIdOf } from '../model/ids.ts'
import type { Resources } from '../model/resources.ts'
import type { Cell } from './scheduler-state.ts'
import { precedes } from './fair-order.ts'
import { hasRoom, type Search, type TargetState } from './fleet.ts'
import { record } from './decision-history.ts'
import { chooseTarget } from './packing.ts'
import { noteProbe, probeTarget } from './quarantine.ts'
import { type ShapeQueue, WORK_CLASSES } from './queue.ts'
import { classOf } from './shape.ts'
import { chooseSpread } from './spread.ts'
import { canYield, type Job, returnIndex, takeIndex, type Task } from './task.ts'
import type { TeamState } from './team.ts'
import { startGang } from './gang.ts'
import { preemptForUrgent, preemptInsideGrant } from './preemption.ts'

/** Cost of an attempt in units of the attempt budget: a search costs more than a refusal by the grant. */
const SEARCH_COST = 8
/** A search for tasks that yield reads the tasks of several targets. */
const PREEMPTION_COST = 24
/** A gang is tried again after a time that grows with its size, because each attempt searches for each of its tasks. */
const GANG_RETRY_MS_PER_TASK = 2
/** Queues of one class compared for the oldest job. */
const QUEUES_COMPARED = 16

/**
 * Starts waiting work in the fair order until nothing more fits or the budget of `attempts` is spent.
 *
 * @example
 * placeWaiting(cell, 16)
 */
export function placeWaiting (cell: Cell, attempts: number): void {
  let budget = attempts * SEARCH_COST
  while (budget > 0) {
    const queue = nextQueue(cell)
    if (queue === undefined) return
    budget -= tryQueue(cell, queue)
  }
}

function nextQueue (cell: Cell): ShapeQueue | undefined {
  const urgent = cell.urgentOrder.first()
  const team = cell.order.first()
  if (urgent !== undefined && (team === undefined || goesFirst(urgent, team))) return oldest(urgent, 'urgent')
  return team === undefined ? undefined : nextOfTeam(team)
}

/** Urgent work goes before other work, except that of a team above its share, which would else delay teams below theirs. */
function goesFirst (urgent: TeamState, ordinary: TeamState): boolean {
  return urgent.share <= urgent.entitled || !precedes(ordinary, urgent)
}

function nextOfTeam (team: TeamState): ShapeQueue | undefined {
  for (const workClass of WORK_CLASSES) {
    if (workClass !== 'urgent' && team.ready[workClass].size > 0) return oldest(team, workClass)
  }
  return undefined
}

function oldest (team: TeamState, workClass: typeof WORK_CLASSES[number]): ShapeQueue | undefined {
  let best: ShapeQueue | undefined
  let compared = 0
  for (const queue of team.ready[workClass]) {
    if (best === undefined || queue.head!.order < best.head!.order) best = queue
    compared += 1
    if (compared === QUEUES_COMPARED) break
  }
  return best
}

/** Tries the first job of the queue; returns the cost. */
function tryQueue (cell: Cell, queue: ShapeQueue): number {
  const job = queue.head!
  if (queue.workClass === 'gang') return tryGang(cell, queue, job)
  const { booked } = queue.shape
  if (!cell.fitsGrant(queue.team, queue.shape.declared)) {
    if (queue.workClass === 'urgent' && preemptInsideGrant(cell, job)) return PREEMPTION_COST
    return blocked(cell, queue, 'team-limit')
  }
  if (usesNoReserve(queue) && !cell.fitsReserve(booked)) return blocked(cell, queue, 'urgent-reserve')
  const { shape } = queue
  const searched = !shape.closed && !cell.noRoom.covers(booked)
  const target = searched ? search(cell, job, booked) : hintedTarget(queue)
  if (target === undefined) {
    shape.closed = true
    const cost = queue.workClass === 'urgent' ? PREEMPTION_COST : searched ? SEARCH_COST : 1
    if (queue.workClass !== 'urgent' || !preemptForUrgent(cell, job)) cell.block(queue, 'no-room')
    return cost
  }
  startNext(cell, job, target)
  shape.startedAt = cell.now
  if (searched) cell.wakeNext(shape)
  else cell.wakeForTarget(target)
  return SEARCH_COST
}

/** The target that has freed room for a shape for which no other has room. */
function hintedTarget (queue: ShapeQueue): TargetState | undefined {
  const { hint, shape } = queue
  queue.hint = undefined
  return hint !== undefined && hasRoom(hint, shape.booked) ? hint : undefined
}

function search (cell: Cell, job: Job, booked: Resources): TargetState | undefined {
  const target = findTarget(cell, job, booked)
  if (target === undefined) cell.noRoom.note(booked)
  return target
}

function tryGang (cell: Cell, queue: ShapeQueue, job: Job): number {
  const cost = SEARCH_COST * job.pending
  if (!startGang(cell, job)) {
    queue.retryAt = cell.now + GANG_RETRY_MS_PER_TASK * job.pending
    cell.block(queue, 'gang-waiting')
  }
  return cost
}

function blocked (cell: Cell, queue: ShapeQueue, reason: 'team-limit' | 'urgent-reserve'): number {
  cell.block(queue, reason)
  return 1
}

function usesNoReserve ({ workClass }: ShapeQueue): boolean {
  return workClass !== 'urgent'
}

/** A target for one task of the job, or undefined when none has room. */
export function findTarget (cell: Cell, job: Job, wanted: Resources): TargetState | undefined {
  const probed = probeTarget(cell, job, wanted)
  if (probed !== undefined) return probed
  if (job.work.kind === 'service') return chooseSpread(cell, job, wanted)
  const search: Search = { wanted, perDomain: cell.options.candidates, startPart: 0 }
  const candidates = cell.fleet.search(search)
  const others = job.avoided === undefined ? candidates : candidates.filter((candidate) => candidate !== job.avoided)
  return chooseTarget(cell, wanted, others.length > 0 ? others : candidates)
}

/** Books the next waiting task of the job on the target and starts it. */
export function startNext (cell: Cell, job: Job, target: TargetState): Task | undefined {
  const index = takeIndex(job)
  if (index === undefined) return undefined
  const task = bookIndex(cell, job, index, target)
  sendStart(cell, task)
  return task
}

/** Books a task whose index has been taken from the waiting ones; the start is not sent yet. */
export function bookIndex (cell: Cell, job: Job, index: number, target: TargetState, booked = cell.shapeOf(job.work).booked): Task {
  const id = taskIdOf(job.id, index)
  const task: Task = {
    id,
    index,
    job,
    target,
    booked,
    state: 'claimed',
    startedAt: cell.now,
    decisions: cell.journal.earlier(id)
  }
  cell.changeWaiting(job, -1)
  cell.bookTask(task)
  if (job.pending === 0) cell.dequeue(job)
  return task
}

/** Sends the start of a booked task. */
export function sendStart (cell: Cell, task: Task): void {
  const { job, target } = task
  cell.setClaim(task, false)
  task.state = 'starting'
  cell.setYielding(task, canYield(task))
  task.startedAt = cell.now
  job.team.startsThisSecond += 1
  noteProbe(cell, task)
  record(task, cell.now, 'placed', `on ${target.id} in ${target.target.failureDomain}`)
  cell.emit({ type: 'start', taskId: task.id, targetId: target.id })
  cell.count('started', classOf(job.work))
}

/** Puts a booked task that has not been started back among the waiting ones. */
export function unbook (cell: Cell, task: Task): void {
  cell.releaseTask(task)
  returnIndex(task.job, task.index)
  cell.changeWaiting(task.job, 1)
}
