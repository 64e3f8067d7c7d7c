import type { CellState } from './cell-state.ts'
import type { Demand } from './job.ts'
import { NO_DEMAND, sum } from './job.ts'

/**
 * Most that runs of an earlier owner may take on targets that have not been listed yet or list runs of unknown jobs.
 * Until these runs are known, each organisation is treated as if all of them were its own, so that none exceeds its
 * maximum.
 */
export function uncertainUsage (state: CellState): Demand {
  let usage = state.earlierRunsPossible ? unlistedUsage(state) : NO_DEMAND
  for (const { unknownRuns, entry } of state.targets.values()) {
    if (unknownRuns > 0) usage = sum(usage, entry.capacity)
  }
  return usage
}

function unlistedUsage (state: CellState): Demand {
  const capacities = [...state.targets.values()].map(({ entry }) => entry.capacity)
  const largest = capacities.reduce(larger, NO_DEMAND)
  let usage = NO_DEMAND
  for (const id of new Set([...state.storedTargets, ...state.targets.keys()])) {
    const target = state.targets.get(id)
    if (target?.listed !== true) usage = sum(usage, target?.entry.capacity ?? largest)
  }
  return usage
}

function larger (left: Demand, right: Demand): Demand {
  return {
    cpuMillis: Math.max(left.cpuMillis, right.cpuMillis),
    memoryMiB: Math.max(left.memoryMiB, right.memoryMiB),
    accelerators: Math.max(left.accelerators, right.accelerators)
  }
}
