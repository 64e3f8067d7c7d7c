import { findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import type { Demand } from '../job.ts'
import { NO_DEMAND, addDemands } from '../job.ts'
import type { LiveRun } from '../live-run.ts'
import { computeLateness } from '../order/step-rank.ts'
import { NON_URGENT_CAPACITY_RATIO } from '../room/open-targets.ts'
import { acceptsWork } from '../room/target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'
import { RoomProfile } from './room-profile.ts'

/** Resources of a demand. */
export const RESOURCES = ['cpuMillis', 'memoryMiB', 'accelerators'] as const

/** A run whose progress is below this percentage is estimated by its queue instead. */
const MIN_PERCENT = 10
/** A target that has not responded for a shorter time is silent for a moment. */
const MOMENT_MS = 15_000

/** Waiting tasks of one step. */
export type WaitingTasks = {
  readonly organisation: string
  readonly pool: string
  readonly priority: number
  /** Whether the job is served after all others, because its organisation exceeds its share. */
  readonly exceedsShare: boolean
  /** Whether the tasks wait for the maximum of the organisation and not for room. */
  readonly heldByMaximum: boolean
  readonly tasks: number
  readonly demand: Demand
  readonly runMs: number
}

/** What runs in a pool or for an organisation: what is held by tasks that last, and what is released when. */
export type RunningWork = { lasting: Demand, readonly releases: Readonly<Record<keyof Demand, RoomProfile>> }

/** Room of a pool, and what of its capacity is on targets that have been silent for a moment. */
export type PoolRoom = RunningWork & { capacity: Demand, free: Demand, freeForNonUrgent: Demand, silentCpuMillis: number }

/** Work of a cell at one moment: what waits and what runs, by organisation and by pool. */
export type CellLoad = {
  readonly waiting: readonly WaitingTasks[]
  readonly organisations: ReadonlyMap<string, RunningWork>
  readonly pools: ReadonlyMap<string, PoolRoom>
  /** By pool, the organisations that have work there. */
  readonly active: ReadonlyMap<string, ReadonlySet<string>>
  /** Waits for room that were computed from this load, by what goes before; they are the same for all organisations. */
  readonly roomWaits: Map<string, Demand>
}

/** Measures the work of a cell. It visits each run and each open step once. */
export function measureLoad (state: CellState): CellLoad {
  const organisations = new Map<string, RunningWork>()
  const pools = new Map<string, PoolRoom>()
  const active = new Map<string, Set<string>>()
  const addActive = (pool: string, organisation: string): void => { getOrCreate(active, pool, () => new Set<string>()).add(organisation) }
  for (const target of state.targets.values()) {
    const { entry, runs } = target
    const room = getOrCreate(pools, entry.pool, createPoolRoom)
    addRoom(state, room, target)
    for (const live of runs.values()) {
      const { organisation } = live.task.step.job.definition
      addActive(entry.pool, organisation)
      addRun(state, getOrCreate(organisations, organisation, createRunningWork), live)
      addRun(state, room, live)
    }
  }
  const waiting = [...state.openSteps].flatMap((step) => findWaitingTasks(state, step) ?? [])
  for (const { pool, organisation } of waiting) addActive(pool, organisation)
  return { waiting, organisations, pools, active, roomWaits: new Map() }
}

function createRunningWork (): RunningWork {
  return { lasting: NO_DEMAND, releases: { cpuMillis: RoomProfile.create(), memoryMiB: RoomProfile.create(), accelerators: RoomProfile.create() } }
}

function createPoolRoom (): PoolRoom {
  return { ...createRunningWork(), capacity: NO_DEMAND, free: NO_DEMAND, freeForNonUrgent: NO_DEMAND, silentCpuMillis: 0 }
}

function getOrCreate<Key, Value> (map: Map<Key, Value>, key: Key, create: () => Value): Value {
  const known = map.get(key)
  if (known !== undefined) return known
  const value = create()
  map.set(key, value)
  return value
}

/** Adds the capacity of a target that gets work, or will once it responds again. */
function addRoom (state: CellState, room: PoolRoom, target: TargetState): void {
  const { entry, published } = target
  if (!published || entry.draining || target.spare || state.evacuatedDomains.has(entry.failureDomain)) return
  const isSilent = !target.reachable || target.listUnanswered || !target.listed
  if (isSilent && state.now - target.lastHeardAt >= MOMENT_MS) return
  room.capacity = addDemands(room.capacity, entry.capacity)
  if (isSilent) room.silentCpuMillis += entry.capacity.cpuMillis
  if (!acceptsWork(state, target)) return
  const free = mapDemand((resource) => Math.max(0, entry.capacity[resource] - target.booked[resource]))
  room.free = addDemands(room.free, free)
  room.freeForNonUrgent = addDemands(room.freeForNonUrgent, mapDemand((resource) => Math.max(0, Math.min(free[resource], NON_URGENT_CAPACITY_RATIO * entry.capacity[resource] - target.bookedNonUrgent[resource]))))
}

function addRun ({ now }: CellState, work: RunningWork, live: LiveRun): void {
  const { spec } = live.task.step
  if (spec.longRunning) {
    work.lasting = addDemands(work.lasting, spec.demand)
    return
  }
  const remainingMs = estimateRemainingMs(live, now)
  for (const resource of RESOURCES) {
    if (spec.demand[resource] > 0) work.releases[resource].addRelease(remainingMs, spec.demand[resource])
  }
}

/** Estimates how much longer a run takes, in milliseconds, by its progress where that is known. */
function estimateRemainingMs ({ task, startedAt, percent, resumed, adopted, phase }: LiveRun, now: number): number {
  const elapsedMs = now - startedAt
  if (phase === 'stopping') return 0
  if (percent >= MIN_PERCENT && !resumed && !adopted) return elapsedMs * (100 - percent) / percent
  return Math.max(0, task.step.expectedMs - elapsedMs)
}

/** Work that lasts or comes too late to be useful is not waited for. */
function findWaitingTasks (state: CellState, step: StepRun): WaitingTasks | undefined {
  const { job, spec, blockedBy } = step
  const queue = findQueue(state, job.definition)
  if (queue === undefined || step.waitingTasks === 0 || !job.active || spec.longRunning || spec.fills) return undefined
  if (computeLateness(state, step, queue) === 2) return undefined
  return { organisation: job.definition.organisation, pool: queue.pool, priority: queue.priority, exceedsShare: job.exceedsShare, heldByMaximum: blockedBy === 'maximum' || blockedBy === 'reserve', tasks: step.waitingTasks, demand: spec.demand, runMs: step.expectedMs }
}

/** Creates a demand from a function of the resource. */
export function mapDemand (compute: (resource: keyof Demand) => number): Demand {
  return { cpuMillis: compute('cpuMillis'), memoryMiB: compute('memoryMiB'), accelerators: compute('accelerators') }
}
