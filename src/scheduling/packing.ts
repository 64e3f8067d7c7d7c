import type { Resources } from '../model/resources.ts'
import type { Cell } from './scheduler-state.ts'
import type { TargetState } from './fleet.ts'

/** Weight of a whole accelerator host in the scores, so that accelerators are kept for work that needs them. */
const ACCELERATOR_WEIGHT = 4

/**
 * The candidate that the packing policy prefers, or undefined when there is none.
 *
 * @example
 * chooseTarget(cell, task.resources, cell.fleet.search(search))
 */
export function chooseTarget (cell: Cell, wanted: Resources, candidates: readonly TargetState[]): TargetState | undefined {
  let best: TargetState | undefined
  let bestScore = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    const score = scoreOf(cell, wanted, candidate)
    if (score < bestScore) {
      best = candidate
      bestScore = score
    }
  }
  return best
}

function scoreOf (cell: Cell, wanted: Resources, target: TargetState): number {
  switch (cell.options.packingPolicy) {
    case 'first-fit': return 0
    case 'best-fit': return remainder(wanted, target)
    case 'dot-product': return -alignment(wanted, target)
    case 'least-fragmentation': return stranded(wanted, target)
  }
}

/** Parts of the capacity that stay free, summed over the resources. */
function remainder (wanted: Resources, { free, target: { capacity } }: TargetState): number {
  return part(free.cpuMillis - wanted.cpuMillis, capacity.cpuMillis) +
    part(free.memoryMiB - wanted.memoryMiB, capacity.memoryMiB) +
    part(free.slots - wanted.slots, capacity.slots) +
    part(free.connections - wanted.connections, capacity.connections) +
    ACCELERATOR_WEIGHT * part(free.accelerators - wanted.accelerators, capacity.accelerators)
}

/** Dot product of what is wanted and what is free, both as parts of the capacity. */
function alignment (wanted: Resources, { free, target: { capacity } }: TargetState): number {
  return part(wanted.cpuMillis, capacity.cpuMillis) * part(free.cpuMillis, capacity.cpuMillis) +
    part(wanted.memoryMiB, capacity.memoryMiB) * part(free.memoryMiB, capacity.memoryMiB) +
    part(wanted.slots, capacity.slots) * part(free.slots, capacity.slots) +
    part(wanted.connections, capacity.connections) * part(free.connections, capacity.connections) +
    part(wanted.accelerators, capacity.accelerators) * part(free.accelerators, capacity.accelerators) -
    (wanted.accelerators === 0 ? ACCELERATOR_WEIGHT * part(free.accelerators, capacity.accelerators) : 0)
}

/** How uneven the parts that stay free are: one resource used up strands the others. */
function stranded (wanted: Resources, { free, target: { capacity } }: TargetState): number {
  const cpu = part(free.cpuMillis - wanted.cpuMillis, capacity.cpuMillis)
  const memory = part(free.memoryMiB - wanted.memoryMiB, capacity.memoryMiB)
  const slots = part(free.slots - wanted.slots, capacity.slots)
  const accelerators = part(free.accelerators - wanted.accelerators, capacity.accelerators)
  const least = Math.min(cpu, memory, slots)
  const unusable = cpu + memory + slots - 3 * least
  const accelerated = capacity.accelerators > 0 ? ACCELERATOR_WEIGHT * Math.max(0, accelerators - least) : 0
  // Half of the usable rest counts too, so that an empty target is not preferred to one that this task fills.
  return unusable + accelerated + least / 2
}

function part (amount: number, capacity: number): number {
  return capacity > 0 ? amount / capacity : 0
}
