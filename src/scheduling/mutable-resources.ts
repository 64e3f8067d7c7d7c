import type { ResourceName, Resources } from '../model/resources.ts'

/** Resource amounts that are changed in place; used for totals that change with each start and end. */
export type Amounts = { -readonly [Name in ResourceName]: number }

/**
 * A changeable amount of nothing.
 *
 * @example
 * increase(noAmounts(), task.resources, 1)
 */
export function noAmounts (): Amounts {
  return { cpuMillis: 0, memoryMiB: 0, accelerators: 0, slots: 0, connections: 0 }
}

/**
 * Adds `amount` times `factor` to `total` in place.
 *
 * @example
 * increase(team.used, task.booked, -1) // releases the booking
 */
export function increase (total: Amounts, amount: Resources, factor: number): void {
  total.cpuMillis += amount.cpuMillis * factor
  total.memoryMiB += amount.memoryMiB * factor
  total.accelerators += amount.accelerators * factor
  total.slots += amount.slots * factor
  total.connections += amount.connections * factor
}

/**
 * Whether `wanted` fits beside `used` below `limit`, without allocating the sum.
 *
 * @example
 * fitsBeside(task.resources, team.used, team.grant)
 */
export function fitsBeside (wanted: Resources, used: Resources, limit: Resources): boolean {
  return used.cpuMillis + wanted.cpuMillis <= limit.cpuMillis &&
    used.memoryMiB + wanted.memoryMiB <= limit.memoryMiB &&
    used.accelerators + wanted.accelerators <= limit.accelerators &&
    used.slots + wanted.slots <= limit.slots &&
    used.connections + wanted.connections <= limit.connections
}

/**
 * Largest fraction of `total` that `amount` takes in any resource; 0 where there is none of a resource.
 *
 * @example
 * dominantShare(team.used, cell) // 0.25
 */
export function dominantShare (amount: Resources, total: Resources): number {
  return Math.max(
    fraction(amount.cpuMillis, total.cpuMillis),
    fraction(amount.memoryMiB, total.memoryMiB),
    fraction(amount.accelerators, total.accelerators),
    fraction(amount.slots, total.slots),
    fraction(amount.connections, total.connections)
  )
}

function fraction (amount: number, total: number): number {
  return total > 0 ? amount / total : 0
}

/**
 * Smaller amount in each resource.
 *
 * @example
 * lesser(task.resources, target.capacity)
 */
export function lesser (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: Math.min(left.cpuMillis, right.cpuMillis),
    memoryMiB: Math.min(left.memoryMiB, right.memoryMiB),
    accelerators: Math.min(left.accelerators, right.accelerators),
    slots: Math.min(left.slots, right.slots),
    connections: Math.min(left.connections, right.connections)
  }
}

/**
 * Number of tasks of the shape `wanted` that fit into `free`.
 *
 * @example
 * timesFitting(task.resources, target.capacity) // 8
 */
export function timesFitting (wanted: Resources, free: Resources): number {
  return Math.max(0, Math.min(
    times(wanted.cpuMillis, free.cpuMillis),
    times(wanted.memoryMiB, free.memoryMiB),
    times(wanted.accelerators, free.accelerators),
    times(wanted.slots, free.slots),
    times(wanted.connections, free.connections)
  ))
}

function times (wanted: number, free: number): number {
  return wanted > 0 ? Math.floor(free / wanted) : Number.POSITIVE_INFINITY
}
