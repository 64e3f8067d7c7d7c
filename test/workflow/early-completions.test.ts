import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ListedCompletion } from '../../src/workflow/target-entry.ts'
import type { CellHarness } from './harness.ts'
import { buildJob, createHarnessWithTarget } from './harness.ts'

const FIRST_AT_MS = 5_000
const INTERVAL_MS = 1_000
/** The second of three occurrences, which the new leader has not opened. */
const TIMED = { ...buildJob('a', { count: 2 }, { after: [0] }), firstAtMs: FIRST_AT_MS, intervalMs: INTERVAL_MS, occurrences: 3 }
const DUE_AT_MS = FIRST_AT_MS + INTERVAL_MS

function listCompletions (harness: CellHarness, ...ended: ReadonlyArray<Pick<ListedCompletion, 'task' | 'run' | 'outcome'>>): void {
  harness.listTarget('t1', { ended: ended.map((completion, index) => ({ ...completion, number: index + 1, checkpoint: '' })) })
}

function getStartedTasks (harness: CellHarness): readonly string[] {
  return harness.getStarts().map(({ command }) => command.task)
}

/** Creates a new leader that has restored the job and reads completions of an occurrence that is not due by its clock. */
function createSuccessor (): CellHarness {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-restored', definition: TIMED, progress: undefined })
  return harness
}

// The clock of the previous leader was ahead; the completion was dropped and acknowledged, and the task started again when it was due.
test('listing: guards against the failure that a task of an occurrence runs again after it has ended under a leader whose clock was ahead', () => {
  const harness = createSuccessor()
  listCompletions(harness, { task: 'a.1.0.0', run: 7, outcome: 'done' })
  assert.equal(harness.scheduler.getProgress('a')!.open['1']?.[0]?.done, '1', 'it is in the progress that is stored before it is acknowledged')
  harness.now = DUE_AT_MS
  harness.advance(0)
  assert.deepEqual(getStartedTasks(harness).filter((task) => task.startsWith('a.1.')), ['a.1.0.1'])
})

// A task had one attempt more than its queue allows for each failure under a leader whose clock was ahead.
test('listing: guards against the failure that a failed run of an occurrence is not counted after a leader whose clock was ahead', () => {
  const harness = createSuccessor()
  listCompletions(harness, { task: 'a.1.0.0', run: 7, outcome: 'failed' }, { task: 'a.1.0.0', run: 8, outcome: 'failed' })
  assert.equal(harness.scheduler.getProgress('a')!.phase, 'failed')
})

test('listing: no task of an occurrence starts before it is due although a completion has opened it', () => {
  const harness = createSuccessor()
  listCompletions(harness, { task: 'a.1.0.0', run: 7, outcome: 'done' }, { task: 'a.1.0.1', run: 8, outcome: 'done' })
  harness.now = DUE_AT_MS - 60
  harness.advance(50)
  assert.deepEqual(getStartedTasks(harness).filter((task) => task.startsWith('a.1.')), [])
  harness.advance(50)
  assert.deepEqual(getStartedTasks(harness).filter((task) => task.startsWith('a.1.')), ['a.1.1.0'])
})

test('listing: a completion of a job that has ended opens nothing and is not stored again', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-restored', definition: TIMED, progress: { phase: 'cancelled', nextOccurrence: 2, open: {} } })
  const before = harness.effects.length
  listCompletions(harness, { task: 'a.1.0.0', run: 7, outcome: 'done' })
  assert.deepEqual(harness.effects.slice(before).filter(({ type }) => type === 'store-progress'), [])
})

const unknownTasks = ['b.0.0.0', 'a.3.0.0', 'a.1.2.0', 'a.1.0.2', 'a.x.0.0', 'a']

for (const task of unknownTasks) {
  test(`listing: a completion of a task that does not exist, ${task}, is logged and changes nothing`, () => {
    const harness = createSuccessor()
    listCompletions(harness, { task, run: 7, outcome: 'done' })
    assert.equal(harness.effects.filter((effect) => effect.type === 'log' && effect.message === 'unknown-run-ended').length, 1)
    assert.deepEqual(harness.effects.filter(({ type }) => type === 'store-progress'), [])
  })
}
