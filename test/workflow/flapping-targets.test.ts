import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobPhase } from '../../src/workflow/job.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

/** After this time the leases of the life before have certainly ended, in milliseconds. */
const RESTED_MS = 40_000
const SMALL = { cpuMillis: 1_000, memoryMiB: 1_000, accelerators: 0 }

/** Lets the task crash its target just after its last start. It is back at once, and nothing starts until its leases have ended. */
function crashTarget (harness: CellHarness): void {
  const start = harness.getStarts().at(-1)!
  harness.acceptStart(start)
  harness.now += 10
  harness.apply({ type: 'target-silent', id: start.target, cause: 'no-listener' })
  harness.now += 10
  const incarnation = start.incarnation + 1
  harness.apply({ type: 'target-published', entry: buildEntry(start.target, { incarnation }) })
  harness.apply({ type: 'targets-stored', ids: [start.target] })
  harness.apply({ type: 'domains-out', domains: ['east'] })
  for (let listing = 0; listing < 2; listing += 1) {
    harness.now += 10
    harness.listTarget(start.target, { incarnation, clockMs: 20 })
  }
  harness.advance(RESTED_MS)
  harness.apply({ type: 'domains-out', domains: [] })
}

function createCell (targets: readonly Parameters<typeof buildEntry>[]): CellHarness {
  const harness = CellHarness.create(targets.map((entry) => buildEntry(...entry)))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  return harness
}

const lives: ReadonlyArray<{ readonly guards: string, readonly crashes: number, readonly phase: JobPhase }> = [
  { guards: 'three lives of one target count as three targets', crashes: 3, phase: 'running' },
  { guards: 'a task that crashes the only target is never given up', crashes: 5, phase: 'failed' }
]

for (const { guards, crashes, phase } of lives) {
  // LOST: a job was shown as failed although only one target had crashed under it, again and again; BUDGET: a sixth start after three.
  test(`crashes: guards against the failure that ${guards}`, () => {
    const harness = createCell([['t1']])
    for (let crash = 0; crash < crashes; crash += 1) crashTarget(harness)
    assert.equal(harness.getStarts().length, phase === 'failed' ? crashes : crashes + 1)
    assert.equal(harness.scheduler.getProgress('a')?.phase, phase)
  })
}

// LOST: a task on trial started again on the target that had just crashed under it, and was charged with its next crash.
test('crashes: guards against the failure that a task on trial prefers the target that has crashed under it', () => {
  const harness = createCell([['t1']])
  harness.publishTarget(buildEntry('t2', { capacity: SMALL }))
  crashTarget(harness)
  assert.deepEqual(harness.getStarts().map(({ target }) => target), ['t1', 't2'])
})
