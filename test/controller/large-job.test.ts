import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'

const STEPS = 60
const OCCURRENCES = 400
const OTHER_JOBS = 20
/** Smaller than the record of the large job, and larger than its definition. */
const VALUE_LIMIT_BYTES = 100_000
const TASK_MS = 50
const DURATION_MS = 6_000

// The store refuses the progress of a job of 60 steps and 400 occurrences, without a reason, for as long as it is large.
test('large job: guards against the failure that a job whose record the store refuses keeps the jobs of another organisation from ending', async () => {
  const cell = VirtualCell.create(11, { members: 2, targets: 6 })
  try {
    cell.store.valueLimitBytes = VALUE_LIMIT_BYTES
    await cell.time.advance(1_000)
    cell.submit(cell.hosts[0]!, 'large', Array.from({ length: STEPS }, () => 1), TASK_MS, { firstAtMs: 1, intervalMs: 1, occurrences: OCCURRENCES, organisation: 'aba' })
    await cell.time.advance(1_000)
    for (let index = 0; index < OTHER_JOBS; index += 1) cell.submit(cell.hosts[index % 2]!, `j${index}`, [2, 1], TASK_MS)
    await cell.time.advance(DURATION_MS)
    assert.equal(cell.acceptedJobs.size, OTHER_JOBS + 1)
    assert.deepEqual([...cell.acceptedJobs].map((id) => `${id} ${cell.store.readPhase(id)}`).filter((text) => !text.endsWith(' completed')), ['large running'])
    assert.ok(cell.logs.some(({ message, fields }) => message === 'record-set-aside' && fields.key === 'progress/large'))
    assert.deepEqual(cell.violations, [])
  } finally {
    cell.close()
  }
})
