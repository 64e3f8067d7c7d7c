import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import { CellHarness, QUEUE, buildEntry } from './harness.ts'

const LEASE_MS = 3_500
const STEP_MS = 100

type Start = ReturnType<CellHarness['getStarts']>[number]

/** A task whose start on the only target has no answer. */
function createCell (): { readonly harness: CellHarness, readonly start: Start } {
  const harness = CellHarness.create([buildEntry('t0')])
  harness.acceptJob('a', QUEUE.name, { longRunning: true })
  return { harness, start: harness.getStarts()[0]! }
}

/** Lets commands be sent again until this time after the start. */
function advanceTo (harness: CellHarness, beganAt: number, elapsedMs: number): void {
  while (harness.now < beganAt + elapsedMs) harness.advance(STEP_MS)
}

const listings: ReadonlyArray<{ readonly guards: string, readonly clocksMs: readonly number[], readonly lost: boolean }> = [
  { guards: 'a listing before the lease of its start has ended on the clock of its target', clocksMs: [-STEP_MS, -1], lost: false },
  { guards: 'one listing after that, whose list of runs may be older than its clock', clocksMs: [-STEP_MS, 1], lost: false },
  { guards: 'a listing requested when the clock had reached that time exactly', clocksMs: [0, 1], lost: false },
  { guards: 'a listing requested after that', clocksMs: [1, 2], lost: true }
]

for (const { guards, clocksMs, lost } of listings) {
  // TWICE: a copy of the start that is carried out later runs beside the next run of the task. LOST: the task waited for 12 s.
  test(`expired starts: guards against the failure that a run without an answer is given up too early, or too late: ${guards}`, () => {
    const { harness, start } = createCell()
    const beganAt = harness.now
    advanceTo(harness, beganAt, LEASE_MS + 5 * STEP_MS)
    for (const clockMs of clocksMs) {
      harness.now += STEP_MS
      harness.listTarget('t0', { clockMs: start.command.leaseUntilMs + clockMs })
    }
    assert.equal(harness.scheduler.getTarget('t0')!.find(start.command.task, start.command.run) === undefined, lost)
  })
}

// TWICE: the clock of the next incarnation says nothing of the lease that was measured on that of the one before.
test('expired starts: guards against the failure that a start is taken for expired by the clock of the next incarnation of its target', () => {
  const { harness, start } = createCell()
  harness.publishTarget(buildEntry('t0', { incarnation: 2 }))
  const live = harness.scheduler.getTarget('t0')!.find(start.command.task, start.command.run)
  assert.equal(live?.startLeaseUntilMs ?? Infinity, Infinity)
})

// TWICE: a copy with a later lease would be carried out after the run was given up.
test('expired starts: guards against the failure that a start that is sent again has a later lease than the first one', () => {
  const { harness, start } = createCell()
  advanceTo(harness, harness.now, LEASE_MS - STEP_MS)
  const copies = harness.getStarts().filter(({ command }) => command.run === start.command.run)
  assert.ok(copies.length > 1)
  assert.deepEqual(new Set(copies.map(({ command }) => command.leaseUntilMs)), new Set([start.command.leaseUntilMs]))
})

// LOST: the task waited a second longer for each of the listings that show that its start has expired.
test('expired starts: guards against the failure that a listing waits for the end of a run while a start has expired without an answer', () => {
  const { harness } = createCell()
  const beganAt = harness.now
  const getWaitMs = (): number => buildListRequest(harness.scheduler.getTarget('t0')!, harness.now, LEASE_MS).waitMs
  advanceTo(harness, beganAt, LEASE_MS - STEP_MS)
  assert.ok(getWaitMs() >= 500, 'the target is asked all the time before that')
  advanceTo(harness, beganAt, LEASE_MS + 2 * STEP_MS)
  assert.ok(getWaitMs() <= 100)
})
