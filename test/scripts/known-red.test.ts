import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseKnownRed } from '../../scripts/known-red.ts'

const lists = [
  { guards: 'an empty list names no test', text: '', names: [] },
  { guards: 'text around the names is not read', text: 'Findings\n- LIMIT, a day\n  Command: npm test\n', names: [] },
  { guards: 'each line with a name counts', text: '- a finding\n  Test: cell: one\n  Test: cell: two\n', names: ['cell: one', 'cell: two'] }
]

for (const { guards, text, names } of lists) {
  test(`known failures: ${guards}`, () => {
    assert.deepEqual([...parseKnownRed(text)], names)
  })
}
