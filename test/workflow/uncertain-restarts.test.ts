import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import { CellHarness, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

const OLD_CLOCK_MS = 400_000
const LEASE_MS = 3_500
const LONGEST_LEASE_MS = 10_000
const OPTIONS = { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS }

/** The target falls silent, its entry is removed and its runs lapse, so that it is forgotten. */
function forget (harness: CellHarness, id: string): void {
  harness.apply({ type: 'target-silent', id, cause: 'no-answer' })
  harness.apply({ type: 'target-withdrawn', id })
  for (let step = 0; step < 8; step += 1) harness.advance(500)
  assert.equal(harness.scheduler.getTarget(id), undefined, 'the target is forgotten')
}

const LISTED_ENDS = 500

// TWICE: a target lists 500 ends at a time; a run whose end comes after them is in neither list.
test('cell: a run that may have ended beyond the ends that a target lists at a time does not start again', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.acceptStart(start!)
  harness.now += 100
  const ended = Array.from({ length: LISTED_ENDS }, (_, index) => ({ number: index + 1, task: `old.0.0.${index}`, run: 1, outcome: 'done' as const, checkpoint: '' }))
  harness.listTarget(start!.target, { ended })
  assert.equal(harness.getStarts().length, 1)
})
