import { getUsage } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { Demand } from '../job.ts'
import { addDemands } from '../job.ts'
import { NON_URGENT_CAPACITY_RATIO } from '../room/open-targets.ts'
import { getUsableRatio } from '../room/organisation-maximum.ts'
import type { Queue } from '../settings/cell-configuration.ts'
import { RESOURCES, mapDemand } from './cell-load.ts'
import type { CellLoad, PoolRoom, WaitingTasks } from './cell-load.ts'
import type { CompletionForecast } from './completion-forecast.ts'
import { HORIZON_MS } from './room-profile.ts'

const MS_PER_S = 1_000

/** Expected wait of a further job, and what such jobs may use at a time; 0 in a field of `rate`: no limit. */
export type ExpectedWait = Pick<CompletionForecast, 'cause' | 'waitMs' | 'rate'>

/**
 * Computes how long a further job of the queue and the organisation would wait for room, from what waits before it and what
 * runs. `exceedsShare`: it would be beyond the organisation's share of submissions, and so served after all others.
 */
export function computeExpectedWait (state: CellState, load: CellLoad, queue: Queue, organisation: string, exceedsShare: boolean): ExpectedWait {
  const own = load.waiting.filter((tasks) => tasks.organisation === organisation && goesBefore(tasks, queue.priority, exceedsShare))
  const byMaximum = computeMaximumWait(state, load, own, queue, organisation, exceedsShare)
  const byRoom = computeRoomWait(state, load, own.filter((tasks) => waitsForRoom(tasks, queue)), queue, organisation, exceedsShare)
  return byMaximum.waitMs >= byRoom.waitMs ? byMaximum : byRoom
}

/** Whether waiting tasks go before a further job. Those beyond the share of their organisation go after all others. */
function goesBefore (tasks: WaitingTasks, priority: number, exceedsShare: boolean): boolean {
  if (tasks.exceedsShare !== exceedsShare) return exceedsShare
  return tasks.priority <= priority
}

function waitsForRoom (tasks: WaitingTasks, queue: Queue): boolean {
  return tasks.pool === queue.pool && !tasks.heldByMaximum
}

/** Wait for the part of the organisation's maximum that the job may use. */
function computeMaximumWait (state: CellState, { organisations }: CellLoad, ahead: readonly WaitingTasks[], queue: Queue, organisation: string, exceedsShare: boolean): ExpectedWait {
  const maximum = state.organisations.find(organisation)?.maximum
  const running = organisations.get(organisation)
  if (maximum === undefined || running === undefined) return { cause: 'maximum', waitMs: 0, rate: mapDemand(() => 0) }
  const ratio = getUsableRatio(exceedsShare, queue.priority === 0)
  const usage = addDemands(getUsage(state, organisation), state.uncertainUsage)
  const rate = mapDemand((resource) => maximum[resource] === 0 ? 0 : Math.max(0, maximum[resource] * ratio - running.lasting[resource], ...ahead.map(({ demand }) => demand[resource])))
  // A single task may start even where tasks that last leave no room for it.
  const waits = RESOURCES.filter((resource) => rate[resource] > 0).map((resource) =>
    running.releases[resource].computeWaitMs(rate[resource] + running.lasting[resource] - usage[resource], toUses(ahead, resource)))
  return { cause: 'maximum', waitMs: Math.max(0, ...waits), rate }
}

/**
 * Wait for room on the targets of the pool. An organisation whose work is below its share waits only as long as its own work
 * takes in its share, because its steps go first.
 */
function computeRoomWait (state: CellState, load: CellLoad, own: readonly WaitingTasks[], queue: Queue, organisation: string, exceedsShare: boolean): ExpectedWait {
  const { pool, priority } = queue
  const room = load.pools.get(pool)
  const share = computeShare(state, load.active.get(pool) ?? new Set(), organisation)
  const ratio = priority === 0 ? 1 : NON_URGENT_CAPACITY_RATIO
  const rate = mapDemand((resource) => room === undefined ? 0 : Math.max(0, room.capacity[resource] * ratio - room.lasting[resource]))
  if (room === undefined || own.length === 0) return { cause: 'room', waitMs: 0, rate }
  const all = getRoomWaits(load, room, queue, exceedsShare)
  const waits = RESOURCES.filter((resource) => rate[resource] > 0).map((resource) => Math.min(all[resource], computeWorkMs(own, resource) / (rate[resource] * share)))
  return { cause: 'room', waitMs: Math.min(HORIZON_MS, Math.max(0, ...waits)), rate: mapDemand((resource) => rate[resource] * share) }
}

/** Waits for room behind all that goes before a further job, whatever its organisation. */
function getRoomWaits ({ waiting, roomWaits }: CellLoad, room: PoolRoom, queue: Queue, exceedsShare: boolean): Demand {
  const { pool, priority } = queue
  const key = JSON.stringify([pool, priority, exceedsShare])
  const known = roomWaits.get(key)
  if (known !== undefined) return known
  const ahead = waiting.filter((tasks) => waitsForRoom(tasks, queue) && goesBefore(tasks, priority, exceedsShare))
  const free = priority === 0 ? room.free : room.freeForNonUrgent
  const waits = mapDemand((resource) => room.capacity[resource] === 0 ? 0 : room.releases[resource].computeWaitMs(free[resource], toUses(ahead, resource)))
  roomWaits.set(key, waits)
  return waits
}

function toUses (ahead: readonly WaitingTasks[], resource: keyof Demand): ReadonlyArray<{ readonly amount: number, readonly runMs: number }> {
  return ahead.map(({ tasks, demand, runMs }) => ({ amount: tasks * demand[resource], runMs }))
}

/** Work of tasks, as the product of what they use and how long they run in milliseconds. */
function computeWorkMs (ahead: readonly WaitingTasks[], resource: keyof Demand): number {
  return ahead.reduce((sum, { tasks, demand, runMs }) => sum + tasks * demand[resource] * runMs, 0)
}

/** Share of an organisation among those that have work in the pool, by their weights. */
function computeShare (state: CellState, active: ReadonlySet<string>, organisation: string): number {
  const getWeight = (name: string): number => state.organisations.find(name)?.weight ?? 1
  const weight = Math.max(getWeight(organisation), Number.MIN_VALUE)
  const others = [...active].filter((name) => name !== organisation).reduce((sum, name) => sum + getWeight(name), 0)
  return weight / (weight + others)
}

/** Whether a job that is submitted now would be beyond its organisation's share of `weight` jobs a second. */
export function wouldExceedShare (state: CellState, organisation: string): boolean {
  const bucket = state.submissionBuckets.get(organisation)
  const weight = state.organisations.find(organisation)?.weight
  if (bucket === undefined || weight === undefined) return false
  return bucket.jobs + weight * (state.now - bucket.refilledAt) / MS_PER_S < 1
}
