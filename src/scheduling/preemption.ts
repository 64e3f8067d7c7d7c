import { fits, NO_RESOURCES, type Resources, scale, subtract } from '../model/resources.ts'
import { computeDominantShare, addScaled, minResources, createZeroResources } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { claimNextTask } from './claims.ts'
import type { StopCause } from './effect.ts'
import { MAX_PREEMPTION_ENTITLEMENT_AGE_MS, updateEntitledShares } from './entitlement.ts'
import type { TargetState } from './fleet.ts'
import { recordDecision } from './decision-history.ts'
import { getGangTaskAmount } from './gang.ts'
import type { Job, Task } from './task.ts'
import type { TeamState } from './team.ts'
import { stopTask } from './work-events.ts'

/** Maximum number of targets compared for the least loss, in each failure domain and in total. */
const TARGETS_COMPARED_PER_DOMAIN = 3
const MAX_TARGETS_COMPARED = 12
/** Maximum number of searches for tasks to preempt in one tick. */
const MAX_PREEMPTIONS_PER_TICK = 16
/** Run time lost by a checkpoint: the work done is kept, but saving and loading take about this long. */
const CHECKPOINT_LOSS_MS = 2000
/** Loss assumed for a service: it is unavailable while it moves, so it is preempted only when there are few alternatives. */
const SERVICE_LOSS_MS = 600_000
/** An idempotent task that has not ended this long after a checkpoint was requested is stopped without one. */
const CHECKPOINT_TIMEOUT_MS = 4000
/** A task that may not be stopped without a checkpoint keeps running when it has not ended after this time. */
const CHECKPOINT_ABANDON_MS = 15_000
/** Tolerance for comparing shares, far below the share of one task in the largest group. */
const SHARE_TOLERANCE = 1e-6

/**
 * Claims capacity for the next urgent task of the job by preemption; false when no allowed set of tasks frees enough.
 * For a team above its entitled share, only its own tasks and those of teams above their shares may be preempted.
 */
export function preemptForUrgent (state: SchedulerState, job: Job): boolean {
  updateEntitledShares(state, MAX_PREEMPTION_ENTITLEMENT_AGE_MS)
  const { team, queue } = job
  const wanted = queue!.shape.booked
  const withinShare = isWithinShare(state, team, wanted)
  const isAllowed = ({ job: { team: victim } }: Task): boolean => withinShare || victim === team || isAboveShare(state, victim)
  return claimByPreemption(state, job, { isAllowed, cause: 'urgent-work' })
}

/** Frees a part of the team's grant for its next urgent task; only tasks of the same team are preempted. */
export function preemptWithinGrant (state: SchedulerState, job: Job): boolean {
  const { team } = job
  return claimByPreemption(state, job, { isAllowed: (victim) => victim.job.team === team, cause: 'urgent-work', freeGrant: subtract(team.grant, team.used) })
}

/** Which tasks may be preempted, and the cause that is reported for them. */
export type PreemptionRule = {
  readonly isAllowed: (victim: Task) => boolean
  readonly cause: StopCause
  /** What is left of the team's grant; set when the task does not fit in the grant. */
  readonly freeGrant?: Resources
}

/** Whether the team stays within its entitled share when it uses the amount in addition. */
export function isWithinShare (state: SchedulerState, team: TeamState, amount: Resources): boolean {
  const after = createZeroResources()
  addScaled(after, team.used, 1)
  addScaled(after, amount, 1)
  return computeDominantShare(after, state.fleet.capacity) <= team.entitledShare + SHARE_TOLERANCE
}

/** Whether the team is above its entitled share; tasks for which a stop was sent are not counted. */
export function isAboveShare (state: SchedulerState, team: TeamState): boolean {
  return computeShareWithout(state, team, NO_RESOURCES) > team.entitledShare + SHARE_TOLERANCE
}

function computeShareWithout (state: SchedulerState, team: TeamState, amount: Resources): number {
  const rest = createZeroResources()
  addScaled(rest, team.used, 1)
  addScaled(rest, team.stopping, -1)
  addScaled(rest, amount, -1)
  return computeDominantShare(rest, state.fleet.capacity)
}

/**
 * Whether the task may be preempted to reclaim lent capacity: only batch work and gangs, and only if its team still has
 * its entitled share afterwards, so that two teams never preempt each other's tasks in turn.
 */
export function isReclaimable (state: SchedulerState, { job: { team, work, tasks } }: Task): boolean {
  if (work.kind !== 'batch' && work.kind !== 'gang') return false
  const amount = work.kind === 'gang' ? scale(work.resources, tasks.size) : work.resources
  return computeShareWithout(state, team, amount) >= team.entitledShare - SHARE_TOLERANCE
}

/**
 * Returns which tasks may be preempted for a gang. An urgent gang whose team is within its share may preempt any task of
 * other teams, other gangs only tasks that use lent capacity.
 */
export function getGangPreemptionRule (state: SchedulerState, { team, work }: Job): PreemptionRule {
  const withinShare = isWithinShare(state, team, work.resources)
  if (work.urgent) return { isAllowed: ({ job }) => job.team !== team && (withinShare || isAboveShare(state, job.team)), cause: 'urgent-work' }
  return { isAllowed: (task) => withinShare && task.job.team !== team && isReclaimable(state, task), cause: 'share-reclaimed' }
}

/** Claims the target on which the least work is lost, and preempts the tasks there that must end for it. */
export function claimByPreemption (state: SchedulerState, job: Job, rule: PreemptionRule): boolean {
  const wanted = job.work.kind === 'gang' ? getGangTaskAmount(state, job) : job.queue!.shape.booked
  const search = { wanted, maxPerDomain: TARGETS_COMPARED_PER_DOMAIN, startRatio: state.random.next(), includeReclaimable: true }
  let best: PreemptionPlan | undefined
  for (const target of state.fleet.search(search).slice(0, MAX_TARGETS_COMPARED)) {
    const plan = findLeastLoss(state, target, wanted, rule)
    if (plan !== undefined && (best === undefined || plan.loss < best.loss)) best = plan
  }
  if (best === undefined) return false
  claimNextTask(state, job, best.target, `${best.tasks.length} tasks are preempted`, wanted)
  for (const task of best.tasks) preemptTask(state, task, rule.cause)
  return true
}

/** Tasks of a target whose preemption frees enough capacity, with the run time lost. */
type PreemptionPlan = { readonly target: TargetState, readonly tasks: readonly Task[], readonly loss: number }

/** Selects tasks of one target that free enough capacity with little loss: adds those with the least loss first, then removes unneeded ones. */
function findLeastLoss (state: SchedulerState, target: TargetState, wanted: Resources, { isAllowed, freeGrant }: PreemptionRule): PreemptionPlan | undefined {
  const candidates = [...target.tasks]
    .filter((task) => task.preemptible === true && isAllowed(task))
    .map((task) => ({ task, loss: estimateLossMs(state, task) }))
    .sort((left, right) => left.loss - right.loss)
  const free = createZeroResources()
  addScaled(free, freeGrant === undefined ? target.free : minResources(target.free, freeGrant), 1)
  const chosen: { readonly task: Task, readonly loss: number }[] = []
  for (const candidate of candidates) {
    if (fits(wanted, free)) break
    addScaled(free, candidate.task.booked, 1)
    chosen.push(candidate)
  }
  if (!fits(wanted, free)) return undefined
  const needed = chosen.reverse().filter(({ task }) => {
    if (!fits(wanted, subtract(free, task.booked))) return true
    addScaled(free, task.booked, -1)
    return false
  })
  return { target, tasks: needed.map(({ task }) => task), loss: needed.reduce((sum, { loss }) => sum + loss, 0) }
}

/** Estimates the run time lost, weighted by the size of the task; for a gang it includes the work of all its tasks. */
export function estimateLossMs (state: SchedulerState, task: Task): number {
  const { work, tasks } = task.job
  const size = computeDominantShare(task.booked, task.target.target.capacity)
  switch (work.kind) {
    case 'batch': return size * CHECKPOINT_LOSS_MS
    case 'gang': return size * CHECKPOINT_LOSS_MS * tasks.size
    case 'request': return size * (state.now - task.startedAt)
    case 'service': return size * SERVICE_LOSS_MS
  }
}

/** Preempts a task; the other tasks of a gang are preempted with it, because a gang only runs with all its tasks. */
export function preemptTask (state: SchedulerState, task: Task, cause: StopCause): readonly Task[] {
  const { work, tasks } = task.job
  const stopped = work.kind === 'gang' ? [...tasks.values()] : [task]
  for (const member of stopped) stopForPreemption(state, member, cause)
  return stopped
}

/** Stops a request, which will run again from its beginning; requests a checkpoint of other work. */
function stopForPreemption (state: SchedulerState, task: Task, cause: StopCause): void {
  if (task.state === 'stopping') return
  stopTask(state, task, task.job.work.kind === 'request' ? 'stop' : 'checkpoint', cause)
}

/** Stops idempotent tasks that made no checkpoint in time; lets others keep running. */
export function escalateStops (state: SchedulerState): void {
  for (const task of state.stoppingTasks) {
    const { stop, job } = task
    if (stop?.mode !== 'checkpoint') continue
    const elapsedMs = state.now - stop.at
    if (job.work.idempotent && elapsedMs >= CHECKPOINT_TIMEOUT_MS) stopTask(state, task, 'stop', stop.cause)
    else if (elapsedMs >= CHECKPOINT_ABANDON_MS) leaveRunning(state, task)
  }
}

/** Marks the task as running again; no second checkpoint is requested, because its target cannot make one. */
function leaveRunning (state: SchedulerState, task: Task): void {
  task.state = 'running'
  task.stop = undefined
  task.checkpointTimedOut = true
  state.setStopping(task, false)
  recordDecision(task, state.now, 'left-running', 'no checkpoint was made in time')
  state.emitCount('left-running', task.job.work.kind)
}

/** Tries again to free capacity for waiting urgent work. */
export function preemptForWaitingUrgent (state: SchedulerState): void {
  let remaining = MAX_PREEMPTIONS_PER_TICK
  for (const queue of [...state.readiness.blockedUrgentQueues]) {
    while (remaining > 0 && queue.head !== undefined && queue.blockedBy === 'no-room') {
      remaining -= 1
      if (!state.fitsGrant(queue.team, queue.shape.declared) || !preemptForUrgent(state, queue.head)) break
    }
  }
}
