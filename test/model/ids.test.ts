import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseGroupNumber, parseTaskIndex, formatTaskId, parseWorkId } from '../../src/model/ids.ts'

const cases = [
  { guards: 'a plain id is parsed', id: 'g3-01h8', expected: 3 },
  { guards: 'a path in the id is rejected', id: 'g3-../x', expected: undefined },
  { guards: 'a missing group is rejected', id: 'g-01h8', expected: undefined },
  { guards: 'an oversized id is rejected', id: `g1-${'a'.repeat(81)}`, expected: undefined }
]

for (const entry of cases) {
  test(`groupOfWork: ${entry.guards}`, () => {
    assert.equal(parseGroupNumber(entry.id), entry.expected)
  })
}

test('taskIdOf: a task id gives back its work and index', () => {
  const task = formatTaskId('g3-01h8', 12)
  assert.equal(parseWorkId(task), 'g3-01h8')
  assert.equal(parseTaskIndex(task), 12)
})
