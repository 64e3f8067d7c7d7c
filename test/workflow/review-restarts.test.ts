import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import { CellHarness, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

const OLD_CLOCK_MS = 400_000
const POLL_INTERVAL_MS = 500
/** A task that lasts may be without a run for so long, in milliseconds. */
const MAX_GAP_MS = 9_000
/** A start may come so late, and a listing after that shows whether it has, in milliseconds. */
const MAX_LATE_MS = 20_000
const OPTIONS = { leaseMs: 3_500, longestLeaseMs: 10_000 }

/** Starts a task on `t1`, which does not answer, beside `t2`. */
function startWithoutAnswer (): CellHarness {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { longRunning: true }) })
  harness.publishTarget(buildEntry('t2'))
  assert.deepEqual(harness.getStarts().map(({ target }) => target), ['t1'])
  return harness
}

function countSpareStarts (harness: CellHarness): number {
  return harness.getStarts().filter(({ target }) => target === 't2').length
}

/** Accepts the last stop command that was sent. */
function acceptStop (harness: CellHarness): void {
  const { target, incarnation, command } = harness.getCommands('stop').at(-1)!
  harness.apply({ type: 'stop-answered', target, incarnation, task: command.task, run: command.run, response: { type: 'accepted', clockMs: 500 } })
}

// TWICE: the second restart has forgotten the rejection of the run, and a late copy of its start comes before the first answer.
test('cell: guards against the failure that a task with an unanswered start starts elsewhere when its target has restarted twice, before the last incarnation has answered', () => {
  const harness = startWithoutAnswer()
  const aloneUntil = harness.now
  harness.now += 500
  harness.apply({ type: 'tick', aloneUntil })
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  acceptStop(harness)
  harness.now += 100
  harness.listTarget('t1', { incarnation: 2, clockMs: 600 })
  harness.apply({ type: 'tick', aloneUntil })
  assert.equal(countSpareStarts(harness), 0, 'a successor may have started it again')
  harness.now += 500
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 3 }) })
  harness.now += 50
  harness.apply({ type: 'tick', aloneUntil: harness.now })
  assert.equal(countSpareStarts(harness), 0, 'a late copy of its start may be on the last incarnation')
})

// TWICE: an owner that is cut off may send deadlines of the life before for longer than 3 s; the next owner ended the lease too early.
test('cell: guards against the failure that the lease of a restarted target counts as shorter than the longest one at its first answer to the next owner', () => {
  const harness = CellHarness.create([], undefined, OPTIONS)
  harness.apply({ type: 'incarnations-restored', incarnations: { t1: 1 } })
  harness.apply({ type: 'targets-stored', ids: ['t1'] })
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.now += 100
  harness.listTarget('t1', { incarnation: 2, clockMs: 20_000 })
  assert.ok(harness.scheduler.getTarget('t1')!.getExpiryTime() >= harness.now + OPTIONS.longestLeaseMs, `it ends after ${harness.scheduler.getTarget('t1')!.getExpiryTime() - harness.now} ms`)
})

// LOST: a target that went away with a run of an unknown job stayed on the stored list, and each later owner waited for its leases.
test('cell: guards against the failure that a target that has gone away with a run of an unknown job is never forgotten', () => {
  const harness = createHarnessWithTarget()
  harness.listTarget('t1', { running: [{ task: 'unknown.0.0.0', run: 7, checkpoint: '', percent: 0, gauge: undefined }] })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  harness.apply({ type: 'target-withdrawn', id: 't1' })
  for (let seconds = 0; seconds < 60; seconds += 1) harness.advance(1_000)
  assert.ok(harness.scheduler.getTarget('t1') === undefined, 'it is still known')
})

// LOST: a run whose stop is refused each time stays booked for good, although listings have long shown that it is not there.
test('cell: guards against the failure that a task that lasts waits for the answer to a stop for longer than a start may be late', () => {
  const harness = startWithoutAnswer()
  const [start] = harness.getStarts()
  harness.apply({ type: 'start-answered', target: 't1', incarnation: 1, task: start!.command.task, run: start!.command.run, response: { type: 'refused', reason: 'failed', clockMs: OLD_CLOCK_MS } })
  for (let elapsedMs = 0; elapsedMs < MAX_LATE_MS && countSpareStarts(harness) === 0; elapsedMs += POLL_INTERVAL_MS) {
    for (const { target, incarnation, command } of harness.advance(POLL_INTERVAL_MS).filter((effect) => effect.type === 'stop')) {
      harness.apply({ type: 'stop-answered', target, incarnation, task: command.task, run: command.run, response: { type: 'refused', reason: 'unhealthy', clockMs: undefined } })
    }
    harness.listTarget('t1')
    harness.listTarget('t2')
  }
  assert.equal(countSpareStarts(harness), 1)
})

// LOST: a target that lists its runs but loses each start keeps a task that lasts for good, beside one that is idle.
test('cell: guards against the failure that a task that lasts waits for a target that answers no start, as long as that goes on', () => {
  const harness = startWithoutAnswer()
  for (let elapsedMs = 0; elapsedMs < MAX_GAP_MS && countSpareStarts(harness) === 0; elapsedMs += POLL_INTERVAL_MS) {
    if (harness.advance(POLL_INTERVAL_MS).some(({ type }) => type === 'stop')) acceptStop(harness)
    harness.now += 1
    harness.listTarget('t1')
    harness.listTarget('t2')
  }
  assert.equal(countSpareStarts(harness), 1)
})

// LOST: a run that was taken over less than 20 s ago waits for the longest lease, and 12 s, if its target restarts and is gone before it answers.
for (const takenOverMsAgo of [500, 19_000, 21_000]) {
  test(`cell: guards against the failure that a task that lasts waits too long if its target restarts ${takenOverMsAgo} ms after a takeover and is gone before it answers`, () => {
    const harness = CellHarness.create([], undefined, OPTIONS)
    harness.apply({ type: 'job-accepted', definition: buildJob('a', { longRunning: true }) })
    harness.apply({ type: 'target-published', entry: buildEntry('t1') })
    harness.apply({ type: 'targets-stored', ids: ['t1'] })
    const running = [{ task: 'a.0.0.0', run: 7, checkpoint: '', percent: 100, gauge: undefined }]
    for (let elapsedMs = 0; elapsedMs <= takenOverMsAgo; elapsedMs += POLL_INTERVAL_MS) {
      buildListRequest(harness.scheduler.getTarget('t1')!, harness.now, OPTIONS.leaseMs)
      harness.listTarget('t1', { running })
      harness.advance(POLL_INTERVAL_MS)
    }
    harness.publishTarget(buildEntry('t2'))
    harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
    harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
    const goneAt = harness.now
    while (countSpareStarts(harness) === 0 && harness.now - goneAt < 60_000) harness.advance(POLL_INTERVAL_MS)
    assert.ok(harness.now - goneAt <= MAX_GAP_MS, `${harness.now - goneAt} ms in place of ${MAX_GAP_MS} ms`)
  })
}
