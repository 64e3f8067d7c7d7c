import assert from 'node:assert/strict'
import { test } from 'node:test'
import { ok } from 'neverthrow'
import { readStoredState } from '../../src/controller/records/read-stored-state.ts'
import { STATE_PREFIX, TARGETS_KEY } from '../../src/controller/records/store-keys.ts'
import type { TargetsRecord, UnsettledTerm } from '../../src/controller/records/store-keys.ts'
import { areCommandsBound } from '../../src/controller/leadership/unsettled-terms.ts'
import type { Store } from '../../src/ports/store.ts'

const REPORTER = { log: () => {}, count: () => {}, observe: () => {} }
const BINDING: UnsettledTerm = { term: 3, leader: { member: 'm1', address: 'm1:1', bindsCommands: true } }
const OLDER: UnsettledTerm = { term: 4, leader: { member: 'm2', address: 'm2:1' } }
const RECORD: TargetsRecord = { ids: ['t1', 't2'], incarnations: { t1: 7, t2: 8 } }

/** A store that holds no more than a record of targets. */
function holding (record: TargetsRecord | undefined): Store {
  const entries = record === undefined ? [] : [{ key: TARGETS_KEY, value: JSON.stringify(record), version: 1 }]
  return {
    call: async (call) => {
      assert.ok(call.type === 'read')
      return ok({ type: 'read', entries: call.prefix === STATE_PREFIX ? entries : [], more: false, version: 1 })
    }
  }
}

const cases: ReadonlyArray<{ readonly what: string, readonly record: TargetsRecord | undefined, readonly unsettled: readonly UnsettledTerm[], readonly expected: readonly string[] | undefined }> = [
  { what: 'nobody has stored targets, so that nobody has commanded any', record: undefined, unsettled: [], expected: [] },
  { what: 'all commands were bound', record: { ...RECORD, unbound: [] }, unsettled: [BINDING], expected: [] },
  { what: 'those to one target were not bound', record: { ...RECORD, unbound: ['t2'] }, unsettled: [BINDING], expected: ['t2'] },
  { what: 'the record is of an older release', record: RECORD, unsettled: [OLDER], expected: undefined },
  { what: 'a leader of an older release has led since, and has not stored its targets', record: { ...RECORD, unbound: [] }, unsettled: [BINDING, OLDER], expected: undefined },
  { what: 'a leader that binds has taken over from one of an older release, and has not stored its targets', record: RECORD, unsettled: [OLDER, BINDING], expected: undefined }
]

for (const { what, record, unsettled, expected } of cases) {
  // TWICE: a successor that takes unbound commands for bound ones counts 3.5 s for a lease of 10 s on a restarted target.
  test(`stored state: guards against the failure that a leader does not learn whose commands may have reached a later incarnation: ${what}`, async () => {
    const state = await readStoredState(holding(record), REPORTER, areCommandsBound(unsettled))
    const restored = state?.events.find((event) => event.type === 'incarnations-restored')
    assert.ok(restored?.type === 'incarnations-restored')
    assert.deepEqual(restored.unbound, expected)
  })
}
