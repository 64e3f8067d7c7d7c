import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseGroupNumber, parseTaskIndex, formatTaskId, parseWorkId } from '../../src/model/ids.ts'

const cases = [
  { guards: 'a plain id is parsed', id: 'g3-01h8', expected: 3 },
  { guards: 'an id that contains a path is rejected', id: 'g3-../x', expected: undefined },
  { guards: 'a missing group is rejected', id: 'g-01h8', expected: undefined },
  { guards: 'an oversized id is rejected', id: `g1-${'a'.repeat(81)}`, expected: undefined }
]

for (const entry of cases) {
  test(`parseGroupNumber: ${entry.guards}`, () => {
    assert.equal(parseGroupNumber(entry.id), entry.expected)
  })
}

test('formatTaskId: the work id and index are parsed back from a task id', () => {
  const task = formatTaskId('g3-01h8', 12)
  assert.equal(parseWorkId(task), 'g3-01h8')
  assert.equal(parseTaskIndex(task), 12)
})
