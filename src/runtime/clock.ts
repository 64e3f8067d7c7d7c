/** A clock in milliseconds since 1970 that never goes back and ignores changes of the wall clock after the start. */
export type Clock = { readonly now: () => number }

/**
 * Creates a clock that adds the time on the process's monotonic clock to the wall clock at the start.
 *
 * @example
 * const clock = createMonotonicClock()
 * clock.now()
 */
export function createMonotonicClock (): Clock {
  const wallStartMs = Date.now()
  const monotonicStartMs = performance.now()
  return { now: () => wallStartMs + (performance.now() - monotonicStartMs) }
}
