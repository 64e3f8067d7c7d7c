import type { Cell } from './scheduler-state.ts'
import { renewClaims } from './claims.ts'
import { drainForStarved } from './starvation.ts'
import { updateEntitlement } from './entitlement.ts'
import { emptyTargets } from './evacuation.ts'
import { probeQuarantined } from './quarantine.ts'
import { enforceGrants, reclaimShares } from './reclaim.ts'
import { advanceReservation } from './gang-reservation.ts'
import { releaseRetries } from './retries.ts'
import { escalateStops, preemptForWaiting } from './preemption.ts'

/** Gangs tried again in one tick. */
const GANGS_PER_TICK = 4
const SHAPES_PER_TICK = 4
const RATE_INTERVAL_MS = 1000
/** Part of the earlier average that each second keeps. */
const RATE_KEPT = 0.7

/** Periodic work: repairs indexes, tries gangs again and reports changed demand. */
export function tick (cell: Cell): void {
  cell.fleet.sortDomains()
  updateEntitlement(cell)
  for (const team of cell.teams.teams.values()) cell.updateShare(team)
  updateRates(cell)
  releaseRetries(cell)
  probeQuarantined(cell)
  renewClaims(cell)
  escalateStops(cell)
  preemptForWaiting(cell)
  emptyTargets(cell)
  enforceGrants(cell)
  reclaimShares(cell)
  advanceReservation(cell)
  retryGangs(cell)
  reopenShapes(cell)
  reportDemand(cell)
}

/** Averages the rate of starts of each team once a second. */
function updateRates (cell: Cell): void {
  if (cell.now - cell.ratesAt < RATE_INTERVAL_MS) return
  const seconds = Math.min(10, (cell.now - cell.ratesAt) / 1000)
  cell.ratesAt = cell.now
  for (const team of cell.teams.teams.values()) {
    team.startRate = RATE_KEPT * team.startRate + (1 - RATE_KEPT) * team.startsThisSecond / seconds
    team.startsThisSecond = 0
  }
}

/** Searches are bounded and may miss room, so some blocked shapes are searched for again in turn. */
function reopenShapes (cell: Cell): void {
  let left = SHAPES_PER_TICK
  for (const shape of cell.blockedShapes) {
    if (left === 0) return
    left -= 1
    // The shape goes to the end of the set.
    cell.blockedShapes.delete(shape)
    cell.blockedShapes.add(shape)
    drainForStarved(cell, shape)
    cell.reopen(shape)
  }
}

function retryGangs (cell: Cell): void {
  let tried = 0
  for (const queue of cell.gangQueues) {
    if (tried === GANGS_PER_TICK) return
    if (queue.retryAt > cell.now || queue.head === cell.reservation?.job) continue
    tried += 1
    cell.unblock(queue)
  }
}

function reportDemand (cell: Cell): void {
  updateEntitlement(cell)
  for (const team of cell.changedDemand) {
    const used = { ...team.used }
    const wanted = {
      cpuMillis: used.cpuMillis + team.wanted.cpuMillis,
      memoryMiB: used.memoryMiB + team.wanted.memoryMiB,
      accelerators: used.accelerators + team.wanted.accelerators,
      slots: used.slots + team.wanted.slots,
      connections: used.connections + team.wanted.connections
    }
    cell.emit({ type: 'demand-changed', team: team.name, used, wanted })
  }
  cell.changedDemand.clear()
}
