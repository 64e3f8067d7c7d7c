import { fits, NO_RESOURCES, type Resources, scale, subtract } from '../model/resources.ts'
import { dominantShare, increase, lesser, noAmounts } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import { claimNext } from './claims.ts'
import type { StopCause } from './effect.ts'
import { PREEMPTION_ENTITLEMENT_MS, updateEntitlement } from './entitlement.ts'
import type { TargetState } from './fleet.ts'
import { record } from './decision-history.ts'
import { memberAmount } from './gang.ts'
import type { Job, Task } from './task.ts'
import type { TeamState } from './team.ts'
import { stopTask } from './work-events.ts'

/** Targets compared for the least loss, in each failure domain and in all. */
const TARGETS_COMPARED = 3
const MOST_TARGETS_COMPARED = 12
/** Searches for tasks that yield in one tick. */
const PREEMPTIONS_PER_TICK = 16
/** A checkpoint keeps the work done; saving and loading cost about this much run time. */
const CHECKPOINT_LOSS_MS = 2000
/** A service is missed by its users while it moves, so it yields only when little else can. */
const SERVICE_LOSS_MS = 600_000
/** An idempotent task that has not ended this long after it was asked for a checkpoint is stopped plainly. */
const CHECKPOINT_TIMEOUT_MS = 4000
/** A task that may not be stopped plainly is left to run when it has not ended after this time. */
const CHECKPOINT_GIVEN_UP_MS = 15_000
/** Shares are compared with this tolerance, far below one task in the largest group. */
const SHARE_TOLERANCE = 1e-6

/**
 * Makes room for the next urgent task of the job by preemption; false when no allowed set of tasks makes room.
 * A team above its entitled share takes room only from its own tasks and from teams above theirs.
 */
export function preemptForUrgent (cell: Cell, job: Job): boolean {
  updateEntitlement(cell, PREEMPTION_ENTITLEMENT_MS)
  const { team, queue } = job
  const wanted = queue!.shape.booked
  const inside = staysInside(cell, team, wanted)
  const allowed = ({ job: { team: victim } }: Task): boolean => inside || victim === team || isAbove(cell, victim)
  return preempt(cell, job, { allowed, cause: 'urgent-work' })
}

/** Makes room in the team's own grant for its next urgent task, by tasks of the team alone. */
export function preemptInsideGrant (cell: Cell, job: Job): boolean {
  const { team } = job
  return preempt(cell, job, { allowed: (victim) => victim.job.team === team, cause: 'urgent-work', grantFree: subtract(team.grant, team.used) })
}

/** Which tasks may yield, and why they do. */
export type Preemption = {
  readonly allowed: (victim: Task) => boolean
  readonly cause: StopCause
  /** What the grant still admits, when it is the grant that has no room. */
  readonly grantFree?: Resources
}

/** Whether the team is within its entitled share with the amount added. */
export function staysInside (cell: Cell, team: TeamState, amount: Resources): boolean {
  const after = noAmounts()
  increase(after, team.used, 1)
  increase(after, amount, 1)
  return dominantShare(after, cell.fleet.capacity) <= team.entitled + SHARE_TOLERANCE
}

/** Whether the team is above its entitled share, its tasks that have been asked to stop not counted. */
export function isAbove (cell: Cell, team: TeamState): boolean {
  return shareWithout(cell, team, NO_RESOURCES) > team.entitled + SHARE_TOLERANCE
}

function shareWithout (cell: Cell, team: TeamState, amount: Resources): number {
  const rest = noAmounts()
  increase(rest, team.used, 1)
  increase(rest, team.leaving, -1)
  increase(rest, amount, -1)
  return dominantShare(rest, cell.fleet.capacity)
}

/**
 * Whether the task may yield so that its team gives lent capacity back: batch work and gangs only, and only as far as
 * the team stays at its entitled share, so that two teams never take the same room from each other in turn.
 */
export function yieldsAboveShare (cell: Cell, { job: { team, work, tasks } }: Task): boolean {
  if (work.kind !== 'batch' && work.kind !== 'gang') return false
  const amount = work.kind === 'gang' ? scale(work.resources, tasks.size) : work.resources
  return shareWithout(cell, team, amount) >= team.entitled - SHARE_TOLERANCE
}

/** Which tasks may yield to a gang: for an urgent one inside its share any, else what is lent to teams above theirs. */
export function mayTakeForGang (cell: Cell, { team, work }: Job): Preemption {
  const inside = staysInside(cell, team, work.resources)
  if (work.urgent) return { allowed: ({ job }) => job.team !== team && (inside || isAbove(cell, job.team)), cause: 'urgent-work' }
  return { allowed: (task) => inside && task.job.team !== team && yieldsAboveShare(cell, task), cause: 'share-reclaimed' }
}

/** Claims the place where the least work is lost, and stops the tasks there that must yield. */
export function preempt (cell: Cell, job: Job, preemption: Preemption): boolean {
  const wanted = job.work.kind === 'gang' ? memberAmount(cell, job) : job.queue!.shape.booked
  const search = { wanted, perDomain: TARGETS_COMPARED, startPart: cell.random.next(), reclaiming: true }
  let best: Yield | undefined
  for (const target of cell.fleet.search(search).slice(0, MOST_TARGETS_COMPARED)) {
    const found = leastLoss(cell, target, wanted, preemption)
    if (found !== undefined && (best === undefined || found.loss < best.loss)) best = found
  }
  if (best === undefined) return false
  claimNext(cell, job, best.target, `${best.tasks.length} tasks yield`, wanted)
  for (const task of best.tasks) stopToYield(cell, task, preemption.cause)
  return true
}

type Yield = { readonly target: TargetState, readonly tasks: readonly Task[], readonly loss: number }

/** The tasks of one target whose end makes room with little loss: those with the least loss first, then without needless ones. */
function leastLoss (cell: Cell, target: TargetState, wanted: Resources, { allowed, grantFree }: Preemption): Yield | undefined {
  const candidates = [...target.tasks]
    .filter((task) => task.yielding === true && allowed(task))
    .map((task) => ({ task, loss: lossOf(cell, task) }))
    .sort((left, right) => left.loss - right.loss)
  const free = noAmounts()
  increase(free, grantFree === undefined ? target.free : lesser(target.free, grantFree), 1)
  const chosen: { readonly task: Task, readonly loss: number }[] = []
  for (const candidate of candidates) {
    if (fits(wanted, free)) break
    increase(free, candidate.task.booked, 1)
    chosen.push(candidate)
  }
  if (!fits(wanted, free)) return undefined
  const needed = chosen.reverse().filter(({ task }) => {
    if (!fits(wanted, subtract(free, task.booked))) return true
    increase(free, task.booked, -1)
    return false
  })
  return { target, tasks: needed.map(({ task }) => task), loss: needed.reduce((sum, { loss }) => sum + loss, 0) }
}

/** Run time lost, weighted by the size of the task; a gang loses the work of all its tasks. */
export function lossOf (cell: Cell, task: Task): number {
  const { work, tasks } = task.job
  const size = dominantShare(task.booked, task.target.target.capacity)
  switch (work.kind) {
    case 'batch': return size * CHECKPOINT_LOSS_MS
    case 'gang': return size * CHECKPOINT_LOSS_MS * tasks.size
    case 'request': return size * (cell.now - task.startedAt)
    case 'service': return size * SERVICE_LOSS_MS
  }
}

/** Stops a task that yields; the other tasks of a gang yield with it, because a gang runs whole. */
export function stopToYield (cell: Cell, task: Task, cause: StopCause): readonly Task[] {
  const { work, tasks } = task.job
  const stopped = work.kind === 'gang' ? [...tasks.values()] : [task]
  for (const member of stopped) stopOne(cell, member, cause)
  return stopped
}

/** A request is run again from its beginning; other work is asked to save its state. */
function stopOne (cell: Cell, task: Task, cause: StopCause): void {
  if (task.state === 'stopping') return
  stopTask(cell, task, task.job.work.kind === 'request' ? 'stop' : 'checkpoint', cause)
}

/** Stops idempotent tasks plainly that have not saved their state in time; others are left to run. */
export function escalateStops (cell: Cell): void {
  for (const task of cell.stopping) {
    const { stop, job } = task
    if (stop?.mode !== 'checkpoint') continue
    const passedMs = cell.now - stop.at
    if (job.work.idempotent && passedMs >= CHECKPOINT_TIMEOUT_MS) stopTask(cell, task, 'stop', stop.cause)
    else if (passedMs >= CHECKPOINT_GIVEN_UP_MS) leaveRunning(cell, task)
  }
}

/** The task counts as running again and is not asked a second time: its target cannot save its state. */
function leaveRunning (cell: Cell, task: Task): void {
  task.state = 'running'
  task.stop = undefined
  task.keepsRunning = true
  cell.setStopping(task, false)
  record(task, cell.now, 'left-running', 'no checkpoint was made in time')
  cell.count('left-running', task.job.work.kind)
}

/** Tries again to make room for urgent work that waits. */
export function preemptForWaiting (cell: Cell): void {
  let left = PREEMPTIONS_PER_TICK
  for (const queue of [...cell.urgentBlocked]) {
    while (left > 0 && queue.head !== undefined && queue.blockedBy === 'no-room') {
      left -= 1
      if (!cell.fitsGrant(queue.team, queue.shape.declared) || !preemptForUrgent(cell, queue.head)) break
    }
  }
}
