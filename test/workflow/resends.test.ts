import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellEffect } from '../../src/workflow/effect.ts'
import { DEFAULT_CELL_OPTIONS } from '../../src/workflow/options.ts'
import { ResendPause } from '../../src/workflow/resend-pause.ts'
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

test('resends: the first comes as soon as before, and they go on without an end', () => {
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
