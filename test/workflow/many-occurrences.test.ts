import assert from 'node:assert/strict'
import { test } from 'node:test'
import { StepRun } from '../../src/workflow/task.ts'
import { buildJob, createHarnessWithTarget } from './harness.ts'

const OCCURRENCES = 30_000
const MAX_OPEN_TASKS = 10_000
const MAX_OPEN_STEPS = 12_000
const JOBS = 8

// A caller submitted a job with very many occurrences that were due: each leader in turn was busy with it until it ended.
test('jobs: guards against the failure that a job with very many due occurrences takes the time and memory of the leader', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: { ...buildJob('a', { count: 2 }), occurrences: OCCURRENCES } })
  assert.equal(harness.scheduler.getProgress('a')!.nextOccurrence, MAX_OPEN_TASKS / 2)
})

// The bound held for each job alone: ten such jobs filled the heap, and that of each next leader.
test('jobs: guards against the failure that several jobs with very many due occurrences take the memory of the leader', (context) => {
  const create = context.mock.method(StepRun, 'create')
  const harness = createHarnessWithTarget()
  const ids = Array.from({ length: JOBS }, (_, index) => `j${index}`)
  for (const id of ids) harness.scheduler.apply({ type: 'job-accepted', definition: { ...buildJob(id, { count: 1, demand: { cpuMillis: 5_000, memoryMiB: 1, accelerators: 0 } }), occurrences: OCCURRENCES } }, harness.now)
  harness.advance(50)
  assert.ok(create.mock.callCount() <= MAX_OPEN_STEPS + JOBS, `${create.mock.callCount()} steps`)
  assert.deepEqual(ids.map((id) => harness.scheduler.getProgress(id)!.nextOccurrence > 0), ids.map(() => true))
  harness.apply({ type: 'job-cancelled', id: 'j0' })
  harness.advance(50)
  assert.ok(harness.scheduler.getProgress('j2')!.nextOccurrence > 1)
})

test('jobs: an occurrence that waits for others of its job opens when these have ended', () => {
  const harness = createHarnessWithTarget()
  const done = 'f'.repeat(MAX_OPEN_TASKS / 4)
  const progress = { phase: 'running', nextOccurrence: 1, open: { 0: [{ done: `7${done.slice(1)}`, failedRuns: {}, gangFailedRuns: [] }] } } as const
  harness.apply({ type: 'job-restored', definition: { ...buildJob('a', { count: MAX_OPEN_TASKS }), occurrences: 2 }, progress })
  assert.equal(harness.scheduler.getProgress('a')!.nextOccurrence, 2)
})

// Ended occurrences stayed until the job ended: one that recurs often took the memory of the leader in time.
test('jobs: guards against the failure that each occurrence that has ended takes memory', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: { ...buildJob('a', { count: 2 }, { after: [0] }), occurrences: 200 } })
  for (let handled = 0; handled < 300; handled++) {
    const start = harness.getStarts()[handled]!
    harness.acceptStart(start)
    harness.completeRun(start, 'done')
  }
  const { occurrences } = harness.scheduler['state'].jobs.get('a')!
  assert.equal(harness.scheduler.getProgress('a')!.nextOccurrence, 200)
  assert.deepEqual([...occurrences.keys()].filter((occurrence) => occurrences.get(occurrence)!.areDone), [])
  assert.ok(occurrences.size < 200 - 50, `${occurrences.size} occurrences`)
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
