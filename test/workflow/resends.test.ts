import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellEffect } from '../../src/workflow/effect.ts'
import { DEFAULT_CELL_OPTIONS } from '../../src/workflow/options.ts'
import { ResendPause } from '../../src/workflow/commands/resend-pause.ts'
import type { ListedCompletion } from '../../src/workflow/target-entry.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

const TICK_MS = 50
const TARGETS = 10
const JOBS = 40
/** How long a ticket is valid on the operators' platform, in milliseconds. */
const TICKET_VALIDITY_MS = 2_000
const { resendAfterMs } = DEFAULT_CELL_OPTIONS

function startOneTask (): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')])
  harness.apply({ type: 'job-accepted', definition: buildJob('j', {}) })
  assert.equal(harness.getStarts().length, 1)
  return harness
}

function advance (harness: CellHarness, durationMs: number): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) harness.advance(TICK_MS)
}

function countResends (effects: readonly CellEffect[], type: 'start' | 'stop'): number {
  return effects.filter((effect) => effect.type === type).length
}

// A leader that read responses late sent each start 5 to 17 times within the validity of its ticket, and was later still.
test('resends: guards against the failure that starts without a response are sent more than six times while their tickets are valid', () => {
  const harness = startOneTask()
  advance(harness, TICKET_VALIDITY_MS)
  assert.ok(harness.getStarts().length <= 6, `${harness.getStarts().length} sends`)
  assert.equal(new Set(harness.getStarts().map(({ command }) => command.run)).size, 1)
})

test('resends: the first comes as soon as before, and they go on for as long as slow targets take to answer', () => {
  const harness = startOneTask()
  advance(harness, resendAfterMs)
  assert.equal(harness.getStarts().length, 2)
  advance(harness, TICKET_VALIDITY_MS)
  const before = harness.getStarts().length
  advance(harness, TICKET_VALIDITY_MS)
  assert.ok(harness.getStarts().length >= before + 2)
})

test('resends: a stop begins with the short time again', () => {
  const harness = startOneTask()
  advance(harness, TICKET_VALIDITY_MS)
  const stopped = harness.apply({ type: 'job-cancelled', id: 'j' })
  assert.equal(countResends(stopped, 'stop'), 1)
  advance(harness, resendAfterMs)
  assert.equal(harness.getCommands('stop').length, 2)
})

// Overdue timers run before sockets are read: each tick after a busy moment took responses that had arrived for missing.
test('resends: guards against the failure that a late leader sends commands again whose responses wait to be read', () => {
  const harness = startOneTask()
  harness.now += 2 * resendAfterMs
  assert.equal(countResends(harness.apply({ type: 'tick', late: true }), 'start'), 0)
  assert.equal(countResends(harness.advance(TICK_MS), 'start'), 1)
})

// Behind a busy leader every response took longer than the pause: each command was sent twice, and made the leader busier.
test('resends: guards against the failure that commands are sent twice while all responses take longer than the pause', () => {
  const responseMs = 200
  const harness = CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`)))
  let late = 0
  for (let index = 0; index < JOBS; index += 1) {
    const started = harness.getStarts(harness.apply({ type: 'job-accepted', definition: buildJob(`j${index}`, {}) }))
    const before = harness.getStarts().length
    advance(harness, responseMs)
    if (index >= JOBS / 2) late += harness.getStarts().length - before
    for (const start of started) {
      harness.acceptStart(start)
      harness.completeRun(start, 'done')
    }
  }
  assert.equal(late, 0)
})

test('resends: the pause follows the response times, between the shortest pause and the timeout of a command', () => {
  const pauses: ReadonlyArray<{ readonly responseMs: number, readonly expected: readonly number[] }> = [
    { responseMs: 10, expected: [150, 300, 600, 600] },
    { responseMs: 100, expected: [300, 600, 600, 600] },
    { responseMs: 900, expected: [600, 600, 600, 600] }
  ]
  for (const { responseMs, expected } of pauses) {
    const pause = ResendPause.create(150)
    for (let response = 0; response < 200; response += 1) pause.recordResponseTime(responseMs)
    assert.deepEqual([1, 2, 3, 4].map((sendCount) => Math.round(pause.getMs(sendCount))), expected)
  }
})

const POLL_INTERVAL_MS = 500
/** Until a start of this owner can no longer be executed, and until a listing after that, in milliseconds. */
const MAX_LATE_MS = 12_000
const MAX_STOP_WAIT_MS = MAX_LATE_MS + 2 * POLL_INTERVAL_MS
const COMPLETIONS_AT_A_TIME = 500

/** Starts a task that lasts on `t1`, which does not answer, beside `t2`. */
function startLastingTask (): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')])
  harness.apply({ type: 'job-accepted', definition: buildJob('j', { longRunning: true }) })
  harness.publishTarget(buildEntry('t2'))
  assert.deepEqual(harness.getStarts().map(({ target }) => target), ['t1'])
  return harness
}

function countLaterRuns (harness: CellHarness): number {
  return new Set(harness.getStarts().map(({ command }) => command.run)).size - 1
}

function buildCompletions (from: number, count: number): readonly ListedCompletion[] {
  return Array.from({ length: count }, (_, index) => ({ number: from + index, task: `old.0.0.${from + index}`, run: 1, outcome: 'done', checkpoint: '' }))
}

const refusedStops: ReadonlyArray<{ readonly listed: string, readonly running?: boolean, readonly completions?: number, readonly sentMsAgo?: number, readonly waitsMs: number, readonly runs: number }> = [
  { listed: 'not listed', waitsMs: MAX_STOP_WAIT_MS, runs: 1 },
  { listed: 'not listed, as long as its start may still be executed', waitsMs: MAX_LATE_MS - POLL_INTERVAL_MS, runs: 0 },
  { listed: 'not listed on requests that were sent earlier', sentMsAgo: 3 * POLL_INTERVAL_MS, waitsMs: MAX_STOP_WAIT_MS, runs: 0 },
  { listed: 'listed', running: true, waitsMs: 3 * MAX_STOP_WAIT_MS, runs: 0 },
  { listed: 'in a part of the listing that is left out', completions: COMPLETIONS_AT_A_TIME, waitsMs: 3 * MAX_STOP_WAIT_MS, runs: 0 }
]

for (const { listed, running = false, completions = 0, sentMsAgo = 0, waitsMs, runs } of refusedStops) {
  // LOST: a run whose stop was refused each time stayed booked for good, although listings had long shown that it was not there.
  test(`resends: guards against the failure that a task waits for a stop that is refused each time for longer than needed, or not long enough: its run is ${listed}`, () => {
    const harness = startLastingTask()
    const [start] = harness.getStarts()
    const { task, run } = start!.command
    harness.apply({ type: 'start-answered', target: 't1', incarnation: 1, task, run, response: { type: 'refused', reason: 'failed', clockMs: 60_000 } })
    for (let elapsedMs = 0, number = 1; elapsedMs < waitsMs && countLaterRuns(harness) === 0; elapsedMs += POLL_INTERVAL_MS, number += completions) {
      for (const stop of harness.advance(POLL_INTERVAL_MS).filter(({ type }) => type === 'stop')) {
        assert.ok(stop.type === 'stop' && stop.command.run === run, 'another run was stopped')
        harness.apply({ type: 'stop-answered', target: 't1', incarnation: 1, task, run, response: { type: 'refused', reason: 'unhealthy', clockMs: undefined } })
      }
      harness.listTarget('t1', { sentAt: harness.now - sentMsAgo, ended: buildCompletions(number, completions), running: running ? harness.runningOn('t1') : [] })
      harness.listTarget('t2', { running: harness.runningOn('t2') })
    }
    assert.equal(countLaterRuns(harness), runs)
    assert.equal(harness.getStarts().filter(({ target }) => target === 't2').length, runs, 'the task has started on the same target again')
  })
}

/** A task that lasts may be without a run for so long, in milliseconds. */
const MAX_GAP_MS = 9_000
/** Targets that are slow answer a start within this time, in milliseconds. */
const SLOW_ANSWER_MS = 3_000

/** Lists both targets and answers the stops that they get, but no starts on `t1`. */
function pollTargets (harness: CellHarness): void {
  const stops = harness.advance(POLL_INTERVAL_MS).flatMap((effect) => effect.type === 'stop' ? [effect] : [])
  for (const { target, incarnation, command: { task, run } } of stops) harness.apply({ type: 'stop-answered', target, incarnation, task, run, response: { type: 'accepted', clockMs: harness.now } })
  harness.now += 1
  harness.listTarget('t1')
  harness.listTarget('t2', { running: harness.runningOn('t2') })
}

// LOST: a target that listed its runs but lost each start kept a task that lasts for good, beside one that was idle.
test('resends: guards against the failure that a task that lasts waits for a target that answers no start, as long as that goes on', () => {
  const harness = startLastingTask()
  const [start] = harness.getStarts()
  const sentAt = harness.now
  while (harness.getStarts().every(({ target }) => target === 't1') && harness.now - sentAt < MAX_GAP_MS) pollTargets(harness)
  assert.deepEqual(harness.getStarts().filter(({ command }) => command.run !== start!.command.run).map(({ target }) => target), ['t2'])
  assert.ok(harness.getCommands('stop').some(({ command }) => command.run === start!.command.run), 'the run was not stopped')
})

// A slow target would lose its runs if it were taken for one that answers no start.
test('resends: guards against the failure that a run is stopped whose target is slow to answer its start', () => {
  const harness = startLastingTask()
  const [start] = harness.getStarts()
  while (harness.now < 1_000 + SLOW_ANSWER_MS) pollTargets(harness)
  harness.acceptStart(start!)
  for (let polls = 0; polls < 10; polls += 1) {
    harness.advance(POLL_INTERVAL_MS)
    harness.listTarget('t1', { running: harness.runningOn('t1').map((run) => ({ ...run, percent: 100 })) })
  }
  assert.equal(harness.getCommands('stop').length, 0)
  assert.equal(countLaterRuns(harness), 0)
})

// LOST: while the answer to the stop is missing too, the run may be on the target.
test('resends: guards against the failure that a task whose start has no answer starts elsewhere before its stop has one', () => {
  const harness = startLastingTask()
  for (let elapsedMs = 0; elapsedMs < MAX_LATE_MS; elapsedMs += POLL_INTERVAL_MS) {
    harness.advance(POLL_INTERVAL_MS)
    harness.listTarget('t1')
    harness.listTarget('t2')
  }
  assert.notEqual(harness.getCommands('stop').length, 0, 'no stop was sent')
  assert.equal(countLaterRuns(harness), 0)
})
