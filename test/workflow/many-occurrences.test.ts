import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildJob, createHarnessWithTarget } from './harness.ts'

const OCCURRENCES = 30_000
const MAX_OPEN_TASKS = 10_000

// A caller submitted a job with very many occurrences that were due: each leader in turn was busy with it until it ended.
test('jobs: guards against the failure that a job with very many due occurrences takes the time and memory of the leader', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: { ...buildJob('a', { count: 2 }), occurrences: OCCURRENCES } })
  assert.equal(harness.scheduler.getProgress('a')!.nextOccurrence, MAX_OPEN_TASKS / 2)
})

test('jobs: an occurrence that waits for others of its job opens when these have ended', () => {
  const harness = createHarnessWithTarget()
  const done = 'f'.repeat(MAX_OPEN_TASKS / 4)
  const progress = { phase: 'running', nextOccurrence: 1, open: { 0: [{ done: `7${done.slice(1)}`, failedRuns: {}, gangFailedRuns: [] }] } } as const
  harness.apply({ type: 'job-restored', definition: { ...buildJob('a', { count: MAX_OPEN_TASKS }), occurrences: 2 }, progress })
  assert.equal(harness.scheduler.getProgress('a')!.nextOccurrence, 2)
})

// The record of a job with many occurrences grew with each, until the store refused it and with it every later commit.
test('progress record: guards against the failure that the record of a job grows with each occurrence that has ended', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: { ...buildJob('a', {}), occurrences: 3 } })
  const [first, second] = harness.getStarts()
  harness.completeRun(first!, 'done')
  harness.completeRun(second!, 'done')
  const progress = harness.scheduler.getProgress('a')!
  assert.deepEqual([Object.keys(progress.open), progress.nextOccurrence], [['2'], 3])
  const successor = createHarnessWithTarget()
  successor.apply({ type: 'job-restored', definition: { ...buildJob('a', {}), occurrences: 3 }, progress })
  assert.deepEqual(successor.getStarts().map(({ command }) => command.task), ['a.2.0.0'])
  successor.completeRun(successor.getStarts()[0]!, 'done')
  assert.equal(successor.scheduler.getProgress('a')!.phase, 'completed')
})
