import type { Demand } from '../job.ts'

/** Parts of the cell that a demand takes: of its processors, and of the resource of which it takes the largest part. */
export type CellShares = { readonly processors: number, readonly dominant: number }

/**
 * Computes the parts of a capacity that a demand takes, each from 0 to 1. A resource of which there is nothing counts as 0.
 *
 * @example
 * computeCellShares({ cpuMillis: 2_000, memoryMiB: 600, accelerators: 0 }, { cpuMillis: 4_000, memoryMiB: 800, accelerators: 0 })
 * // { processors: 0.5, dominant: 0.75 }
 */
export function computeCellShares (demand: Demand, capacity: Demand): CellShares {
  const processors = computePart(demand.cpuMillis, capacity.cpuMillis)
  return { processors, dominant: Math.max(processors, computePart(demand.memoryMiB, capacity.memoryMiB), computePart(demand.accelerators, capacity.accelerators)) }
}

function computePart (used: number, available: number): number {
  return available > 0 ? Math.min(1, Math.max(0, used) / available) : 0
}
