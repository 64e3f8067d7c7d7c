import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellEffect } from '../../../src/workflow/effect.ts'
import { DEFAULT_FEATURES } from '../../../src/settings/index.ts'
import type { SchedulingFeatures } from '../../../src/settings/index.ts'
import { CONFIGURATION, CellHarness, buildEntry, buildJob } from '../harness.ts'

const LEARNING: SchedulingFeatures = { ...DEFAULT_FEATURES.scheduling, learnedRunTimes: true }
const RUNS = 40
const DECLARED_MS = 500

function createCell (features: SchedulingFeatures): CellHarness {
  return CellHarness.create(['t1', 't2'].map((id) => buildEntry(id)), CONFIGURATION, { features })
}

/** Runs jobs of one task one after another, each for the given time. */
function runJobs (harness: CellHarness, runMs: number, { count = RUNS, speculative = false } = {}): void {
  for (let index = 0; index < count; index++) {
    harness.apply({ type: 'job-accepted', definition: buildJob(`learned${harness.now}-${index}`, { estimatedMs: DECLARED_MS, speculative }) })
    const start = harness.getStarts().at(-1)!
    harness.acceptStart(start)
    harness.now += runMs
    harness.completeRun(start, 'done')
  }
  harness.advance(1_000)
}

function findRecords (effects: readonly CellEffect[]): readonly string[] {
  return effects.flatMap((effect) => effect.type === 'store-learned' && effect.record === 'run-times' ? [effect.value] : [])
}

/** Whether a copy of a slow speculative task starts once it has run for a time. */
function hasCopyAfter (harness: CellHarness, elapsedMs: number): boolean {
  harness.apply({ type: 'job-accepted', definition: buildJob('probe', { estimatedMs: DECLARED_MS, speculative: true }) })
  const [start] = harness.getStarts().filter(({ command }) => command.task.startsWith('probe.'))
  harness.acceptStart(start!)
  harness.now += elapsedMs
  // A run whose percent changes is not stuck.
  harness.listTarget(start!.target, { running: harness.runningOn(start!.target).map((run) => ({ ...run, percent: 1 })) })
  harness.advance(0)
  return harness.getStarts().filter(({ command }) => command.task.startsWith('probe.')).length > 1
}

const copies: ReadonlyArray<{ readonly guards: string, readonly features?: SchedulingFeatures, readonly runMs?: number, readonly count?: number, readonly record?: string, readonly elapsedMs: number, readonly expected: boolean }> = [
  { guards: 'the setting is off and run times are learned', features: DEFAULT_FEATURES.scheduling, runMs: 1_500, elapsedMs: 2_000, expected: true },
  { guards: 'a run that takes as long as the others is copied', runMs: 1_500, elapsedMs: 2_000, expected: false },
  { guards: 'a run that takes far longer than the others is not copied', runMs: 1_500, elapsedMs: 3_400, expected: true },
  { guards: 'declarations that are too long delay a copy', runMs: 100, elapsedMs: 700, expected: true },
  { guards: 'a few runs count', runMs: 1_500, count: 10, elapsedMs: 2_000, expected: true },
  { guards: 'runs of 0 ms divide by zero', runMs: 0, elapsedMs: 400, expected: true },
  { guards: 'a damaged record ends the learning', record: '{"version":1,"queues":{"stock":{"runs":1e400}}}', runMs: 1_500, elapsedMs: 2_000, expected: false }
]

for (const { guards, features = LEARNING, runMs = 0, count = RUNS, record, elapsedMs, expected } of copies) {
  test(`run times: guards against the failure that ${guards}`, () => {
    const harness = createCell(features)
    if (record !== undefined) harness.apply({ type: 'learned-restored', record: 'run-times', value: record })
    runJobs(harness, runMs, { count })
    assert.equal(hasCopyAfter(harness, elapsedMs), expected)
  })
}

// Without the record, the declarations would count again for some hundred runs after each takeover.
test('run times: guards against the failure that a new leader has to learn again', () => {
  const harness = createCell(LEARNING)
  runJobs(harness, 1_500)
  const successor = createCell(LEARNING)
  successor.apply({ type: 'learned-restored', record: 'run-times', value: findRecords(harness.effects).at(-1)! })
  assert.equal(hasCopyAfter(successor, 2_000), false)
})

test('run times: guards against the failure that each run writes to the store, or none does', () => {
  const harness = createCell(LEARNING)
  for (let second = 0; second < 30; second++) runJobs(harness, 100, { count: 3 })
  const elapsedMs = harness.now - 1_000
  assert.ok(Math.abs(findRecords(harness.effects).length - Math.ceil(elapsedMs / 10_000)) <= 1)
})

test('run times: guards against the failure that a run that continued from a checkpoint counts as a whole one', () => {
  const harness = createCell(LEARNING)
  for (let index = 0; index < RUNS; index++) {
    harness.apply({ type: 'job-accepted', definition: buildJob(`resumed${index}`, { estimatedMs: DECLARED_MS, checkpoints: true }) })
    harness.completeRun(harness.getStarts().at(-1)!, 'stopped', 'half')
    harness.now += 100
    harness.completeRun(harness.getStarts().at(-1)!, 'done')
  }
  harness.advance(1_000)
  assert.equal(hasCopyAfter(harness, 700), false)
})

test('run times: guards against the failure that one slow target makes all runs seem long', () => {
  const harness = createCell(LEARNING)
  for (let index = 0; index < 400; index++) {
    harness.apply({ type: 'job-accepted', definition: buildJob(`slow${index}`, { estimatedMs: DECLARED_MS }) })
    const start = harness.getStarts().at(-1)!
    harness.now += start.target === 't1' ? 1_500 : DECLARED_MS
    harness.completeRun(start, 'done')
  }
  harness.advance(1_000)
  assert.equal(hasCopyAfter(harness, 1_700), true)
})
