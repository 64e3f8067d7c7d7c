/**
 * Amounts of the resources that a host provides or a task uses.
 * Units: thousandths of a core, mebibytes, and whole accelerators, slots and connections.
 */
export type Resources = {
  readonly cpuMillis: number
  readonly memoryMiB: number
  readonly accelerators: number
  readonly slots: number
  readonly connections: number
}

/** Name of a resource. */
export type ResourceName = keyof Resources

/** Names of all resources. */
export const RESOURCE_NAMES: readonly ResourceName[] = ['cpuMillis', 'memoryMiB', 'accelerators', 'slots', 'connections']

/** An amount of zero in every field. */
export const NO_RESOURCES: Resources = { cpuMillis: 0, memoryMiB: 0, accelerators: 0, slots: 0, connections: 0 }

/**
 * Returns the sum of two amounts.
 *
 * @example
 * add(used, task.resources)
 */
export function add (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis + right.cpuMillis,
    memoryMiB: left.memoryMiB + right.memoryMiB,
    accelerators: left.accelerators + right.accelerators,
    slots: left.slots + right.slots,
    connections: left.connections + right.connections
  }
}

/**
 * Returns the difference of two amounts; fields may become negative.
 *
 * @example
 * subtract(capacity, used)
 */
export function subtract (left: Resources, right: Resources): Resources {
  return {
    cpuMillis: left.cpuMillis - right.cpuMillis,
    memoryMiB: left.memoryMiB - right.memoryMiB,
    accelerators: left.accelerators - right.accelerators,
    slots: left.slots - right.slots,
    connections: left.connections - right.connections
  }
}

/**
 * Multiplies an amount by an integer or fractional factor.
 *
 * @example
 * scale(task.resources, job.count)
 */
export function scale (amount: Resources, factor: number): Resources {
  return {
    cpuMillis: amount.cpuMillis * factor,
    memoryMiB: amount.memoryMiB * factor,
    accelerators: amount.accelerators * factor,
    slots: amount.slots * factor,
    connections: amount.connections * factor
  }
}

/**
 * Returns whether no field of `wanted` exceeds the field of `free`.
 *
 * @example
 * fits(task.resources, subtract(capacity, used))
 */
export function fits (wanted: Resources, free: Resources): boolean {
  return wanted.cpuMillis <= free.cpuMillis &&
    wanted.memoryMiB <= free.memoryMiB &&
    wanted.accelerators <= free.accelerators &&
    wanted.slots <= free.slots &&
    wanted.connections <= free.connections
}
