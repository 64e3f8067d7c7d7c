import { performance } from 'node:perf_hooks'

/**
 * The current time in milliseconds since 1970, from a monotonic clock: it never steps back within a process, so leases
 * do not depend on corrections of the wall clock.
 *
 * @example
 * const startedAt = clockNow()
 */
export function clockNow (): number {
  return performance.timeOrigin + performance.now()
}
