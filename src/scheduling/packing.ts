import type { Resources } from '../model/resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { TargetState } from './fleet.ts'

/** Weight of free accelerators in the scores, so that accelerators are kept for work that needs them. */
const ACCELERATOR_WEIGHT_FACTOR = 4

/**
 * Returns the candidate that the packing policy prefers, or undefined when there is none.
 *
 * @example
 * chooseTarget(state, task.resources, state.fleet.search(search))
 */
export function chooseTarget (state: SchedulerState, wanted: Resources, candidates: readonly TargetState[]): TargetState | undefined {
  let best: TargetState | undefined
  let bestScore = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    const score = computeScore(state, wanted, candidate)
    if (score < bestScore) {
      best = candidate
      bestScore = score
    }
  }
  return best
}

function computeScore (state: SchedulerState, wanted: Resources, target: TargetState): number {
  switch (state.options.packingPolicy) {
    case 'first-fit': return 0
    case 'best-fit': return sumFreeRatios(wanted, target)
    case 'dot-product': return -computeDotProduct(wanted, target)
    case 'least-fragmentation': return computeFragmentation(wanted, target)
  }
}

/** Sums the fractions of the capacity that stay free over the resources. */
function sumFreeRatios (wanted: Resources, { free, target: { capacity } }: TargetState): number {
  return computeRatio(free.cpuMillis - wanted.cpuMillis, capacity.cpuMillis) +
    computeRatio(free.memoryMiB - wanted.memoryMiB, capacity.memoryMiB) +
    computeRatio(free.slots - wanted.slots, capacity.slots) +
    computeRatio(free.connections - wanted.connections, capacity.connections) +
    ACCELERATOR_WEIGHT_FACTOR * computeRatio(free.accelerators - wanted.accelerators, capacity.accelerators)
}

/** Computes the dot product of the wanted and the free amounts, both as fractions of the capacity. */
function computeDotProduct (wanted: Resources, { free, target: { capacity } }: TargetState): number {
  return computeRatio(wanted.cpuMillis, capacity.cpuMillis) * computeRatio(free.cpuMillis, capacity.cpuMillis) +
    computeRatio(wanted.memoryMiB, capacity.memoryMiB) * computeRatio(free.memoryMiB, capacity.memoryMiB) +
    computeRatio(wanted.slots, capacity.slots) * computeRatio(free.slots, capacity.slots) +
    computeRatio(wanted.connections, capacity.connections) * computeRatio(free.connections, capacity.connections) +
    computeRatio(wanted.accelerators, capacity.accelerators) * computeRatio(free.accelerators, capacity.accelerators) -
    (wanted.accelerators === 0 ? ACCELERATOR_WEIGHT_FACTOR * computeRatio(free.accelerators, capacity.accelerators) : 0)
}

/** Computes how uneven the fractions that stay free are: when one resource is used up, the others cannot be used. */
function computeFragmentation (wanted: Resources, { free, target: { capacity } }: TargetState): number {
  const cpu = computeRatio(free.cpuMillis - wanted.cpuMillis, capacity.cpuMillis)
  const memory = computeRatio(free.memoryMiB - wanted.memoryMiB, capacity.memoryMiB)
  const slots = computeRatio(free.slots - wanted.slots, capacity.slots)
  const accelerators = computeRatio(free.accelerators - wanted.accelerators, capacity.accelerators)
  const least = Math.min(cpu, memory, slots)
  const unusable = cpu + memory + slots - 3 * least
  const accelerated = capacity.accelerators > 0 ? ACCELERATOR_WEIGHT_FACTOR * Math.max(0, accelerators - least) : 0
  // Half of the usable remainder is added, so that an empty target is not preferred to one that this task fills.
  return unusable + accelerated + least / 2
}

function computeRatio (amount: number, capacity: number): number {
  return capacity > 0 ? amount / capacity : 0
}
