import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Peer } from '../../src/controller/member-call.ts'
import { listUnsettledTerms } from '../../src/controller/leadership/unsettled-terms.ts'
import { chooseWitnesses, computeBlockingCount, computeQuorum, parseWitnesses, inheritWitnesses } from '../../src/controller/leadership/witness-set.ts'

const SELF: Peer = { member: 'm0', address: 'm0:1', failureDomain: 'a' }

function createPeers (...domains: readonly string[]): readonly Peer[] {
  return domains.map((failureDomain, index) => ({ member: `m${index + 1}`, address: `m${index + 1}:1`, failureDomain }))
}

for (const count of [1, 2, 3, 4, 5, 6, 7]) {
  // TWICE: a leader and its successor that count on different witnesses would both give out work.
  test(`witness set: guards against the failure that a leader is confirmed by none of those that its successor has asked: ${count} witnesses`, () => {
    assert.ok(computeQuorum(count) + computeBlockingCount(count) > count)
    assert.ok(computeQuorum(count) <= count && computeBlockingCount(count) <= count && computeBlockingCount(count) > 0)
  })
}

const [first, second] = createPeers('a', 'b') as [Peer, Peer]

const records: ReadonlyArray<{ readonly what: string, readonly value: unknown, readonly expected: readonly Peer[] | undefined }> = [
  { what: 'two members', value: [first, second], expected: [first, second] },
  { what: 'a missing field', value: undefined, expected: undefined },
  { what: 'null', value: null, expected: undefined },
  { what: 'no members', value: [], expected: undefined },
  { what: 'a text', value: 'm1:1', expected: undefined },
  { what: 'an object', value: { 0: first, length: 1 }, expected: undefined },
  { what: 'addresses', value: ['m1:1', 'm2:1'], expected: undefined },
  { what: 'a member without an address', value: [first, { member: 'm2' }], expected: undefined },
  { what: 'an empty address', value: [{ member: 'm2', address: '' }], expected: undefined },
  { what: 'an address that is a number', value: [{ member: 'm2', address: 7 }], expected: undefined },
  { what: 'one address twice', value: [first, { member: 'm2', address: first.address }], expected: undefined },
  { what: 'null among members', value: [first, null], expected: undefined }
]

for (const { what, value, expected } of records) {
  test(`witness set: guards against the failure that a record with ${what} is read as other witnesses than its leader has`, () => {
    assert.deepEqual(parseWitnesses(value), expected)
  })
}

const choices: ReadonlyArray<{ readonly guards: string, readonly witnesses: readonly Peer[], readonly candidates: readonly Peer[], readonly expected: readonly string[] }> = [
  { guards: 'a cell of one member needs a witness', witnesses: [], candidates: [], expected: [] },
  { guards: 'a cell of two members has none', witnesses: [], candidates: createPeers('a'), expected: ['m1'] },
  { guards: 'more are asked than are needed', witnesses: [], candidates: createPeers('b', 'c', 'd', 'e', 'f', 'g'), expected: ['m1', 'm2', 'm3', 'm4', 'm5'] },
  { guards: 'all are in the failure domain of the leader', witnesses: [], candidates: createPeers('a', 'a', 'a', 'a', 'b', 'b', 'c'), expected: ['m5', 'm7', 'm1', 'm6', 'm2'] },
  { guards: 'witnesses change without a reason', witnesses: createPeers('a', 'a', 'a', 'a', 'a'), candidates: createPeers('a', 'a', 'a', 'a', 'a', 'b'), expected: ['m1', 'm2', 'm3', 'm4', 'm5'] },
  { guards: 'one that has gone stays', witnesses: createPeers('a', 'b', 'c'), candidates: createPeers('a', 'b'), expected: ['m1', 'm2'] },
  { guards: 'two members at one address count as two', witnesses: [], candidates: [first, { ...second, address: first.address }], expected: ['m2'] }
]

for (const { guards, witnesses, candidates, expected } of choices) {
  test(`witness set: guards against the failure that ${guards}`, () => {
    assert.deepEqual(chooseWitnesses({ self: SELF, witnesses, candidates }).map(({ member }) => member), expected)
  })
}

test('witness set: guards against the failure that a successor does not learn who the witnesses of an earlier term are', () => {
  const earlier = { term: 3, leader: first, witnesses: [second] }
  const record = { term: 4, nonce: 'n', leader: second, unsettled: [earlier], witnesses: [SELF] }
  assert.deepEqual(listUnsettledTerms(record), [earlier, { term: 4, leader: second, witnesses: [SELF] }])
})

// TWICE: a leader that is its own witness confirms itself, whoever leads.
test('witness set: guards against the failure that a member that claims becomes its own witness, or takes over a damaged record', () => {
  const [own, other] = [{ member: 'm1', address: 'm1:1' }, { member: 'm2', address: 'm2:1' }]
  const moved = { member: 'm1', address: 'm1:2' }
  assert.deepEqual([inheritWitnesses([own, other], own), inheritWitnesses([own, other], moved), inheritWitnesses([null], own), inheritWitnesses(undefined, own)], [[other], [other], [], []])
})
