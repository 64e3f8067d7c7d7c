import type { TaskId } from '../model/ids.ts'
import { parseTaskIndex, parseWorkId } from '../model/ids.ts'
import type { GroupSummary } from '../model/peer.ts'
import type { Explanation, GroupOverview, TeamOverview } from '../model/group-request.ts'
import { fits, NO_RESOURCES, type Resources, subtract } from '../model/resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { acceptsWork, type TargetState } from './fleet.ts'
import { type Job, type Task, isIndexWaiting } from './task.ts'
import { type TeamState, countWaitingTasks } from './team.ts'

/** Explains why a task waits, runs or has ended. */
export function explainTask (state: SchedulerState, taskId: TaskId): Explanation | undefined {
  const task = state.tasks.get(taskId)
  if (task !== undefined) return explainBooked(task)
  const job = state.jobs.get(parseWorkId(taskId))
  const index = parseTaskIndex(taskId)
  if (job?.delayedIndices.has(index) === true) return explainDelayed(state, job, taskId)
  if (job !== undefined && isIndexWaiting(job, index)) return explainWaiting(state, job, taskId)
  return state.decisionHistory.find(taskId)
}

function explainBooked (task: Task): Explanation {
  const last = task.decisions.at(-1)
  const detail = task.stop === undefined ? (last?.detail ?? '') : `asked to ${task.stop.mode} because of ${task.stop.cause}`
  return {
    task: task.id,
    state: task.state === 'claimed' ? 'waiting' : task.state === 'starting' ? 'starting' : 'running',
    reason: task.state === 'claimed' ? 'room-reserved' : task.stop?.cause ?? 'placed',
    detail,
    target: task.target.id,
    decisions: task.decisions
  }
}

function explainWaiting (state: SchedulerState, job: Job, task: TaskId): Explanation {
  const { reason, detail } = getWaitingReason(state, job)
  const decisions = [{ at: job.queuedAt, decision: 'queued', detail: `in ${job.work.queue}` }, ...state.decisionHistory.getEarlierDecisions(task)]
  return { task, state: 'waiting', reason, detail, decisions }
}

function explainDelayed (state: SchedulerState, job: Job, task: TaskId): Explanation {
  const failureCount = job.failuresByIndex?.get(parseTaskIndex(task)) ?? 0
  const detail = `waits for the next attempt after ${failureCount} failed attempts`
  return { task, state: 'waiting', reason: 'retry-delayed', detail, decisions: state.decisionHistory.getEarlierDecisions(task) }
}

type WaitingReason = { readonly reason: string, readonly detail: string }

function getWaitingReason (state: SchedulerState, job: Job): WaitingReason {
  const { queue, team } = job
  if (queue === undefined) return { reason: 'queued', detail: 'about to be queued' }
  switch (queue.blockedBy) {
    case 'team-limit': return getLimitReason(team, queue.shape.declared)
    case 'no-room': return getCapacityReason(state, queue.shape.booked)
    case 'urgent-reserve': return { reason: 'urgent-reserve', detail: 'the free capacity is reserved for urgent work' }
    case 'gang-waiting': return { reason: 'gang-waiting', detail: `waits until all ${job.pendingCount} tasks can start together` }
    case undefined: return { reason: 'queued', detail: `behind other work; the team uses ${formatPercent(team.share)} and is entitled to ${formatPercent(team.entitledShare)}` }
  }
}

function getLimitReason (team: TeamState, wanted: Resources): WaitingReason {
  const exceeded = (Object.keys(wanted) as (keyof Resources)[]).filter((name) => team.used[name] + wanted[name] > team.grant[name])
  const amounts = exceeded.map((name) => `${name} ${team.used[name]} of ${team.grant[name]}`).join(', ')
  return { reason: 'team-limit', detail: `the team uses ${amounts}` }
}

/** Counts the targets that are large enough, and those of them that cannot be used; requests are rare, so it may read all targets. */
function getCapacityReason (state: SchedulerState, wanted: Resources): WaitingReason {
  let unusableCount = 0
  let largeEnoughCount = 0
  for (const target of state.fleet.targets.values()) {
    if (!fits(wanted, target.target.capacity)) continue
    largeEnoughCount += 1
    if (!acceptsWork(target)) unusableCount += 1
  }
  if (largeEnoughCount === 0) return { reason: 'no-target-large-enough', detail: 'no present target is large enough' }
  if (unusableCount === largeEnoughCount) return { reason: 'targets-not-usable', detail: `all ${largeEnoughCount} targets that are large enough are out, leaving or quarantined` }
  return { reason: 'no-room', detail: `${largeEnoughCount} targets are large enough, ${unusableCount} of them not usable, the others are full` }
}

function formatPercent (part: number): string {
  return `${(100 * part).toFixed(1)}%`
}

/** Builds the summary from which the group for new work is chosen: free capacity and waiting tasks. */
export function buildSummary (state: SchedulerState, group: number, epoch: number, ready: boolean): GroupSummary {
  const { capacity, booked } = state.fleet
  return {
    group,
    epoch,
    ready,
    free: clampToZero(subtract(capacity, booked)),
    largestFree: clampToZero(state.fleet.getLargestFree()),
    waiting: Object.values(state.waitingByClass).reduce((sum, count) => sum + count, 0)
  }
}

function clampToZero (amount: Resources): Resources {
  return {
    cpuMillis: Math.max(0, amount.cpuMillis),
    memoryMiB: Math.max(0, amount.memoryMiB),
    accelerators: Math.max(0, amount.accelerators),
    slots: Math.max(0, amount.slots),
    connections: Math.max(0, amount.connections)
  }
}

/** Builds the overview of what the teams and targets of the group use. */
export function buildOverview (state: SchedulerState, group: number): GroupOverview {
  return {
    group,
    teams: [...state.teams.byName.values()].map(buildTeamOverview),
    targets: [...state.fleet.targets.values()].map((targetState) => ({
      id: targetState.id,
      host: targetState.target.host,
      failureDomain: targetState.target.failureDomain,
      state: getTargetState(targetState),
      capacity: targetState.target.capacity,
      used: { ...targetState.booked }
    })),
    waiting: { ...state.waitingByClass }
  }
}

function buildTeamOverview (team: TeamState): TeamOverview {
  return {
    team: team.name,
    used: { ...team.used },
    grant: { ...team.grant },
    share: team.share,
    entitled: team.entitledShare,
    waiting: countWaitingTasks(team)
  }
}

function getTargetState (state: TargetState): string {
  if (state.removed) return 'lost'
  if (state.quarantined) return 'quarantined'
  if (state.domain.out) return 'domain-out'
  return state.target.state
}

/** Returns what the team uses in the group. */
export function getTeamUsage (state: SchedulerState, team: string): Resources {
  const teamState = state.teams.byName.get(team)
  return teamState === undefined ? NO_RESOURCES : { ...teamState.used }
}
