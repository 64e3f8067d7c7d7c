import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { fetch } from 'undici'
import type { Faults } from '../../src/standins/faults.ts'
import type { StandinServer } from '../../src/standins/http-server.ts'

/** Controls the faults of the stand-in behind a port under test. */
export type Harness = {
  readonly setFaults: (faults: Partial<Faults>) => Promise<void>
  /** Makes the open connections unresponsive. */
  readonly silenceConnections: () => Promise<void>
  readonly close: () => Promise<void>
}

/** One test of a contract; `guards` is its title. */
export type ContractCase<H> = { readonly guards: string, readonly run: (harness: H) => Promise<void> }

/** Timeout of calls that are expected to succeed; long, because the machine may be busy. */
export const LONG_TIMEOUT_MS = 10_000
/** Timeout of calls that are expected to get no response. */
export const SHORT_TIMEOUT_MS = 400

/** The faults of every port. `outcomeUnknown`: the caller cannot know the outcome; `takesEffect`: the call takes effect in the end. */
export const FAULT_CASES: readonly { readonly guards: string, readonly faults?: Partial<Faults>, readonly reason: 'unavailable' | 'timeout', readonly outcomeUnknown: boolean, readonly takesEffect: boolean }[] = [
  { guards: 'a refused call has no effect', faults: { outage: 'refuse' }, reason: 'unavailable', outcomeUnknown: false, takesEffect: false },
  { guards: 'a call that hangs times out with an unknown outcome', faults: { outage: 'hang' }, reason: 'timeout', outcomeUnknown: true, takesEffect: false },
  { guards: 'a call whose response is lost has an unknown outcome', faults: { loseAnswers: 1 }, reason: 'unavailable', outcomeUnknown: true, takesEffect: true },
  { guards: 'a call that is handled after its timeout has an unknown outcome', faults: { delayMs: 2 * SHORT_TIMEOUT_MS }, reason: 'timeout', outcomeUnknown: true, takesEffect: true },
  { guards: 'an unresponsive connection fails only one call, and later calls reach the peer', reason: 'timeout', outcomeUnknown: true, takesEffect: false }
]

/** Runs each case with a new harness. */
export function runContract<H extends Harness> (name: string, open: () => Promise<H>, cases: readonly ContractCase<H>[]): void {
  for (const { guards, run } of cases) {
    test(`${name}: ${guards}`, async () => {
      const harness = await open()
      await run(harness).finally(harness.close)
    })
  }
}

/** Creates a harness that sets faults over the admin path of the server, on separate connections. `adapters` are closed with the server. */
export function createHttpHarness (server: StandinServer, ...adapters: readonly { close: () => void }[]): Harness {
  const postAdmin = async (name: string, body: unknown) => {
    const response = await fetch(`${server.address}/admin/${name}`, { method: 'POST', body: JSON.stringify(body) })
    if (response.status !== 200) throw new Error(`admin path ${name} responded with status ${response.status}`)
  }
  return {
    setFaults: (faults) => postAdmin('faults', faults),
    silenceConnections: () => postAdmin('silence', {}),
    close: () => {
      for (const adapter of adapters) adapter.close()
      return server.close()
    }
  }
}

/** Returns the result of a call that must end long before its `waitMs` of one minute; throws after `LONG_TIMEOUT_MS`. */
export async function withinTimeout<T> (call: Promise<T>): Promise<T> {
  const ended = new AbortController()
  const timedOut = sleep(LONG_TIMEOUT_MS, undefined, { signal: ended.signal }).then(() => { throw new Error('the call did not end within the timeout') })
  return Promise.race([call, timedOut]).finally(() => ended.abort())
}

/** Repeats `read` until `accept` returns true; returns the last value, at the latest after five seconds. */
export async function pollUntil<T> (read: () => Promise<T>, accept: (value: T) => boolean): Promise<T> {
  const deadline = Date.now() + 5_000
  let value = await read()
  while (!accept(value) && Date.now() < deadline) {
    await sleep(10)
    value = await read()
  }
  return value
}

/** Creates a counter that sums the counts of each reason. */
export function createCounter (): { readonly counted: Record<string, number>, readonly count: (counter: string, reason: string) => void } {
  const counted: Record<string, number> = {}
  return { counted, count: (_counter, reason) => { counted[reason] = (counted[reason] ?? 0) + 1 } }
}
