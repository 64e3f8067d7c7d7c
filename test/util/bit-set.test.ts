import assert from 'node:assert/strict'
import { test } from 'node:test'
import { BitSet, parseBitSet } from '../../src/util/bit-set.ts'

const CASES: ReadonlyArray<{ readonly name: string, readonly size: number, readonly members: readonly number[], readonly text: string }> = [
  { name: 'no member', size: 5, members: [], text: '0' },
  { name: 'the first', size: 5, members: [0], text: '1' },
  { name: 'the last of a byte', size: 8, members: [7], text: '80' },
  { name: 'the first of the next byte', size: 9, members: [8], text: '100' },
  { name: 'all', size: 10, members: [0, 1, 2, 3, 4, 5, 6, 7, 8, 9], text: '3ff' },
  { name: 'some, with empty bytes between', size: 40, members: [1, 33], text: '200000002' }
]

for (const { name, size, members, text } of CASES) {
  // The records of earlier releases were formatted as big integers.
  test(`bit set: guards against the failure that a stored record of finished tasks is read or written differently, ${name}`, () => {
    const set = BitSet.create(size)
    for (const member of members) set.add(member)
    assert.equal(set.toHexadecimal(), text)
    assert.equal(set.toHexadecimal(), members.reduce((bits, member) => bits | 1n << BigInt(member), 0n).toString(16))
    assert.deepEqual(Array.from({ length: size }, (_, index) => index).filter((index) => set.has(index)), members)
    assert.deepEqual([...parseBitSet(text, size)], members)
  })
}

test('bit set: guards against the failure that a record with more tasks than the step is read beyond its end', () => {
  assert.deepEqual([...parseBitSet('ff', 3)], [0, 1, 2])
})
