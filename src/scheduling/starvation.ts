import type { Cell } from './scheduler-state.ts'
import { claimNext } from './claims.ts'
import type { TargetState } from './fleet.ts'
import { isAbove } from './preemption.ts'
import { fairestQueue, type Shape, type ShapeQueue } from './queue.ts'

/** A shape of which nothing has started for this long, although its team is below its share, is taken to starve. */
const STARVED_MS = 10_000
/** How long room is gathered for one task. */
const DRAIN_MS = 60_000
/** Most targets on which room is gathered, as a part of all, and at least. */
const DRAINED_PART = 0.03
const LEAST_DRAINED = 1
/** Targets compared in each failure domain. */
const TARGETS_COMPARED = 8

/**
 * Gathers room for large tasks: small work would else take each small room that appears, and a task that needs a
 * whole target would never find one. The claim books the room, so nothing new starts there until the task fits.
 */
export function drainForStarved (cell: Cell, shape: Shape): void {
  if (cell.now - shape.startedAt < STARVED_MS || drained(cell) >= mostDrained(cell)) return
  const queue = starvedQueue(cell, shape)
  if (queue?.head === undefined) return
  const target = nearlyFree(cell, shape)
  if (target === undefined) return
  const task = claimNext(cell, queue.head, target, 'room is gathered for a large task')
  if (task !== undefined) task.claimUntil = cell.now + DRAIN_MS
  shape.startedAt = cell.now
  cell.count('drained', queue.workClass)
}

function mostDrained (cell: Cell): number {
  return Math.max(LEAST_DRAINED, Math.floor(cell.fleet.targets.size * DRAINED_PART))
}

function drained (cell: Cell): number {
  let count = 0
  for (const { claimUntil } of cell.claims) if (claimUntil !== undefined) count += 1
  return count
}

function starvedQueue (cell: Cell, shape: Shape): ShapeQueue | undefined {
  const queue = fairestQueue(shape)
  if (queue === undefined || queue.workClass === 'urgent') return undefined
  const { team } = queue
  if (!cell.fitsGrant(team, shape.declared) || isAbove(cell, team)) return undefined
  return queue
}

/** Of some targets whose running work can end or yield to make room, the one with the most room already. */
function nearlyFree (cell: Cell, { booked }: Shape): TargetState | undefined {
  const search = { wanted: booked, perDomain: TARGETS_COMPARED, startPart: cell.random.next(), reclaiming: true }
  let best: TargetState | undefined
  let most = -1
  for (const target of cell.fleet.search(search)) {
    const free = Math.min(target.free.cpuMillis / booked.cpuMillis, target.free.memoryMiB / booked.memoryMiB)
    if (free <= most) continue
    most = free
    best = target
  }
  return best
}
