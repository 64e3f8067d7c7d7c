import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import type { MemberResponse } from '../../../src/controller/member-call.ts'
import { fitsMessage, shortenResponse } from '../../../src/controller/store-detour/message-limit.ts'
import { judgeAnswer, mayRepeat } from '../../../src/controller/store-detour/proxy-answer.ts'
import { isStoreCall } from '../../../src/controller/store-detour/store-call-guards.ts'
import type { StoreCall, StoreEntry } from '../../../src/ports/store.ts'

const WRITE: StoreCall = { type: 'transact', compares: [{ type: 'absent', key: 'a' }], puts: [{ key: 'a', value: '1' }], deletes: [] }
const READ: StoreCall = { type: 'read', prefix: 'a' }
const UNKNOWN = 'may-have-applied'

const answers: ReadonlyArray<{ readonly guards: string, readonly answer: unknown, readonly failure?: 'timeout' | 'unavailable' | 'rejected', readonly outcome: string, readonly verdict?: string }> = [
  { guards: 'a response of the store is lost', answer: { type: 'store-response', response: { type: 'transact', committed: true, current: [], version: 3 } }, outcome: 'served' },
  { guards: 'a proxy that has refused a call is waited for', answer: { type: 'store-call-refused', reason: 'busy' }, outcome: 'refused', verdict: 'not-applied' },
  { guards: 'a proxy that has lost the store too is kept', answer: { type: 'store-failure', failure: { reason: 'unavailable', verdict: 'not-applied' }, storeResponds: false }, outcome: 'failed', verdict: 'not-applied' },
  { guards: 'a write that the proxy has sent without a response counts as not applied', answer: { type: 'store-failure', failure: { reason: 'timeout', verdict: UNKNOWN }, storeResponds: false }, outcome: 'failed', verdict: UNKNOWN },
  { guards: 'a record that the store rejects ends the detour', answer: { type: 'store-failure', failure: { reason: 'unavailable', verdict: 'not-applied' }, storeResponds: true }, outcome: 'served', verdict: 'not-applied' },
  { guards: 'a write counts as not applied after the proxy has died', answer: undefined, failure: 'unavailable', outcome: 'unanswered', verdict: UNKNOWN },
  { guards: 'a write counts as not applied while the proxy is late', answer: undefined, failure: 'timeout', outcome: 'unanswered', verdict: UNKNOWN },
  { guards: 'a write counts as not applied that a member has rejected for an unknown reason', answer: undefined, failure: 'rejected', outcome: 'unanswered', verdict: UNKNOWN },
  { guards: 'the response to another call is used', answer: { type: 'store-response', response: { type: 'read', entries: [], more: false, version: 3 } }, outcome: 'unanswered', verdict: UNKNOWN },
  { guards: 'a damaged response is used', answer: { type: 'store-response', response: { type: 'transact', committed: 'yes' } }, outcome: 'unanswered', verdict: UNKNOWN },
  { guards: 'a damaged failure counts as not applied', answer: { type: 'store-failure', failure: { reason: 'new-reason', verdict: 'not-applied' } }, outcome: 'unanswered', verdict: UNKNOWN },
  { guards: 'a response of another release ends the process', answer: null, outcome: 'unanswered', verdict: UNKNOWN }
]

for (const { guards, answer, failure, outcome, verdict } of answers) {
  test(`store detour: guards against the failure that ${guards}`, () => {
    const judged = judgeAnswer(WRITE, failure === undefined ? ok(answer as MemberResponse) : err({ reason: failure }))
    assert.deepEqual([judged.outcome, judged.result.isErr() ? judged.result.error.verdict : undefined], [outcome, verdict])
  })
}

test('store detour: guards against the failure that a write that may have been applied is made on a second way, where it finds its own entries', () => {
  const cases = [[WRITE, UNKNOWN, false], [WRITE, 'not-applied', true], [READ, UNKNOWN, true], [{ type: 'renew-lease', lease: '7' }, UNKNOWN, true]] as const
  for (const [call, verdict, expected] of cases) assert.equal(mayRepeat(call, { reason: 'timeout', verdict }), expected)
})

const calls: ReadonlyArray<readonly [unknown, boolean]> = [
  [WRITE, true], [READ, true], [{ type: 'watch', prefixes: ['a'], afterVersion: 3, waitMs: 0 }, true], [{ type: 'grant-lease', ttlMs: 1_500 }, true],
  [null, false], [{ type: 'unknown' }, false], [{ type: 'read' }, false], [{ ...WRITE, compares: undefined }, false], [{ ...WRITE, compares: [{ type: 'later', key: 'a' }] }, false],
  [{ ...WRITE, puts: [{ key: 'a', value: 7 }] }, false], [{ ...WRITE, deletes: [7] }, false], [{ type: 'watch', prefixes: 'a', afterVersion: 3 }, false], [{ type: 'renew-lease' }, false]
]

test('store detour: guards against the failure that a damaged call of another member reaches the store', () => {
  for (const [call, expected] of calls) assert.equal(isStoreCall(call), expected, JSON.stringify(call))
})

test('store detour: guards against the failure that a response is too large for a message between members', () => {
  const entry = (key: string): StoreEntry => ({ key, value: 'x'.repeat(800_000), version: 1 })
  const put = (key: string): { readonly type: 'put', readonly entry: StoreEntry } => ({ type: 'put', entry: entry(key) })
  const page = { type: 'read', entries: [entry('a'), entry('b')], more: false, version: 7 } as const
  assert.deepEqual(shortenResponse(page), { ...page, entries: [entry('a')], more: true })
  assert.deepEqual(shortenResponse({ type: 'watch', changes: [put('a'), put('b')], version: 7, compacted: false }), { type: 'watch', changes: [], version: 7, compacted: true })
  const small = { type: 'watch', changes: [put('a')], version: 7, compacted: false } as const
  assert.equal(shortenResponse(small), small)
  assert.deepEqual([fitsMessage({ ...WRITE, puts: [entry('a')] }), fitsMessage({ ...WRITE, puts: [entry('a'), entry('b')] })], [true, false])
})
