import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeClaimDelayMs } from '../../src/controller/leadership/leadership.ts'

const pairs = [
  { smaller: 0.324, larger: 0.675 },
  { smaller: 0.675, larger: 1.35 }
]

for (const { smaller, larger } of pairs) {
  test(`leadership: a host with ${larger} cores claims before one with ${smaller} cores, so that a small host does not schedule a large cell`, () => {
    const earliest = Math.min(...Array.from({ length: 50 }, () => computeClaimDelayMs(smaller)))
    const latest = Math.max(...Array.from({ length: 50 }, () => computeClaimDelayMs(larger)))
    assert.ok(earliest > latest, `${earliest} ms and ${latest} ms`)
  })
}
