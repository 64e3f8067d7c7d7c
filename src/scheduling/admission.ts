import { fits, scale, type Resources } from '../model/resources.ts'
import type { Refusal } from '../model/refusal.ts'
import { taskCount, type Work } from '../model/work.ts'
import { minResources, countFitting } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { estimateRunMs } from './family.ts'
import { type TeamState, countWaitingTasks } from './team.ts'

/** Bounds of the time after which a refused submission may be retried. */
const MIN_RETRY_AFTER_MS = 200
const MAX_RETRY_AFTER_MS = 60_000
/** Number of waiting tasks below which no waiting time is estimated: a shorter queue is not enough for an estimate. */
const MIN_FORECAST_TASKS = 20
/** A lower rate of starts comes from a stall, for example while the owner may not act, and does not predict the waiting time. */
const MIN_FORECAST_STARTS_PER_S = 1

/**
 * Finds the reason to refuse new work, or undefined when it may wait.
 *
 * @example
 * const refusal = findRefusal(state, work, state.teams.byName.get(work.team))
 */
export function findRefusal (state: SchedulerState, work: Work, team: TeamState | undefined): Refusal | undefined {
  if (team?.configured !== true) return { reason: 'unknown-queue', queue: work.queue }
  return findCapacityRefusal(state, work) ?? findTeamLimitRefusal(work, team) ?? findOverloadRefusal(work, team) ?? findDeadlineRefusal(state, work)
}

function findCapacityRefusal (state: SchedulerState, work: Work): Refusal | undefined {
  if (state.fleet.targets.size === 0) return undefined
  const classes = getCapacityClasses(state)
  const wanted = work.resources
  if (!classes.some(({ capacity }) => fits(wanted, capacity))) {
    return { reason: 'never-fits', nearest: findNearestShape(wanted, classes), detail: 'no target is large enough for one task' }
  }
  if (work.kind !== 'gang') return undefined
  const maxTasks = computeGangCapacity(wanted, classes)
  if (maxTasks >= work.count) return undefined
  return {
    reason: 'never-fits',
    nearest: findNearestGangShape(work.count, wanted, classes),
    detail: `at most ${maxTasks} of the ${work.count} tasks fit at once; nearest is the largest shape of which ${work.count} fit`
  }
}

type CapacityClass = { readonly capacity: Resources, count: number }

/** Distinct capacities of all targets with the number of each, including targets that are out or leaving now. */
function getCapacityClasses (state: SchedulerState): readonly CapacityClass[] {
  return [...state.fleet.capacityClasses.values()]
}

/** Lowers the wanted amounts to the capacity that reduces them least. */
function findNearestShape (wanted: Resources, classes: readonly CapacityClass[]): Resources {
  let best = minResources(wanted, classes[0]!.capacity)
  for (const { capacity } of classes) {
    const candidate = minResources(wanted, capacity)
    if (sumRatios(candidate, wanted) > sumRatios(best, wanted)) best = candidate
  }
  return best
}

function sumRatios (amount: Resources, wanted: Resources): number {
  return computeRatio(amount.cpuMillis, wanted.cpuMillis) + computeRatio(amount.memoryMiB, wanted.memoryMiB) +
    computeRatio(amount.accelerators, wanted.accelerators) + computeRatio(amount.slots, wanted.slots) +
    computeRatio(amount.connections, wanted.connections)
}

function computeRatio (amount: number, wanted: number): number {
  return wanted > 0 ? amount / wanted : 1
}

/**
 * Computes how many tasks of the shape fit at once on targets of the given capacities when nothing else runs.
 *
 * @example
 * computeGangCapacity(work.resources, [...state.fleet.capacityClasses.values()])
 */
export function computeGangCapacity (shape: Resources, classes: readonly CapacityClass[]): number {
  return classes.reduce((sum, { capacity, count }) => sum + count * countFitting(shape, capacity), 0)
}

/** Finds the largest scale of the shape, in steps of a thousandth, at which a gang of `count` tasks fits. */
function findNearestGangShape (count: number, wanted: Resources, classes: readonly CapacityClass[]): Resources {
  let low = 0
  let high = 1000
  while (low < high) {
    const middle = Math.ceil((low + high) / 2)
    if (computeGangCapacity(scaleByThousandths(wanted, middle), classes) >= count) low = middle
    else high = middle - 1
  }
  return scaleByThousandths(wanted, low)
}

function scaleByThousandths (wanted: Resources, thousandths: number): Resources {
  const scaled = scale(wanted, thousandths / 1000)
  return {
    cpuMillis: Math.floor(scaled.cpuMillis),
    memoryMiB: Math.floor(scaled.memoryMiB),
    accelerators: Math.floor(scaled.accelerators),
    slots: Math.min(wanted.slots, Math.max(1, Math.floor(scaled.slots))),
    connections: Math.floor(scaled.connections)
  }
}

function findTeamLimitRefusal (work: Work, team: TeamState): Refusal | undefined {
  const simultaneousTasks = work.kind === 'gang' ? work.count : 1
  if (!fits(scale(work.resources, simultaneousTasks), team.settings.limit)) {
    return { reason: 'over-team-limit', detail: simultaneousTasks === 1 ? 'one task exceeds the limit of the team' : `${simultaneousTasks} tasks together exceed the limit of the team` }
  }
  if (taskCount(work) <= team.settings.waitingLimit) return undefined
  return { reason: 'over-team-limit', detail: `the work has more tasks than the ${team.settings.waitingLimit} that may wait` }
}

function findOverloadRefusal (work: Work, team: TeamState): Refusal | undefined {
  const count = taskCount(work)
  if (countWaitingTasks(team) + count <= team.settings.waitingLimit) return undefined
  return { reason: 'overloaded', retryAfterMs: computeRetryAfterMs(team, count) }
}

/** Estimates, from the team's recent rate of starts, the time after which `count` more tasks may wait. */
function computeRetryAfterMs (team: TeamState, count: number): number {
  const rate = Math.max(team.startsPerSecond, 0.1)
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(count / rate * 1000)))
}

function findDeadlineRefusal (state: SchedulerState, work: Work): Refusal | undefined {
  if (work.kind !== 'request') return undefined
  if (work.deadlineAt <= state.now) return { reason: 'deadline-passed' }
  const waitMs = estimateWaitMs(state, work)
  if (state.now + waitMs + estimateRunMs(state, work) <= work.deadlineAt) return undefined
  return { reason: 'deadline-unreachable', retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, Math.ceil(waitMs))) }
}

/**
 * Estimates a lower bound of the waiting time: half of the time that the tasks ahead need at the team's recent rate of
 * starts. Only requests that almost certainly miss their deadline are refused for it.
 */
function estimateWaitMs (state: SchedulerState, work: Work): number {
  const team = state.teams.getOrCreateTeam(work.team)
  const tasksAhead = team.waitingByClass.request + team.waitingByClass.urgent
  if (tasksAhead < MIN_FORECAST_TASKS || work.urgent || team.startsPerSecond < MIN_FORECAST_STARTS_PER_S) return 0
  return tasksAhead / team.startsPerSecond * 1000 / 2
}
