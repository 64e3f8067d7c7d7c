import assert from 'node:assert/strict'
import { test } from 'node:test'
import { toJobOutline } from '../../src/workflow/deferred-jobs.ts'
import type { JobDefinition } from '../../src/workflow/job.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import { CellHarness, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

const CANCELLED: JobProgress = { phase: 'cancelled', nextOccurrence: 1, open: {} }

test('cell: the definition of a cancelled job is needed until the last of its runs has ended', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.acceptStart(harness.getStarts()[0]!)
  harness.apply({ type: 'job-cancelled', id: 'a' })
  assert.equal(harness.scheduler.needsDefinition('a'), true)
  const effects = harness.completeRun(harness.getStarts()[0]!, 'stopped')
  assert.ok(effects.some((effect) => effect.type === 'store-progress' && effect.job === 'a'), 'its definition is removed in another commit')
  assert.equal(harness.scheduler.needsDefinition('a'), false)
})

test('cell: a released job is still reported, is not accepted again, and is removed after the retention time', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.completeRun(harness.getStarts()[0]!, 'done')
  harness.apply({ type: 'progress-stored', phases: new Map([['a', 'completed']]), released: ['a'], completions: [] })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  assert.equal(harness.getStarts().length, 1)
  assert.equal(harness.scheduler.getPhase('a'), 'completed')
  assert.ok(harness.advance(160_000).some((effect) => effect.type === 'forget-job'))
  assert.equal(harness.scheduler.getPhase('a'), undefined)
})

type RestoredCase = { readonly how: string, readonly restore: (harness: CellHarness, definition: JobDefinition) => void }

const RESTORED: readonly RestoredCase[] = [
  { how: 'read at the takeover', restore: (harness, definition) => { harness.apply({ type: 'job-restored', definition, progress: CANCELLED }) } },
  {
    how: 'deferred',
    restore: (harness, definition) => {
      harness.apply({ type: 'job-deferred', outline: toJobOutline(definition), phase: 'cancelled', restored: true })
      harness.apply({ type: 'earlier-runs-listed' })
      harness.advance(50)
      harness.apply({ type: 'job-loaded', definition, progress: CANCELLED })
    }
  }
]

// Its definition stayed in the store for good, and in the memory of each leader.
for (const { how, restore } of RESTORED) {
  test(`ended jobs: guards against the failure that one that an earlier leader has ended is never removed, ${how}`, () => {
    const harness = CellHarness.create([buildEntry('t0')])
    harness.scheduler.expectEarlierRuns()
    restore(harness, buildJob('j', {}))
    harness.apply({ type: 'earlier-runs-listed' })
    assert.ok(harness.effects.some((effect) => effect.type === 'store-progress' && effect.job === 'j'))
    assert.equal(harness.scheduler.needsDefinition('j'), false)
  })
}
