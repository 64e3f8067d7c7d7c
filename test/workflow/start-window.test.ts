import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Step } from '../../src/workflow/job.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

/** Starts of one job without an answer: on all targets, and on one. The rest is for jobs of which nothing runs. */
const MAX_STARTS = 750
const FIRST_STARTS = 525
const MIN_STARTS = 150
const MAX_STARTS_OF_TARGET = 72
const TARGETS = 20
const SMALL = { cpuMillis: 1, memoryMiB: 1, accelerators: 0 }
const CAPACITY = { cpuMillis: 16_000, memoryMiB: 64_000, accelerators: 0 }

type Start = ReturnType<CellHarness['getStarts']>[number]

function createCell (targets = TARGETS): CellHarness {
  return CellHarness.create(Array.from({ length: targets }, (_, index) => buildEntry(`t${index}`, { capacity: CAPACITY })))
}

function submit (harness: CellHarness, id: string, step: Partial<Step>, payload = 'p'): readonly Start[] {
  return harness.getStarts(harness.apply({ type: 'job-accepted', definition: { ...buildJob(id, { demand: SMALL, ...step }), payload } }))
}

function countByTarget (starts: readonly Start[]): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { target } of starts) counts.set(target, (counts.get(target) ?? 0) + 1)
  return counts
}

type PassCase = { readonly guards: string, readonly step: Partial<Step>, readonly targets: number, readonly expected: number, readonly payload?: string }

const passes: readonly PassCase[] = [
  // The starts of 40,000 tasks went out in one pass of four seconds, each with a copy of the payload: no leader survived it.
  { guards: 'all starts of a large job are sent at once', step: { count: 10_000 }, targets: TARGETS, expected: FIRST_STARTS },
  // Leaders lost their leases while they and the senders were busy with 4 KB for each start.
  { guards: 'as many starts with a long text are sent as with a short one', step: { count: 10_000 }, targets: TARGETS, expected: FIRST_STARTS / 4, payload: 'x'.repeat(4_000) },
  { guards: 'one target gets more starts than its connections carry', step: { count: 10_000 }, targets: 2, expected: 2 * MAX_STARTS_OF_TARGET },
  { guards: 'the starts of a usual job are held back', step: { count: 52 }, targets: 1, expected: 52 },
  // The members of a gang wait for each other on their targets.
  { guards: 'a large gang never starts', step: { count: 2_000, gang: true }, targets: TARGETS, expected: 2_000 }
]

for (const { guards, step, targets, expected, payload } of passes) {
  test(`start window: guards against the failure that ${guards}`, () => {
    assert.equal(submit(createCell(targets), 'j', step, payload).length, Math.ceil(expected))
  })
}

test('start window: guards against the failure that tasks which were held back are not started as the answers come', () => {
  const harness = createCell()
  submit(harness, 'j', { count: 3_000 })
  let answered = 0
  for (let start = harness.getStarts()[answered]; start !== undefined; start = harness.getStarts()[answered]) {
    harness.acceptStart(start)
    answered += 1
    assert.ok(harness.getStarts().length - answered <= MAX_STARTS)
    for (const count of countByTarget(harness.getStarts().slice(answered)).values()) assert.ok(count <= MAX_STARTS_OF_TARGET)
  }
  assert.equal(harness.countStartedTasks('j'), 3_000)
})

// Starts waited at the senders until they were given up after 600 ms and sent again: under 100 tasks a second started.
test('start window: guards against the failure that more starts are sent than slow targets answer in time', () => {
  const harness = createCell()
  submit(harness, 'j', { count: 40_000 })
  let answered = 0
  for (let round = 0; round < 4; round++) {
    harness.now += 500
    for (const start of harness.getStarts().slice(answered, answered + FIRST_STARTS)) harness.acceptStart(start)
    answered += FIRST_STARTS
  }
  assert.ok(harness.getStarts().length - answered <= MIN_STARTS, `${harness.getStarts().length - answered} starts under way`)
})

test('start window: guards against the failure that a target which answers nothing holds up the starts on others', () => {
  const harness = createCell(2)
  submit(harness, 'j', { count: 400 })
  const answerAll = (from: number): void => {
    for (const start of harness.getStarts().slice(from)) {
      if (start.target === 't1') harness.acceptStart(start)
    }
  }
  for (let from = 0; from < harness.getStarts().length;) {
    const next = harness.getStarts().length
    answerAll(from)
    from = next
  }
  assert.equal(countByTarget(harness.getStarts()).get('t0'), MAX_STARTS_OF_TARGET)
  assert.equal(countByTarget(harness.getStarts()).get('t1'), 400 - MAX_STARTS_OF_TARGET)
})

test('start window: guards against the failure that starts whose answers are lost hold up others for good', () => {
  const harness = createCell()
  submit(harness, 'j', { count: 10_000 })
  for (let index = 0; index < TARGETS; index++) harness.listTarget(`t${index}`, { running: harness.runningOn(`t${index}`) })
  const before = harness.countStartedTasks('j')
  harness.advance(1_000)
  harness.advance(50)
  assert.ok(harness.countStartedTasks('j') > before, `${before} tasks started`)
})

// A job whose tasks wait may not have nothing running for 3 s while there is room.
test('start window: guards against the failure that a job starts nothing while the starts of a large one are under way', () => {
  const harness = createCell()
  submit(harness, 'large', { count: 10_000 })
  assert.equal(submit(harness, 'small', { count: 4 }).length, 1)
  assert.equal(submit(harness, 'lasting', { count: 4, longRunning: true }).length, 4)
})
