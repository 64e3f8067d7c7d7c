import assert from 'node:assert/strict'
import { test } from 'node:test'
import { isJobProgress } from '../../src/controller/records/record-guards.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'
import type { SentCommand } from './harness.ts'

const OPTIONS = { leaseMs: 3_500, longestLeaseMs: 10_000 }
const JOB = buildJob('a', { longRunning: true })
const ENDING_JOB = buildJob('a', {})
/** When a target lists its runs after their start, in milliseconds. */
const LISTED_MS = 1_000
/** All start commands of a run can no longer be executed this long after the last one, in milliseconds. */
const LATE_MS = 12_100

/** Lets the task `a.0.0.0` run on `t1`. `answered`: number of its commands that the target has answered. */
function createRun ({ longRunning = true, sent = 1, answered = 1, waitMs = LISTED_MS }: { longRunning?: boolean, sent?: number, answered?: number, waitMs?: number }): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
  harness.apply({ type: 'job-accepted', definition: longRunning ? JOB : ENDING_JOB })
  for (let command = 1; command < sent; command += 1) harness.advance(200)
  for (let command = 0; command < answered; command += 1) harness.acceptStart(harness.getStarts()[0]!)
  harness.now += waitMs
  harness.listTarget('t1', { running: harness.runningOn('t1') })
  harness.advance(0)
  return harness
}

/** The stored progress of the job as a next owner reads it. */
function readStored (harness: CellHarness): JobProgress | undefined {
  const stored = harness.effects.some((effect) => effect.type === 'store-progress')
  return stored ? JSON.parse(JSON.stringify(harness.scheduler.getProgress('a'))) : undefined
}

/** A next owner that lists the run on `t1`, and a target `t2` with room. */
function takeOver ({ command: { task, run } }: SentCommand, progress: JobProgress | undefined): CellHarness {
  const successor = CellHarness.create([], undefined, { ...OPTIONS, firstRunNumber: 1_000_001 })
  successor.scheduler.expectEarlierRuns()
  successor.apply({ type: 'job-restored', definition: JOB, progress })
  successor.now += 100
  for (const id of ['t1', 't2']) {
    successor.apply({ type: 'target-published', entry: buildEntry(id) })
    successor.apply({ type: 'targets-stored', ids: [id] })
    successor.listTarget(id, { running: id === 't1' ? [{ task, run, checkpoint: '', percent: 0, gauge: undefined }] : [] })
  }
  successor.apply({ type: 'earlier-runs-listed' })
  return successor
}

/** Whether the task starts on `t2` as soon as `t1` has restarted, before its next incarnation has answered. */
function startsAfterRestart (harness: CellHarness): boolean {
  harness.now += LISTED_MS
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.advance(0)
  return harness.getStarts().some(({ target }) => target === 't2')
}

const terms: ReadonlyArray<{ readonly guards: string, readonly run: Parameters<typeof createRun>[0], readonly expected: boolean }> = [
  { guards: 'the answer to the only start of a run is not handed on', run: {}, expected: true },
  { guards: 'the answers to both starts of a run are not handed on', run: { sent: 2, answered: 2 }, expected: true },
  { guards: 'starts without an answer that are too old to be executed are not handed on', run: { sent: 2, waitMs: LATE_MS }, expected: true },
  { guards: 'a start without an answer is taken for one that is not under way', run: { answered: 0 }, expected: false },
  { guards: 'a copy of a start without an answer is taken for one that is not under way', run: { sent: 2 }, expected: false }
]

for (const { guards, run, expected } of terms) {
  // LOST: each leader waited for 20 s until it knew that no start of an earlier leader was under way; TWICE if it does not wait for one that is.
  test(`concluded starts: guards against the failure that ${guards}`, () => {
    const harness = createRun(run)
    assert.equal(startsAfterRestart(takeOver(harness.getStarts()[0]!, readStored(harness))), expected)
  })
}

// LOST: only the leader that started a run has seen the answers; the one after the next would have to wait again.
test('concluded starts: guards against the failure that a leader loses what the one before has handed on', () => {
  const harness = createRun({})
  const [start] = harness.getStarts()
  const second = CellHarness.create([], undefined, OPTIONS)
  second.scheduler.expectEarlierRuns()
  second.apply({ type: 'job-restored', definition: JOB, progress: readStored(harness) })
  assert.ok(startsAfterRestart(takeOver(start!, second.scheduler.getProgress('a'))), 'its term ends before it has listed a target')
})

const STEP = { done: '0', failedRuns: {}, gangFailedRuns: [] }
const records: ReadonlyArray<{ readonly guards: string, readonly concludedRuns: unknown, readonly expected: boolean }> = [
  { guards: 'a record of an older release counts as one of a concluded start', concludedRuns: undefined, expected: false },
  { guards: 'the record of a run counts for another one', concludedRuns: { 0: 2 }, expected: false },
  { guards: 'the record of a task counts for another one', concludedRuns: { 1: 1 }, expected: false },
  { guards: 'an unreadable record counts', concludedRuns: { 0: '1' }, expected: false },
  { guards: 'an unreadable record makes the job unreadable', concludedRuns: null, expected: false },
  { guards: 'the record of the run is not read', concludedRuns: { 0: 1 }, expected: true }
]

for (const { guards, concludedRuns, expected } of records) {
  // TWICE: a start that is still under way reaches the next life of the target, while the task runs elsewhere.
  test(`concluded starts: guards against the failure that ${guards}`, () => {
    const [start] = createRun({}).getStarts()
    const progress: JobProgress = { phase: 'running', nextOccurrence: 1, open: { 0: [{ ...STEP, concludedRuns }] } }
    assert.ok(isJobProgress(progress))
    assert.equal(startsAfterRestart(takeOver(start!, progress)), expected)
  })
}

// Prices: calls to the store cost, and each listing would ask for one.
test('concluded starts: guards against the failure that each listing or each task of a job asks the store for a write', () => {
  const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { longRunning: true, count: 4 }) })
  for (const start of harness.getStarts()) harness.acceptStart(start)
  for (let listing = 0; listing < 10; listing += 1) {
    harness.now += LISTED_MS
    harness.listTarget('t1', { running: harness.runningOn('t1') })
    harness.advance(0)
  }
  assert.equal(harness.effects.filter(({ type }) => type === 'store-progress').length, 1)
})

// Prices: tasks that end would be stored after each start.
test('concluded starts: guards against the failure that starts of tasks that end are stored', () => {
  assert.equal(readStored(createRun({ longRunning: false })), undefined)
})
