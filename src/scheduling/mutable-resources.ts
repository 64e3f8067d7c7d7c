import type { ResourceName, Resources } from '../model/resources.ts'

/** Resource amounts that are changed in place; used for totals that change whenever a task starts or ends. */
export type MutableResources = { -readonly [Name in ResourceName]: number }

/**
 * Creates mutable resources with all amounts 0.
 *
 * @example
 * addScaled(createZeroResources(), task.resources, 1)
 */
export function createZeroResources (): MutableResources {
  return { cpuMillis: 0, memoryMiB: 0, accelerators: 0, slots: 0, connections: 0 }
}

/**
 * Adds `amount` times `factor` to `total` in place.
 *
 * @example
 * addScaled(team.used, task.booked, -1) // releases the booking
 */
export function addScaled (total: MutableResources, amount: Resources, factor: number): void {
  total.cpuMillis += amount.cpuMillis * factor
  total.memoryMiB += amount.memoryMiB * factor
  total.accelerators += amount.accelerators * factor
  total.slots += amount.slots * factor
  total.connections += amount.connections * factor
}

/**
 * Whether `used` plus `wanted` stays within `limit`; does not allocate the sum.
 *
 * @example
 * fitsWithinLimit(task.resources, team.used, team.grant)
 */
export function fitsWithinLimit (wanted: Resources, used: Resources, limit: Resources): boolean {
  return used.cpuMillis + wanted.cpuMillis <= limit.cpuMillis &&
    used.memoryMiB + wanted.memoryMiB <= limit.memoryMiB &&
    used.accelerators + wanted.accelerators <= limit.accelerators &&
    used.slots + wanted.slots <= limit.slots &&
    used.connections + wanted.connections <= limit.connections
}

/**
 * Computes the dominant share: the largest fraction of `total` that `amount` has in any resource. A resource of which
 * `total` has none counts as 0.
 *
 * @example
 * computeDominantShare(team.used, state.fleet.capacity) // 0.25
 */
export function computeDominantShare (amount: Resources, total: Resources): number {
  return Math.max(
    computeFraction(amount.cpuMillis, total.cpuMillis),
    computeFraction(amount.memoryMiB, total.memoryMiB),
    computeFraction(amount.accelerators, total.accelerators),
    computeFraction(amount.slots, total.slots),
    computeFraction(amount.connections, total.connections)
  )
}

function computeFraction (amount: number, total: number): number {
  return total > 0 ? amount / total : 0
}

/**
 * Returns the smaller amount in each resource.
 *
 * @example
 * minResources(task.resources, target.capacity)
 */
export function minResources (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: Math.min(left.cpuMillis, right.cpuMillis),
    memoryMiB: Math.min(left.memoryMiB, right.memoryMiB),
    accelerators: Math.min(left.accelerators, right.accelerators),
    slots: Math.min(left.slots, right.slots),
    connections: Math.min(left.connections, right.connections)
  }
}

/**
 * Counts how many tasks that each need `wanted` fit into `free`.
 *
 * @example
 * countFitting(task.resources, target.capacity) // 8
 */
export function countFitting (wanted: Resources, free: Resources): number {
  return Math.max(0, Math.min(
    countFittingUnits(wanted.cpuMillis, free.cpuMillis),
    countFittingUnits(wanted.memoryMiB, free.memoryMiB),
    countFittingUnits(wanted.accelerators, free.accelerators),
    countFittingUnits(wanted.slots, free.slots),
    countFittingUnits(wanted.connections, free.connections)
  ))
}

function countFittingUnits (wanted: number, free: number): number {
  return wanted > 0 ? Math.floor(free / wanted) : Number.POSITIVE_INFINITY
}
