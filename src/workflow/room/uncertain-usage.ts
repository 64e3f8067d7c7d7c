import type { CellState } from '../cell-state.ts'
import { haveLeasesExpired } from '../takeover/expired-leases.ts'
import type { Demand } from '../job.ts'
import { NO_DEMAND, addDemands, maxDemand } from '../job.ts'
import { findUnlistedTargets } from '../takeover/unlisted-targets.ts'

/**
 * Computes the maximum usage of unknown runs: those of a previous owner on targets that have not been listed yet, and those
 * of unknown jobs. Until these runs are known, all of them count towards the usage of every organisation, so that none
 * exceeds its maximum.
 */
export function computeUncertainUsage (state: CellState): Demand {
  let usage = state.earlierRunsPossible ? computeUnlistedUsage(state) : NO_DEMAND
  for (const target of state.targets.values()) {
    if (target.unknownRunCount > 0 && !haveLeasesExpired(state, target)) usage = addDemands(usage, target.entry.capacity)
  }
  return usage
}

function computeUnlistedUsage (state: CellState): Demand {
  const capacities = [...state.targets.values()].map(({ entry }) => entry.capacity)
  const largest = capacities.reduce(maxDemand, NO_DEMAND)
  let usage = NO_DEMAND
  for (const id of findUnlistedTargets(state)) usage = addDemands(usage, state.targets.get(id)?.entry.capacity ?? largest)
  return usage
}
