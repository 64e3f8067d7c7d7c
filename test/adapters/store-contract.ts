import assert from 'node:assert/strict'
import type { Compare, Store, StoreResponse, StoreCall } from '../../src/ports/store.ts'
import { FAULT_CASES, runContract, pollUntil, withinTimeout } from './harness.ts'
import type { ContractCase, Harness } from './harness.ts'

/** `longTimeoutStore` and `shortTimeoutStore` are the same store with different call timeouts. */
export type StoreHarness = Harness & { readonly longTimeoutStore: Store, readonly shortTimeoutStore: Store }

async function callStore<T extends StoreCall['type']> (store: Store, call: Extract<StoreCall, { type: T }>): Promise<Extract<StoreResponse, { type: T }>> {
  const result = await store.call(call as StoreCall)
  assert.ok(result.isOk(), `expected a response: ${JSON.stringify(result)}`)
  return result.value as Extract<StoreResponse, { type: T }>
}

function createPut (key: string, value: string, lease?: string): Extract<StoreCall, { type: 'transact' }> {
  return { type: 'transact', compares: [], puts: [{ key, value, lease }], deletes: [] }
}

async function readKeys (store: Store, prefix = ''): Promise<string[]> {
  return (await callStore(store, { type: 'read', prefix })).entries.map((entry) => entry.key)
}

const CASES: readonly ContractCase<StoreHarness>[] = [
  {
    guards: 'of two transactions that create the same key one commits, and the other returns the committed value',
    run: async ({ longTimeoutStore }) => {
      const create = (value: string) => callStore(longTimeoutStore, { ...createPut('groups/1', value), compares: [{ type: 'absent', key: 'groups/1' }] })
      const responses = await Promise.all([create('a'), create('b')])
      const [winner, loser] = responses[0]!.committed ? ['a', responses[1]!] : ['b', responses[0]!]
      assert.deepEqual(responses.map((response) => response.committed).sort(), [false, true])
      assert.deepEqual(loser.current.map((entry) => [entry.key, entry.value]), [['groups/1', winner]])
    }
  },
  {
    guards: 'one failed comparison prevents all writes of a transaction',
    run: async ({ longTimeoutStore }) => {
      const { version } = await callStore(longTimeoutStore, createPut('a', '1'))
      const move = (compares: readonly Compare[]) => callStore(longTimeoutStore, { type: 'transact', compares, puts: [{ key: 'b', value: 'x' }], deletes: ['a'] })
      const present: Compare = { type: 'version', key: 'a', version }
      const failing: Compare[] = [{ ...present, version: version + 1 }, { type: 'value', key: 'a', value: '2' }, { type: 'absent', key: 'a' }]
      for (const compare of failing) assert.equal((await move([present, compare])).committed, false)
      assert.deepEqual(await readKeys(longTimeoutStore), ['a'])
      assert.equal((await move([present, { type: 'value', key: 'a', value: '1' }])).committed, true)
      assert.deepEqual(await readKeys(longTimeoutStore), ['b'])
    }
  },
  {
    guards: 'a paged read returns every key with the prefix once, in order',
    run: async ({ longTimeoutStore }) => {
      for (const key of ['jobs/3', 'jobs/1', 'jobsx', 'jobs/2']) await callStore(longTimeoutStore, createPut(key, 'x'))
      const first = await callStore(longTimeoutStore, { type: 'read', prefix: 'jobs/', limit: 2 })
      const second = await callStore(longTimeoutStore, { type: 'read', prefix: 'jobs/', after: 'jobs/2', limit: 2 })
      assert.deepEqual([first.entries.map((entry) => entry.key), first.more], [['jobs/1', 'jobs/2'], true])
      assert.deepEqual([second.entries.map((entry) => entry.key), second.more], [['jobs/3'], false])
    }
  },
  {
    guards: 'the expiry of a lease deletes its entry and ends a waiting watch',
    run: async ({ longTimeoutStore }) => {
      const { lease } = await callStore(longTimeoutStore, { type: 'grant-lease', ttlMs: 100 })
      const { version } = await callStore(longTimeoutStore, createPut('members/a', 'x', lease))
      const seen = await withinTimeout(callStore(longTimeoutStore, { type: 'watch', prefixes: ['members/'], afterVersion: version, waitMs: 60_000 }))
      assert.deepEqual(seen.changes.map((change) => change.type), ['deleted'])
      assert.equal((await callStore(longTimeoutStore, { type: 'renew-lease', lease })).alive, false)
    }
  },
  {
    guards: 'the revocation of a lease deletes its entry immediately',
    run: async ({ longTimeoutStore }) => {
      const { lease } = await callStore(longTimeoutStore, { type: 'grant-lease', ttlMs: 60_000 })
      await callStore(longTimeoutStore, createPut('members/a', 'x', lease))
      assert.equal((await callStore(longTimeoutStore, { type: 'renew-lease', lease })).alive, true)
      await callStore(longTimeoutStore, { type: 'revoke-lease', lease })
      assert.deepEqual(await readKeys(longTimeoutStore), [])
    }
  },
  {
    guards: 'a waiting watch returns a later write and does not block other calls',
    run: async ({ longTimeoutStore }) => {
      const watch = callStore(longTimeoutStore, { type: 'watch', prefixes: ['a/', 'b/'], afterVersion: 0, waitMs: 60_000 })
      for (const key of ['c/1', 'b/1']) await callStore(longTimeoutStore, createPut(key, 'x'))
      assert.deepEqual((await withinTimeout(watch)).changes.map((change) => change.type === 'put' && change.entry.key), ['b/1'])
    }
  },
  {
    guards: 'a watch without changes ends after its wait time with the newest version',
    run: async ({ longTimeoutStore }) => {
      const { version } = await callStore(longTimeoutStore, createPut('a', '1'))
      const seen = await callStore(longTimeoutStore, { type: 'watch', prefixes: ['b'], afterVersion: version - 1, waitMs: 30 })
      assert.deepEqual(seen, { type: 'watch', changes: [], version, compacted: false })
    }
  },
  {
    guards: 'a value with more bytes than the limit is refused',
    run: async ({ longTimeoutStore }) => {
      const result = await longTimeoutStore.call(createPut('a', 'ä'.repeat(500_001)))
      assert.deepEqual(result._unsafeUnwrapErr(), { reason: 'too-large', verdict: 'not-applied' })
      assert.equal((await callStore(longTimeoutStore, createPut('b', 'x'.repeat(1_000_000)))).committed, true)
      assert.deepEqual(await readKeys(longTimeoutStore), ['b'])
    }
  },
  {
    guards: 'calls that are not transactions never have the verdict may-have-applied',
    run: async ({ longTimeoutStore, setFaults }) => {
      const calls: StoreCall[] = [{ type: 'read', prefix: '' }, { type: 'grant-lease', ttlMs: 100 }]
      await setFaults({ loseAnswers: calls.length })
      for (const call of calls) {
        assert.deepEqual((await longTimeoutStore.call(call))._unsafeUnwrapErr(), { reason: 'unavailable', verdict: 'not-applied' })
      }
    }
  }
]

const FAULT_CONTRACT_CASES: readonly ContractCase<StoreHarness>[] = FAULT_CASES.map(({ guards, faults, reason, outcomeUnknown, takesEffect }) => ({
  guards,
  run: async ({ longTimeoutStore, shortTimeoutStore, setFaults, silenceConnections }) => {
    await callStore(shortTimeoutStore, { type: 'read', prefix: '' })
    await (faults === undefined ? silenceConnections() : setFaults(faults))
    const result = await shortTimeoutStore.call(createPut('a', '1'))
    assert.deepEqual(result._unsafeUnwrapErr(), { reason, verdict: outcomeUnknown ? 'may-have-applied' : 'not-applied' })
    await setFaults({ outage: 'none', delayMs: 0 })
    const seen = await pollUntil(() => readKeys(longTimeoutStore), (found) => (found.length > 0) === takesEffect)
    assert.deepEqual(seen, takesEffect ? ['a'] : [])
    assert.equal((await callStore(shortTimeoutStore, createPut('b', '1'))).committed, true, 'the store works again')
  }
}))

/** Runs the contract of the port `Store` against an implementation. */
export function storeContract (name: string, open: () => Promise<StoreHarness>): void {
  runContract(name, open, [...CASES, ...FAULT_CONTRACT_CASES])
}
