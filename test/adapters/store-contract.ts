import assert from 'node:assert/strict'
import type { Compare, Store, StoreResponse, StoreCall } from '../../src/ports/store.ts'
import { FAULT_CASES, contract, eventually, soon } from './harness.ts'
import type { Case, Harness } from './harness.ts'

/** `patient` and `impatient` are the same store with different call timeouts. */
export type StoreHarness = Harness & { readonly patient: Store, readonly impatient: Store }

async function ask<T extends StoreCall['type']> (store: Store, call: Extract<StoreCall, { type: T }>): Promise<Extract<StoreResponse, { type: T }>> {
  const result = await store.call(call as StoreCall)
  assert.ok(result.isOk(), `expected an answer: ${JSON.stringify(result)}`)
  return result.value as Extract<StoreResponse, { type: T }>
}

function put (key: string, value: string, lease?: string): Extract<StoreCall, { type: 'transact' }> {
  return { type: 'transact', compares: [], puts: [{ key, value, lease }], deletes: [] }
}

async function keys (store: Store, prefix = ''): Promise<string[]> {
  return (await ask(store, { type: 'read', prefix })).entries.map((entry) => entry.key)
}

const CASES: readonly Case<StoreHarness>[] = [
  {
    guards: 'of two creations of a key one wins, and the loser sees the winner',
    run: async ({ patient }) => {
      const create = (value: string) => ask(patient, { ...put('groups/1', value), compares: [{ type: 'absent', key: 'groups/1' }] })
      const answers = await Promise.all([create('a'), create('b')])
      const [winner, loser] = answers[0]!.committed ? ['a', answers[1]!] : ['b', answers[0]!]
      assert.deepEqual(answers.map((answer) => answer.committed).sort(), [false, true])
      assert.deepEqual(loser.current.map((entry) => [entry.key, entry.value]), [['groups/1', winner]])
    }
  },
  {
    guards: 'one failing comparison prevents all writes',
    run: async ({ patient }) => {
      const { version } = await ask(patient, put('a', '1'))
      const move = (compares: readonly Compare[]) => ask(patient, { type: 'transact', compares, puts: [{ key: 'b', value: 'x' }], deletes: ['a'] })
      const present: Compare = { type: 'version', key: 'a', version }
      const failing: Compare[] = [{ ...present, version: version + 1 }, { type: 'value', key: 'a', value: '2' }, { type: 'absent', key: 'a' }]
      for (const compare of failing) assert.equal((await move([present, compare])).committed, false)
      assert.deepEqual(await keys(patient), ['a'])
      assert.equal((await move([present, { type: 'value', key: 'a', value: '1' }])).committed, true)
      assert.deepEqual(await keys(patient), ['b'])
    }
  },
  {
    guards: 'a read in pages gives every key below the prefix once, in order',
    run: async ({ patient }) => {
      for (const key of ['jobs/3', 'jobs/1', 'jobsx', 'jobs/2']) await ask(patient, put(key, 'x'))
      const first = await ask(patient, { type: 'read', prefix: 'jobs/', limit: 2 })
      const second = await ask(patient, { type: 'read', prefix: 'jobs/', after: 'jobs/2', limit: 2 })
      assert.deepEqual([first.entries.map((entry) => entry.key), first.more], [['jobs/1', 'jobs/2'], true])
      assert.deepEqual([second.entries.map((entry) => entry.key), second.more], [['jobs/3'], false])
    }
  },
  {
    guards: 'the end of a lease deletes its entry and wakes a watch',
    run: async ({ patient }) => {
      const { lease } = await ask(patient, { type: 'grant-lease', ttlMs: 100 })
      const { version } = await ask(patient, put('members/a', 'x', lease))
      const seen = await soon(ask(patient, { type: 'watch', prefixes: ['members/'], afterVersion: version, waitMs: 60_000 }))
      assert.deepEqual(seen.changes.map((change) => change.type), ['deleted'])
      assert.equal((await ask(patient, { type: 'renew-lease', lease })).alive, false)
    }
  },
  {
    guards: 'a revoked lease deletes its entry at once',
    run: async ({ patient }) => {
      const { lease } = await ask(patient, { type: 'grant-lease', ttlMs: 60_000 })
      await ask(patient, put('members/a', 'x', lease))
      assert.equal((await ask(patient, { type: 'renew-lease', lease })).alive, true)
      await ask(patient, { type: 'revoke-lease', lease })
      assert.deepEqual(await keys(patient), [])
    }
  },
  {
    guards: 'a waiting watch gets a later write, and does not hold up other calls',
    run: async ({ patient }) => {
      const watch = ask(patient, { type: 'watch', prefixes: ['a/', 'b/'], afterVersion: 0, waitMs: 60_000 })
      for (const key of ['c/1', 'b/1']) await ask(patient, put(key, 'x'))
      assert.deepEqual((await soon(watch)).changes.map((change) => change.type === 'put' && change.entry.key), ['b/1'])
    }
  },
  {
    guards: 'a watch without changes ends by itself with the newest version',
    run: async ({ patient }) => {
      const { version } = await ask(patient, put('a', '1'))
      const seen = await ask(patient, { type: 'watch', prefixes: ['b'], afterVersion: version - 1, waitMs: 30 })
      assert.deepEqual(seen, { type: 'watch', changes: [], version, compacted: false })
    }
  },
  {
    guards: 'a value above the limit, counted in bytes, is refused',
    run: async ({ patient }) => {
      const result = await patient.call(put('a', 'ä'.repeat(500_001)))
      assert.deepEqual(result._unsafeUnwrapErr(), { reason: 'too-large', verdict: 'not-applied' })
      assert.equal((await ask(patient, put('b', 'x'.repeat(1_000_000)))).committed, true)
      assert.deepEqual(await keys(patient), ['b'])
    }
  },
  {
    guards: 'only a transaction may have the verdict may-have-applied',
    run: async ({ patient, set }) => {
      const calls: StoreCall[] = [{ type: 'read', prefix: '' }, { type: 'grant-lease', ttlMs: 100 }]
      await set({ loseAnswers: calls.length })
      for (const call of calls) {
        assert.deepEqual((await patient.call(call))._unsafeUnwrapErr(), { reason: 'unavailable', verdict: 'not-applied' })
      }
    }
  }
]

const FAULTS: readonly Case<StoreHarness>[] = FAULT_CASES.map(({ guards, faults, reason, open, effect }) => ({
  guards,
  run: async ({ patient, impatient, set, silence }) => {
    await ask(impatient, { type: 'read', prefix: '' })
    await (faults === undefined ? silence() : set(faults))
    const result = await impatient.call(put('a', '1'))
    assert.deepEqual(result._unsafeUnwrapErr(), { reason, verdict: open ? 'may-have-applied' : 'not-applied' })
    await set({ outage: 'none', delayMs: 0 })
    const seen = await eventually(() => keys(patient), (found) => (found.length > 0) === effect)
    assert.deepEqual(seen, effect ? ['a'] : [])
    assert.equal((await ask(impatient, put('b', '1'))).committed, true, 'the store works again')
  }
}))

/** Runs the contract of the port `Store` against an implementation. */
export function storeContract (name: string, open: () => Promise<StoreHarness>): void {
  contract(name, open, [...CASES, ...FAULTS])
}
