import { delay } from './delay.ts'

/**
 * Waits for a promise for at most the given time in milliseconds; undefined if it has not settled by then.
 *
 * @example
 * const response = await waitAtMost(store.call(call), 400)
 */
export async function waitAtMost<Value> (promise: Promise<Value>, ms: number): Promise<Value | undefined> {
  const timer = new AbortController()
  try {
    return await Promise.race([promise, delay(Math.max(0, ms), timer.signal).then(() => undefined)])
  } finally {
    timer.abort()
  }
}
