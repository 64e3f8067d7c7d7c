import { fits, scale, type Resources } from '../model/resources.ts'
import type { Refusal } from '../model/refusal.ts'
import { taskCount, type Work } from '../model/work.ts'
import { lesser, timesFitting } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import { runMs } from './family.ts'
import { type TeamState, waitingTasks } from './team.ts'

/** Bounds of the advice when to try again. */
const LEAST_RETRY_MS = 200
const MOST_RETRY_MS = 60_000
/** Shorter queues are no base for a forecast. */
const QUEUE_WITH_FORECAST = 20
/** A lower rate of starts for each second comes from a stall, for example while the owner may not act, and tells nothing. */
const RATE_WITH_FORECAST = 1

/**
 * Why new work is refused, or undefined when it may wait.
 *
 * @example
 * const refusal = refusalOf(cell, work, cell.teams.teams.get(work.team))
 */
export function refusalOf (cell: Cell, work: Work, team: TeamState | undefined): Refusal | undefined {
  if (team?.known !== true) return { reason: 'unknown-queue', queue: work.queue }
  return neverFits(cell, work) ?? overTeamLimit(work, team) ?? overloaded(work, team) ?? pastDeadline(cell, work)
}

function neverFits (cell: Cell, work: Work): Refusal | undefined {
  if (cell.fleet.targets.size === 0) return undefined
  const classes = capacityClasses(cell)
  const wanted = work.resources
  if (!classes.some(({ capacity }) => fits(wanted, capacity))) {
    return { reason: 'never-fits', nearest: nearestShape(wanted, classes), detail: 'no target is large enough for one task' }
  }
  if (work.kind !== 'gang') return undefined
  const most = gangCapacity(wanted, classes)
  if (most >= work.count) return undefined
  return {
    reason: 'never-fits',
    nearest: nearestGangShape(work.count, wanted, classes),
    detail: `at most ${most} of the ${work.count} tasks fit at once; nearest is the largest shape of which ${work.count} fit`
  }
}

type CapacityClass = { readonly capacity: Resources, count: number }

/** The distinct capacities of all targets, also of those that are out or leaving now, with their numbers. */
function capacityClasses (cell: Cell): readonly CapacityClass[] {
  return [...cell.fleet.classes.values()]
}

/** The wanted amounts, lowered to the capacity that cuts off least of them. */
function nearestShape (wanted: Resources, classes: readonly CapacityClass[]): Resources {
  let best = lesser(wanted, classes[0]!.capacity)
  for (const { capacity } of classes) {
    const candidate = lesser(wanted, capacity)
    if (kept(candidate, wanted) > kept(best, wanted)) best = candidate
  }
  return best
}

function kept (amount: Resources, wanted: Resources): number {
  return ratio(amount.cpuMillis, wanted.cpuMillis) + ratio(amount.memoryMiB, wanted.memoryMiB) +
    ratio(amount.accelerators, wanted.accelerators) + ratio(amount.slots, wanted.slots) +
    ratio(amount.connections, wanted.connections)
}

function ratio (amount: number, wanted: number): number {
  return wanted > 0 ? amount / wanted : 1
}

/**
 * Number of tasks of the shape that fit at once into targets of the given capacities when nothing else runs.
 *
 * @example
 * gangCapacity(work.resources, [...cell.fleet.classes.values()])
 */
export function gangCapacity (shape: Resources, classes: readonly CapacityClass[]): number {
  return classes.reduce((sum, { capacity, count }) => sum + count * timesFitting(shape, capacity), 0)
}

/** The largest part of the shape, in thousandths, of which a gang of `count` fits. */
function nearestGangShape (count: number, wanted: Resources, classes: readonly CapacityClass[]): Resources {
  let low = 0
  let high = 1000
  while (low < high) {
    const middle = Math.ceil((low + high) / 2)
    if (gangCapacity(partOf(wanted, middle), classes) >= count) low = middle
    else high = middle - 1
  }
  return partOf(wanted, low)
}

function partOf (wanted: Resources, thousandths: number): Resources {
  const part = scale(wanted, thousandths / 1000)
  return {
    cpuMillis: Math.floor(part.cpuMillis),
    memoryMiB: Math.floor(part.memoryMiB),
    accelerators: Math.floor(part.accelerators),
    slots: Math.min(wanted.slots, Math.max(1, Math.floor(part.slots))),
    connections: Math.floor(part.connections)
  }
}

function overTeamLimit (work: Work, team: TeamState): Refusal | undefined {
  const together = work.kind === 'gang' ? work.count : 1
  if (!fits(scale(work.resources, together), team.settings.limit)) {
    return { reason: 'over-team-limit', detail: together === 1 ? 'one task exceeds the limit of the team' : `${together} tasks together exceed the limit of the team` }
  }
  if (taskCount(work) <= team.settings.waitingLimit) return undefined
  return { reason: 'over-team-limit', detail: `the work has more tasks than the ${team.settings.waitingLimit} that may wait` }
}

function overloaded (work: Work, team: TeamState): Refusal | undefined {
  const count = taskCount(work)
  if (waitingTasks(team) + count <= team.settings.waitingLimit) return undefined
  return { reason: 'overloaded', retryAfterMs: retryAfterMs(team, count) }
}

/** Time in which the team's starts make room for `count` waiting tasks, from its recent rate of starts. */
function retryAfterMs (team: TeamState, count: number): number {
  const rate = Math.max(team.startRate, 0.1)
  return Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, Math.ceil(count / rate * 1000)))
}

function pastDeadline (cell: Cell, work: Work): Refusal | undefined {
  if (work.kind !== 'request') return undefined
  if (work.deadlineAt <= cell.now) return { reason: 'deadline-passed' }
  const waitMs = expectedWaitMs(cell, work)
  if (cell.now + waitMs + runMs(cell, work) <= work.deadlineAt) return undefined
  return { reason: 'deadline-unreachable', retryAfterMs: Math.min(MOST_RETRY_MS, Math.max(LEAST_RETRY_MS, Math.ceil(waitMs))) }
}

/** Half of the time in which the team's recent rate of starts would reach the request: refuses only what is hopeless. */
function expectedWaitMs (cell: Cell, work: Work): number {
  const team = cell.teams.team(work.team)
  const ahead = team.waiting.request + team.waiting.urgent
  if (ahead < QUEUE_WITH_FORECAST || work.urgent || team.startRate < RATE_WITH_FORECAST) return 0
  return ahead / team.startRate * 1000 / 2
}
