import assert from 'node:assert/strict'
import type { HostList } from '../../src/ports/host-list.ts'
import { clockNow } from '../../src/standins/clock.ts'
import { InMemoryHostList } from '../../src/standins/host-list.ts'
import { createTarget } from '../standins/fixtures.ts'
import { FAULT_CASES, runContract } from './harness.ts'
import type { ContractCase, Harness } from './harness.ts'

/** `longTimeoutList` and `shortTimeoutList` read the same `list` with different timeouts. */
export type HostListHarness = Harness & { readonly longTimeoutList: HostList, readonly shortTimeoutList: HostList, readonly list: InMemoryHostList }

const [FIRST, SECOND] = [createTarget('a', 'http://127.0.0.1:9001'), createTarget('b', 'http://127.0.0.1:9002')]

const CASES: readonly ContractCase<HostListHarness>[] = [
  {
    guards: 'the list is complete and contains its age and the hosts that are leaving',
    run: async ({ longTimeoutList, list }) => {
      list.setLag(0)
      list.setState(clockNow(), 'b', 'leaving')
      assert.deepEqual((await longTimeoutList.read())._unsafeUnwrap(), { targets: [FIRST, { ...SECOND, state: 'leaving' }], ageMs: 0 })
    }
  },
  {
    guards: 'a list that lags behind does not contain newer changes',
    run: async ({ longTimeoutList, list }) => {
      list.remove(clockNow(), 'a')
      assert.deepEqual((await longTimeoutList.read())._unsafeUnwrap(), { targets: [FIRST, SECOND], ageMs: 60_000 })
    }
  },
  ...FAULT_CASES.map(({ guards, faults, reason }): ContractCase<HostListHarness> => ({
    guards,
    run: async ({ longTimeoutList, shortTimeoutList, setFaults, silenceConnections }) => {
      // Only a timeout is due after a short time; a busy machine must not turn another failure into one.
      const hosts = reason === 'timeout' ? shortTimeoutList : longTimeoutList
      assert.ok((await hosts.read()).isOk())
      await (faults === undefined ? silenceConnections() : setFaults(faults))
      assert.deepEqual((await hosts.read())._unsafeUnwrapErr(), { reason })
      await setFaults({ outage: 'none', delayMs: 0 })
      assert.ok((await hosts.read()).isOk())
    }
  }))
]

/** Runs the contract of the port `HostList` against an implementation. */
export function hostListContract (name: string, open: (list: InMemoryHostList) => Promise<Omit<HostListHarness, 'list'>>): void {
  runContract(name, async () => {
    const list = InMemoryHostList.create({ targets: [FIRST, SECOND], lagMs: 60_000 })
    return { ...await open(list), list }
  }, CASES)
}
