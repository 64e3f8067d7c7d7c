import type { SchedulerState } from './scheduler-state.ts'
import { updateClaims } from './claims.ts'
import { claimForStarvedShape } from './starvation.ts'
import { updateEntitledShares } from './entitlement.ts'
import { evacuateTargets } from './evacuation.ts'
import { probeQuarantinedTargets } from './quarantine.ts'
import { enforceGrants, reclaimShares } from './reclaim.ts'
import { advanceReservation } from './gang-reservation.ts'
import { enqueueDueRetries } from './retries.ts'
import { escalateStops, preemptForWaitingUrgent } from './preemption.ts'

/** Maximum number of gangs, and of blocked shapes, that are tried again in one tick. */
const MAX_GANGS_PER_TICK = 4
const MAX_SHAPES_PER_TICK = 4
const RATE_INTERVAL_MS = 1000
/** Weight of the previous average in each update. */
const RATE_RETENTION_RATIO = 0.7

/** Does the periodic work, from updating shares and indexes to retries, preemption, evacuation and reports of changed demand. */
export function tick (state: SchedulerState): void {
  state.fleet.sortDomains()
  updateEntitledShares(state)
  for (const team of state.teams.byName.values()) state.updateShare(team)
  updateStartRates(state)
  enqueueDueRetries(state)
  probeQuarantinedTargets(state)
  updateClaims(state)
  escalateStops(state)
  preemptForWaitingUrgent(state)
  evacuateTargets(state)
  enforceGrants(state)
  reclaimShares(state)
  advanceReservation(state)
  retryGangs(state)
  retryBlockedShapes(state)
  reportDemand(state)
}

/** Updates the average start rate of each team once a second. */
function updateStartRates (state: SchedulerState): void {
  if (state.now - state.startRatesUpdatedAt < RATE_INTERVAL_MS) return
  const seconds = Math.min(10, (state.now - state.startRatesUpdatedAt) / 1000)
  state.startRatesUpdatedAt = state.now
  for (const team of state.teams.byName.values()) {
    team.startsPerSecond = RATE_RETENTION_RATIO * team.startsPerSecond + (1 - RATE_RETENTION_RATIO) * team.startsSinceUpdate / seconds
    team.startsSinceUpdate = 0
  }
}

/** Retries some blocked shapes in rotation, because a bounded search may miss free capacity. */
function retryBlockedShapes (state: SchedulerState): void {
  let remaining = MAX_SHAPES_PER_TICK
  for (const shape of state.readiness.blockedShapes) {
    if (remaining === 0) return
    remaining -= 1
    // The shape goes to the end of the set.
    state.readiness.blockedShapes.delete(shape)
    state.readiness.blockedShapes.add(shape)
    claimForStarvedShape(state, shape)
    state.readiness.retryShape(shape)
  }
}

function retryGangs (state: SchedulerState): void {
  let tried = 0
  for (const queue of state.readiness.gangQueues) {
    if (tried === MAX_GANGS_PER_TICK) return
    if (queue.retryAt > state.now || queue.head === state.reservation?.job) continue
    tried += 1
    state.readiness.unblock(queue)
  }
}

function reportDemand (state: SchedulerState): void {
  updateEntitledShares(state)
  for (const team of state.teamsWithChangedDemand) {
    const used = { ...team.used }
    const wanted = {
      cpuMillis: used.cpuMillis + team.waitingResources.cpuMillis,
      memoryMiB: used.memoryMiB + team.waitingResources.memoryMiB,
      accelerators: used.accelerators + team.waitingResources.accelerators,
      slots: used.slots + team.waitingResources.slots,
      connections: used.connections + team.waitingResources.connections
    }
    state.emit({ type: 'demand-changed', team: team.name, used, wanted })
  }
  state.teamsWithChangedDemand.clear()
}
