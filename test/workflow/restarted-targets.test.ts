import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Incarnations } from '../../src/workflow/takeover/earlier-leases.ts'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import type { SentCommand } from './harness.ts'
import { CellHarness, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

/** Clock of a target that has worked for long. */
const OLD_CLOCK_MS = 400_000

function answer (harness: CellHarness, { type, target, command }: SentCommand, response: CommandResponse, incarnation = 1): void {
  harness.apply({ type: type === 'start' ? 'start-answered' : 'stop-answered', target, incarnation, task: command.task, run: command.run, response })
}

// LOST: the clock of the next incarnation was recorded for the one before, so that the lease of its runs seemed to last for minutes.
test('cell: the lease of a silent target expires although its next incarnation has answered a start', () => {
  const harness = createHarnessWithTarget()
  harness.listTarget('t1', { clockMs: OLD_CLOCK_MS })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  answer(harness, start!, { type: 'accepted', clockMs: 40 })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  harness.publishTarget(buildEntry('t2'))
  harness.advance(30_000)
  assert.equal(harness.getStarts().at(-1)!.target, 't2')
})

// LOST: the clock of the incarnation before was recorded for the next one, whose leases then ended minutes later.
test('cell: an answer of the incarnation before does not change the clock of a target', () => {
  const harness = createHarnessWithTarget()
  harness.listTarget('t1', { clockMs: OLD_CLOCK_MS })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.listTarget('t1', { incarnation: 2, clockMs: 40 })
  answer(harness, start!, { type: 'accepted', clockMs: OLD_CLOCK_MS })
  assert.equal(harness.scheduler.getTarget('t1')!.estimateClockMs(harness.now), 40)
})

const UNANSWERED = { type: 'unanswered', reason: 'timeout' } as const
const ACCEPTED = { type: 'accepted', clockMs: 10 } as const

/** Starts a run with two commands, of which the first stays without an answer. */
function startTwice (harness: CellHarness): SentCommand {
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.advance(200)
  answer(harness, start!, UNANSWERED)
  answer(harness, start!, ACCEPTED)
  return start!
}

/** The next incarnation is published and listed twice, without any runs. */
function restart (harness: CellHarness): void {
  harness.now += 10
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.listTarget('t1', { incarnation: 2 })
  harness.now += 10
  harness.listTarget('t1', { incarnation: 2 })
}

/** The new incarnation rejects a run from now on, and lists its runs after that. */
function answerStopAndList (harness: CellHarness): void {
  answer(harness, harness.getCommands('stop').at(-1)!, ACCEPTED, 2)
  harness.now += 10
  harness.listTarget('t1', { incarnation: 2 })
}

// TWICE: the late copy of a start reached the next incarnation, which knew neither the run nor a term, while the task ran elsewhere.
test('cell: a run with an unanswered start is stopped on the next incarnation of its target before its task starts again', () => {
  const harness = createHarnessWithTarget()
  startTwice(harness)
  harness.publishTarget(buildEntry('t2'))
  restart(harness)
  assert.equal(harness.getStarts().length, 2, 'the start and its copy')
  assert.equal(harness.getCommands('stop').at(-1)?.incarnation, 2)
  answerStopAndList(harness)
  assert.equal(harness.getStarts().length, 3)
})

// TWICE: the answer of the incarnation before to a stop was taken for one of the next incarnation.
test('cell: a stop that the incarnation before has answered is sent again to the next one', () => {
  const harness = createHarnessWithTarget()
  startTwice(harness)
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'job-cancelled', id: 'a' })
  const [stop] = harness.getCommands('stop')
  answer(harness, stop!, ACCEPTED)
  restart(harness)
  assert.ok([...harness.scheduler.getTarget('t1')!.runs.values()].some(({ task }) => task.key === 'a.0.0.0'), 'the next incarnation has not rejected the run')
  answer(harness, stop!, ACCEPTED)
  harness.now += 10
  harness.listTarget('t1', { incarnation: 2 })
  assert.ok([...harness.scheduler.getTarget('t1')!.runs.values()].some(({ task }) => task.key === 'a.0.0.0'), 'a late answer of the incarnation before does not count')
  answerStopAndList(harness)
  assert.equal(harness.scheduler.getTarget('t1')!.runs.size, 0)
})

// TWICE: the late copy of a start reached the next incarnation after the run had ended as done on the one before.
test('cell: a run that has ended is stopped on the next incarnation until that answers, if a start of it had no answer', () => {
  const harness = createHarnessWithTarget()
  const start = startTwice(harness)
  harness.completeRun({ target: 't1', command: start.command as never }, 'done')
  restart(harness)
  const stopsOfRun = (): number => harness.getCommands('stop').filter(({ incarnation, command }) => incarnation === 2 && command.run === start.command.run).length
  assert.equal(stopsOfRun(), 1)
  harness.advance(200)
  assert.equal(stopsOfRun(), 2, 'sent again without an answer')
  answer(harness, harness.getCommands('stop').at(-1)!, ACCEPTED, 2)
  harness.advance(200)
  assert.equal(stopsOfRun(), 2)
})

const LEASE_MS = 3_500
const LONGEST_LEASE_MS = 10_000

/** Seconds from the silence of `t1` until the task that runs there starts on another target. */
function countSecondsUntilRestart (harness: CellHarness): number {
  harness.publishTarget(buildEntry('t2'))
  const started = harness.getStarts().length
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  for (let seconds = 1; seconds <= 60; seconds++) {
    harness.advance(1_000)
    if (harness.getStarts().length > started) return seconds
  }
  return Infinity
}

/** Applies the stored list of an earlier leader, which has `t1`. */
function restoreTargets (harness: CellHarness, incarnations: Incarnations): void {
  harness.apply({ type: 'incarnations-restored', incarnations })
  harness.apply({ type: 'targets-stored', ids: ['t1'] })
}

const leases: ReadonlyArray<{ readonly guards: string, readonly clocksMs: readonly number[], readonly stored?: Incarnations, readonly expectedSeconds: number }> = [
  // A lease that was measured on the old clock lasts for 10 s from its arrival, up to 12 s after it was sent.
  { guards: 'restarted under this leader', clocksMs: [OLD_CLOCK_MS, 40], expectedSeconds: 23 },
  { guards: 'restarted under this leader twice', clocksMs: [OLD_CLOCK_MS, 40, 30], expectedSeconds: 23 },
  { guards: 'has another incarnation than the earlier leader commanded', clocksMs: [40], stored: { t1: 0 }, expectedSeconds: 11 },
  { guards: 'is young and has the incarnation that the earlier leader commanded', clocksMs: [40], stored: { t1: 1 }, expectedSeconds: 4 },
  { guards: 'is young and has not been on the stored list', clocksMs: [40], expectedSeconds: 4 },
  // Older releases stored no incarnations.
  { guards: 'restarted just before this leader listed it', clocksMs: [40], stored: {}, expectedSeconds: 11 },
  { guards: 'restarted some seconds before this leader listed it', clocksMs: [14_000], stored: {}, expectedSeconds: 11 },
  { guards: 'restarted longer ago than any lease of the earlier leader lasts', clocksMs: [30_000], stored: {}, expectedSeconds: 4 },
  { guards: 'did not restart', clocksMs: [OLD_CLOCK_MS], expectedSeconds: 4 }
]

for (const { guards, clocksMs, stored, expectedSeconds } of leases) {
  // TWICE: the leases of a target that had restarted were taken for those that the leader asks for, 3.5 s in place of 10 s.
  test(`cell: the task of a silent target starts elsewhere after ${expectedSeconds} s if the target ${guards}`, () => {
    const harness = CellHarness.create([], undefined, { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS })
    if (stored !== undefined) restoreTargets(harness, stored)
    clocksMs.forEach((clockMs, index) => {
      harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: index + 1 }) })
      harness.apply({ type: 'targets-stored', ids: ['t1'] })
      harness.listTarget('t1', { incarnation: index + 1, clockMs })
      buildListRequest(harness.scheduler.getTarget('t1')!, harness.now, LEASE_MS)
    })
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    harness.acceptStart(harness.getStarts()[0]!)
    assert.equal(countSecondsUntilRestart(harness), expectedSeconds)
  })
}

// TWICE: the lease of a run that was started on the old clock reached the new incarnation, which was never listed.
test('cell: the task of a target that restarted and was not listed since starts elsewhere after all its leases', () => {
  const harness = CellHarness.create([buildEntry('t1')], undefined, { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  assert.equal(countSecondsUntilRestart(harness), 23)
})

/** A target with a run that has ended and been acknowledged: its cursor is 1. */
function createAcknowledged (): CellHarness {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.completeRun(harness.getStarts()[0]!, 'done')
  harness.apply({ type: 'progress-stored', phases: new Map(), released: [], completions: harness.scheduler.getProcessedCompletions() })
  return harness
}

function buildRequest (harness: CellHarness): ReturnType<typeof buildListRequest> {
  return buildListRequest(harness.scheduler.getTarget('t1')!, harness.now, LEASE_MS)
}

// TWICE: the cursor of the incarnation before let the next one discard completions that nobody had read, and their tasks ran again.
test('cell: after a list request without an answer the next ones acknowledge nothing and extend no lease until one is answered', () => {
  const harness = createAcknowledged()
  assert.deepEqual(buildRequest(harness), { acknowledged: 1, leaseUntilMs: harness.now + 60_000 + LEASE_MS, waitMs: 1_000 })
  harness.apply({ type: 'list-unanswered', id: 't1' })
  assert.deepEqual(buildRequest(harness), { acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  assert.deepEqual(buildRequest(harness), { acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 })
  harness.listTarget('t1')
  assert.equal(buildRequest(harness).acknowledged, 1)
})

// TWICE: a late list request with the cursor of the incarnation before did the same to the next one.
test('cell: a cursor that a target has answered is not sent again', () => {
  const harness = createAcknowledged()
  assert.equal(buildRequest(harness).acknowledged, 1)
  assert.equal(buildRequest(harness).acknowledged, 1, 'no answer yet')
  harness.listTarget('t1')
  assert.equal(buildRequest(harness).acknowledged, 0)
})

// TWICE: a start that was sent after an unanswered list request gave the next incarnation a lease measured on the old clock.
test('cell: a target whose last list request had no answer gets no starts until it lists its runs', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.apply({ type: 'list-unanswered', id: 't1' })
  harness.apply({ type: 'job-accepted', definition: buildJob('b', {}) })
  harness.advance(200)
  assert.deepEqual(harness.getStarts().map(({ command }) => command.task), ['a.0.0.0'], 'neither a new start nor one again')
  harness.listTarget('t1')
  harness.advance(200)
  assert.deepEqual(harness.getStarts().map(({ command }) => command.task), ['a.0.0.0', 'b.0.0.0', 'a.0.0.0', 'b.0.0.0'])
})

test('cell: the log tells once what the incarnation before a restart may have left', () => {
  const harness = createAcknowledged()
  buildRequest(harness)
  harness.apply({ type: 'list-unanswered', id: 't1' })
  harness.now += 300
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  const lines = harness.effects.flatMap((effect) => effect.type === 'log' && effect.message === 'target-restarted' ? [effect.fields] : [])
  assert.deepEqual(lines, [{ target: 't1', incarnation: 2, previousIncarnation: 1, runs: 0, unansweredStarts: 1, lastCursor: 1, listUnanswered: true, leaseRequestedMsAgo: 300, longestLeaseMs: 10_000 }])
})

const earlierLeases = [
  { guards: 'has restarted a while ago and is not listed', ageMs: 20_000, stored: true, listed: false, expected: LONGEST_LEASE_MS },
  { guards: 'has worked for long and is not listed', ageMs: 40_000, stored: true, listed: false, expected: LEASE_MS },
  { guards: 'has restarted and is listed', ageMs: 1_000, stored: true, listed: true, expected: LEASE_MS },
  { guards: 'is new, so that nothing ran there', ageMs: 1_000, stored: false, listed: false, expected: LEASE_MS }
]

for (const { guards, ageMs, stored, listed, expected } of earlierLeases) {
  // TWICE: a new leader waited 3.6 s for the runs of a target that it could not list and that held a lease of 10 s.
  test(`cell: the longest lease of an earlier leader is ${expected} ms if a target ${guards}`, () => {
    const harness = CellHarness.create([], undefined, { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS, wallClockOffsetMs: 1_700_000_000_000 })
    const incarnation = harness.now + 1_700_000_000_000 - ageMs
    harness.scheduler.expectEarlierRuns()
    if (stored) harness.apply({ type: 'targets-stored', ids: ['t1'] })
    harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation }) })
    if (listed) harness.listTarget('t1', { incarnation })
    assert.equal(harness.scheduler.longestEarlierLeaseMs, expected)
  })
}
