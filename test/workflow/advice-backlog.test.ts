import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeWaitMs } from '../../src/workflow/advice/advice-backlog.ts'
import type { CellConfiguration, Organisation, Queue } from '../../src/workflow/settings/cell-configuration.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from './harness.ts'

const URGENT: Queue = { ...QUEUE, name: 'urgent', advice: { decisionMs: 40, perTargetMs: 0.4, validityMs: 2_000 } }
const BATCH: Queue = { ...QUEUE, name: 'batch', priority: 2, stretch: 2, advice: { decisionMs: 500, perTargetMs: 10, validityMs: 2_000 } }
const [ORGANISATION] = CONFIGURATION.organisations
const ORGANISATIONS: readonly Organisation[] = ['busy', 'calm', 'other'].map((name) => ({ ...ORGANISATION!, name, weight: 20 }))
const CELL: CellConfiguration = { ...CONFIGURATION, queues: [URGENT, BATCH], organisations: ORGANISATIONS }
const TARGETS = 10
const SUSTAINED_MS = 2_500
const TICK_MS = 250

type Jobs = { readonly queue: string, readonly organisation: string, readonly count: number }

function submit (harness: CellHarness, jobs: readonly Jobs[]): void {
  for (const { queue, organisation, count } of jobs) {
    for (let index = 0; index < count; index++) harness.apply({ type: 'job-accepted', definition: { ...buildJob(`${queue}${organisation}${index}`, {}), queue, organisation } })
  }
}

/** A cell with a backlog that no response of the advisor shortens. */
function createCell (channels: number, jobs: readonly Jobs[], configuration = CELL): CellHarness {
  const harness = CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`)), configuration)
  harness.apply({ type: 'advice-channels', channels })
  submit(harness, jobs)
  return harness
}

function waitFor (harness: CellHarness, durationMs: number): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) harness.advance(TICK_MS)
}

// LOST: with one of seven members left, batch jobs were accepted that the only channel to the advisor could not ask for in time.
const cells = [
  { guards: 'a single member accepts more batch jobs than it can ask for', channels: 1, jobs: [{ queue: 'batch', organisation: 'busy', count: 10 }], waitMs: SUSTAINED_MS, expected: [['batch', 'busy']] },
  { guards: 'the same jobs are refused while there are enough members', channels: 7, jobs: [{ queue: 'batch', organisation: 'busy', count: 10 }], waitMs: SUSTAINED_MS, expected: [] },
  { guards: 'jobs are refused for a backlog of a moment, as after a takeover', channels: 1, jobs: [{ queue: 'batch', organisation: 'busy', count: 10 }], waitMs: TICK_MS, expected: [] },
  { guards: 'an organisation is refused for the backlog of another one', channels: 1, jobs: [{ queue: 'batch', organisation: 'busy', count: 20 }, { queue: 'batch', organisation: 'calm', count: 1 }], waitMs: SUSTAINED_MS, expected: [['batch', 'busy']] },
  { guards: 'urgent jobs are refused for a backlog of batch jobs', channels: 1, jobs: [{ queue: 'batch', organisation: 'busy', count: 20 }, { queue: 'urgent', organisation: 'busy', count: 5 }], waitMs: SUSTAINED_MS, expected: [['batch', 'busy']] }
]

for (const { guards, channels, jobs, waitMs, expected } of cells) {
  test(`advice backlog: guards against the failure that ${guards}`, () => {
    const harness = createCell(channels, jobs)
    waitFor(harness, waitMs)
    assert.deepEqual(harness.scheduler.overloads.map(({ queue, organisation }) => [queue, organisation]), expected)
  })
}

// A job at the maximum of its organisation waits for its own runs, which more members would not change.
test('advice backlog: guards against the failure that jobs that wait for their organisation\'s maximum count as waiting for a channel', () => {
  const maximum = { cpuMillis: 1_000, memoryMiB: 0, accelerators: 0 }
  const configuration = { ...CELL, queues: [...CELL.queues, { ...QUEUE, name: 'filler' }], organisations: [{ ...ORGANISATIONS[0]!, maximum }] }
  const harness = createCell(1, [{ queue: 'filler', organisation: 'busy', count: 1 }, { queue: 'batch', organisation: 'busy', count: 20 }], configuration)
  waitFor(harness, SUSTAINED_MS)
  assert.deepEqual(harness.scheduler.overloads, [])
})

test('advice backlog: guards against the failure that jobs are refused for good once they have been', () => {
  const harness = createCell(1, [{ queue: 'batch', organisation: 'busy', count: 10 }])
  waitFor(harness, SUSTAINED_MS)
  assert.equal(harness.scheduler.overloads.length, 1)
  for (let index = 0; index < 9; index++) harness.apply({ type: 'job-cancelled', id: `batchbusy${index}` })
  waitFor(harness, TICK_MS)
  assert.deepEqual(harness.scheduler.overloads, [])
})

const waits = [
  { guards: 'the time of the job itself is left out', load: { backlogMs: 5_000, ownMs: 5_000, share: 0.5 }, costMs: 1_000, expected: 6_000 },
  { guards: 'an organisation below its share waits for the others', load: { backlogMs: 20_000, ownMs: 500, share: 0.25 }, costMs: 500, expected: 4_000 }
]

for (const { guards, load, costMs, expected } of waits) {
  test(`advice backlog: guards against the failure that ${guards}`, () => {
    assert.equal(computeWaitMs(load, costMs), expected)
  })
}

// With two and three members left, one channel and two were kept free for urgent steps while batch jobs were refused for want of channels.
const reserves = [
  { guards: 'a channel is kept free while jobs are refused', channels: 3, waitMs: SUSTAINED_MS, expected: 3 },
  { guards: 'batch jobs take all channels before jobs would have to be refused', channels: 3, waitMs: TICK_MS, expected: 1 }
]

for (const { guards, channels, waitMs, expected } of reserves) {
  test(`advice backlog: guards against the failure that ${guards}`, () => {
    const harness = createCell(channels, [{ queue: 'urgent', organisation: 'calm', count: 1 }, { queue: 'batch', organisation: 'busy', count: 30 }])
    waitFor(harness, waitMs)
    const asking = harness.effects.filter((effect) => effect.type === 'request-advice' && effect.step.startsWith('batch'))
    assert.equal(asking.length, expected)
  })
}
