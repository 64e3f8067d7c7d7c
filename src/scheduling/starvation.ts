import type { SchedulerState } from './scheduler-state.ts'
import { claimNextTask } from './claims.ts'
import type { TargetState } from './fleet.ts'
import { isAboveShare } from './preemption.ts'
import { findFairestQueue, type Shape, type ShapeQueue } from './queue.ts'

/** A shape counts as starved when none of its tasks has started for this time although its team is below its share. */
const STARVED_AFTER_MS = 10_000
/** How long capacity is kept for one task of a starved shape. */
const STARVED_CLAIM_TIMEOUT_MS = 60_000
/** Maximum number of claims for starved shapes, as a ratio of the number of targets, and the lowest value of this maximum. */
const MAX_STARVED_CLAIMS_RATIO = 0.03
const MIN_STARVED_CLAIMS_LIMIT = 1
/** Number of targets compared in each failure domain. */
const TARGETS_COMPARED_PER_DOMAIN = 8

/**
 * Claims a target for a task of a shape that has not started for a long time. Small tasks would otherwise use every
 * small amount that becomes free, and a task that needs a whole target would never start. The claim books the capacity,
 * so no new work starts there until the task fits.
 */
export function claimForStarvedShape (state: SchedulerState, shape: Shape): void {
  if (state.now - shape.lastStartAt < STARVED_AFTER_MS || countStarvedClaims(state) >= getMaxStarvedClaims(state)) return
  const queue = findStarvedQueue(state, shape)
  if (queue?.head === undefined) return
  const target = findMostAvailableTarget(state, shape)
  if (target === undefined) return
  const task = claimNextTask(state, queue.head, target, 'capacity is kept for a large task')
  if (task !== undefined) task.claimExpiresAt = state.now + STARVED_CLAIM_TIMEOUT_MS
  shape.lastStartAt = state.now
  state.emitCount('drained', queue.workClass)
}

function getMaxStarvedClaims (state: SchedulerState): number {
  return Math.max(MIN_STARVED_CLAIMS_LIMIT, Math.floor(state.fleet.targets.size * MAX_STARVED_CLAIMS_RATIO))
}

function countStarvedClaims (state: SchedulerState): number {
  let count = 0
  for (const { claimExpiresAt } of state.claims) if (claimExpiresAt !== undefined) count += 1
  return count
}

function findStarvedQueue (state: SchedulerState, shape: Shape): ShapeQueue | undefined {
  const queue = findFairestQueue(shape)
  if (queue === undefined || queue.workClass === 'urgent') return undefined
  const { team } = queue
  if (!state.fitsGrant(team, shape.declared) || isAboveShare(state, team)) return undefined
  return queue
}

/** Finds, among some targets that can be freed by preemption, the one with the largest free fraction of the wanted amounts. */
function findMostAvailableTarget (state: SchedulerState, { booked }: Shape): TargetState | undefined {
  const search = { wanted: booked, maxPerDomain: TARGETS_COMPARED_PER_DOMAIN, startRatio: state.random.next(), includeReclaimable: true }
  let best: TargetState | undefined
  let bestRatio = -1
  for (const target of state.fleet.search(search)) {
    const freeRatio = Math.min(target.free.cpuMillis / booked.cpuMillis, target.free.memoryMiB / booked.memoryMiB)
    if (freeRatio <= bestRatio) continue
    bestRatio = freeRatio
    best = target
  }
  return best
}
