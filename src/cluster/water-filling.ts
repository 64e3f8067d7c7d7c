import { RESOURCE_NAMES, NO_RESOURCES } from '../model/resources.ts'
import type { ResourceName, Resources } from '../model/resources.ts'

/**
 * Divides whole units by max-min fairness: no share exceeds its need, and no unit is left over while a need is unmet.
 *
 * @example
 * waterFill(10, [2, 9, 9]) // [2, 4, 4]
 */
export function waterFill (available: number, needs: readonly number[]): readonly number[] {
  const order = needs.map((need, index) => ({ need, index })).sort((remaining, right) => remaining.need - right.need)
  const shares = needs.map(() => 0)
  let left = Math.max(0, available)
  order.forEach(({ need, index }, position) => {
    const share = Math.min(need, Math.floor(left / (order.length - position)))
    shares[index] = share
    left -= share
  })
  return shares
}

/** Creates an amount by computing the number of each resource. */
export function createResources (value: (name: ResourceName) => number): Resources {
  const amount = { ...NO_RESOURCES }
  for (const name of RESOURCE_NAMES) amount[name] = value(name)
  return amount
}

/** Returns the smaller number of each resource. */
export function minResources (left: Resources, right: Resources): Resources {
  return createResources((name) => Math.min(left[name], right[name]))
}

/** Returns the larger number of each resource. */
export function maxResources (left: Resources, right: Resources): Resources {
  return createResources((name) => Math.max(left[name], right[name]))
}

/** Whether two amounts are equal in every resource. */
export function equalResources (left: Resources, right: Resources): boolean {
  return RESOURCE_NAMES.every((name) => left[name] === right[name])
}
