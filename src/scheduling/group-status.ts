import type { TaskId } from '../model/ids.ts'
import { indexOfTask, workOfTask } from '../model/ids.ts'
import type { GroupSummary } from '../model/peer.ts'
import type { Explanation, GroupOverview, TeamOverview } from '../model/question.ts'
import { fits, NO_RESOURCES, type Resources, subtract } from '../model/resources.ts'
import type { Cell } from './scheduler-state.ts'
import { takesWork, type TargetState } from './fleet.ts'
import { type Job, type Task, waits } from './task.ts'
import { type TeamState, waitingTasks } from './team.ts'

/** Why a task waits, runs or has ended. */
export function explainTask (cell: Cell, taskId: TaskId): Explanation | undefined {
  const task = cell.tasks.get(taskId)
  if (task !== undefined) return explainBooked(task)
  const job = cell.jobs.get(workOfTask(taskId))
  const index = indexOfTask(taskId)
  if (job?.delayed.has(index) === true) return explainDelayed(cell, job, taskId)
  if (job !== undefined && waits(job, index)) return explainWaiting(cell, job, taskId)
  return cell.journal.find(taskId)
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

function explainWaiting (cell: Cell, job: Job, task: TaskId): Explanation {
  const { reason, detail } = waitingReason(cell, job)
  const decisions = [{ at: job.queuedAt, decision: 'queued', detail: `in ${job.work.queue}` }, ...cell.journal.earlier(task)]
  return { task, state: 'waiting', reason, detail, decisions }
}

function explainDelayed (cell: Cell, job: Job, task: TaskId): Explanation {
  const failures = job.failures?.get(indexOfTask(task)) ?? 0
  const detail = `waits for its next attempt after ${failures} failed ones`
  return { task, state: 'waiting', reason: 'retry-delayed', detail, decisions: cell.journal.earlier(task) }
}

type Reason = { readonly reason: string, readonly detail: string }

function waitingReason (cell: Cell, job: Job): Reason {
  const { queue, team } = job
  if (queue === undefined) return { reason: 'queued', detail: 'about to be queued' }
  switch (queue.blockedBy) {
    case 'team-limit': return limitReason(team, queue.shape.declared)
    case 'no-room': return roomReason(cell, queue.shape.booked)
    case 'urgent-reserve': return { reason: 'urgent-reserve', detail: 'what is free is reserved for urgent work' }
    case 'gang-waiting': return { reason: 'gang-waiting', detail: `waits until all ${job.pending} tasks can start together` }
    case undefined: return { reason: 'queued', detail: `behind other work; the team uses ${percent(team.share)} and is entitled to ${percent(team.entitled)}` }
  }
}

function limitReason (team: TeamState, wanted: Resources): Reason {
  const over = (Object.keys(wanted) as (keyof Resources)[]).filter((name) => team.used[name] + wanted[name] > team.grant[name])
  const amounts = over.map((name) => `${name} ${team.used[name]} of ${team.grant[name]}`).join(', ')
  return { reason: 'team-limit', detail: `the team uses ${amounts}` }
}

/** Counts where the shape would fit but may not run; questions are rare, so this may read all targets. */
function roomReason (cell: Cell, wanted: Resources): Reason {
  let barred = 0
  let large = 0
  for (const target of cell.fleet.targets.values()) {
    if (!fits(wanted, target.target.capacity)) continue
    large += 1
    if (!takesWork(target)) barred += 1
  }
  if (large === 0) return { reason: 'no-target-large-enough', detail: 'no present target is large enough' }
  if (barred === large) return { reason: 'targets-not-usable', detail: `all ${large} targets that are large enough are out, leaving or quarantined` }
  return { reason: 'no-room', detail: `${large} targets are large enough, ${barred} of them not usable, the others are full` }
}

function percent (part: number): string {
  return `${(100 * part).toFixed(1)}%`
}

/** What the group can still take, for the choice of a group for new work. */
export function summarise (cell: Cell, group: number, epoch: number, ready: boolean): GroupSummary {
  const { capacity, booked } = cell.fleet
  return {
    group,
    epoch,
    ready,
    free: notNegative(subtract(capacity, booked)),
    largestFree: notNegative(cell.fleet.largestFree()),
    waiting: Object.values(cell.waiting).reduce((sum, count) => sum + count, 0)
  }
}

function notNegative (amount: Resources): Resources {
  return {
    cpuMillis: Math.max(0, amount.cpuMillis),
    memoryMiB: Math.max(0, amount.memoryMiB),
    accelerators: Math.max(0, amount.accelerators),
    slots: Math.max(0, amount.slots),
    connections: Math.max(0, amount.connections)
  }
}

/** What the teams and targets of the group use. */
export function overviewOf (cell: Cell, group: number): GroupOverview {
  return {
    group,
    teams: [...cell.teams.teams.values()].map(teamOverview),
    targets: [...cell.fleet.targets.values()].map((state) => ({
      id: state.id,
      host: state.target.host,
      failureDomain: state.target.failureDomain,
      state: targetState(state),
      capacity: state.target.capacity,
      used: { ...state.booked }
    })),
    waiting: { ...cell.waiting }
  }
}

function teamOverview (team: TeamState): TeamOverview {
  return {
    team: team.name,
    used: { ...team.used },
    grant: { ...team.grant },
    share: team.share,
    entitled: team.entitled,
    waiting: waitingTasks(team)
  }
}

function targetState (state: TargetState): string {
  if (state.removed) return 'lost'
  if (state.quarantined) return 'quarantined'
  if (state.domain.out) return 'domain-out'
  return state.target.state
}

/** What the team uses in the group. */
export function usageOf (cell: Cell, team: string): Resources {
  const state = cell.teams.teams.get(team)
  return state === undefined ? NO_RESOURCES : { ...state.used }
}
