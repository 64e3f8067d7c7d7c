import assert from 'node:assert/strict'
import { test } from 'node:test'
import { computeFencingNumber } from '../../src/controller/leadership/fencing-number.ts'
import { Random } from '../../src/util/random.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import type { ListedRun } from '../../src/workflow/target-entry.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'
import type { SentCommand } from './harness.ts'
import { SimulatedTarget } from './simulated-target.ts'

const TERM = 3
const LEASE_MS = 3_500
const TICK_MS = 50
const POLL_INTERVAL_MS = 500
/** A start without an answer is stopped after this time, which slow targets need, in milliseconds. */
const GIVEN_UP_AFTER_MS = 4_000
/** A command without an answer may be executed until this time after it was sent, in milliseconds. */
const LATE_COMMAND_MS = 12_000

/** Starts a task that lasts on `t1`, which answers no command, beside others that have room. */
function startLastingTask (areCommandsBound: boolean, others = 1): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')], undefined, { areCommandsBound, leaseMs: LEASE_MS })
  harness.apply({ type: 'job-accepted', definition: buildJob('j', { longRunning: true }) })
  for (let index = 0; index < others; index += 1) harness.publishTarget(buildEntry(`t${index + 2}`))
  return harness
}

function advance (harness: CellHarness, durationMs: number): void {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) harness.advance(TICK_MS)
}

/** Advances until the run is stopped for want of an answer. */
function giveUpStart (harness: CellHarness): void {
  while (harness.getCommands('stop').length === 0) harness.advance(TICK_MS)
}

function countRuns (harness: CellHarness): number {
  return new Set(harness.getStarts().map(({ command }) => command.run)).size
}

function send (target: SimulatedTarget, { type, series, command }: SentCommand, now: number): string {
  const { task, run } = command
  const epoch = computeFencingNumber(TERM, series)
  return type === 'stop' ? target.stop(task, run, epoch, now) : target.start({ task, run, leaseUntilMs: Infinity, epoch, durationMs: Infinity, fails: false, lacksRoom: false }, now)
}

// TWICE: a start that had no answer was carried out seconds later, after a listing had shown that its run was not there.
test('revoked commands: guards against the failure that a start without an answer is executed after the listing on which its task starts elsewhere, even with a lease that goes on', () => {
  const harness = startLastingTask(true)
  const target = SimulatedTarget.create({ id: 't1', random: Random.create(1), onCompletion: () => {}, onAcknowledged: () => {} })
  const late = harness.getStarts()
  giveUpStart(harness)
  const { commandSeries } = harness.scheduler.getTarget('t1')!
  harness.now += 2
  const listing = target.list(computeFencingNumber(TERM, commandSeries), 0, Infinity, harness.now)
  assert.ok(listing !== 'fenced')
  harness.listTarget('t1', listing)
  advance(harness, POLL_INTERVAL_MS)
  assert.equal(countRuns(harness), 2, 'the task has not started elsewhere')
  for (const start of [...late, ...harness.getStarts().filter((start) => start.target === 't1')]) assert.equal(send(target, start, harness.now), 'fenced')
  assert.equal(target.runs.size, 0)
})

const listings: ReadonlyArray<{ readonly guards: string, readonly areCommandsBound?: boolean, readonly requestedMsAfter: number, readonly isListed?: boolean, readonly waitsMs: number, readonly runs: number }> = [
  { guards: 'waits for longer than a listing that was requested after the revocation', requestedMsAfter: 2, waitsMs: 2 * POLL_INTERVAL_MS, runs: 2 },
  { guards: 'starts elsewhere on a listing that was requested before it', requestedMsAfter: -1, waitsMs: 2 * POLL_INTERVAL_MS, runs: 1 },
  { guards: 'starts elsewhere on one that was requested at that moment, which may be of the series before', requestedMsAfter: 0, waitsMs: 2 * POLL_INTERVAL_MS, runs: 1 },
  { guards: 'starts elsewhere although its run is listed', requestedMsAfter: 2, isListed: true, waitsMs: 2 * LATE_COMMAND_MS, runs: 1 },
  { guards: 'starts elsewhere while the start may reach the next incarnation, which knows of no series', areCommandsBound: false, requestedMsAfter: 2, waitsMs: LATE_COMMAND_MS - GIVEN_UP_AFTER_MS, runs: 1 }
]

for (const { guards, areCommandsBound = true, requestedMsAfter, isListed = false, waitsMs, runs } of listings) {
  // TWICE where it does not wait; LOST where it waits for 12 s: a target that listed but answered no command kept it for 15.6 s.
  test(`revoked commands: guards against the failure that a task whose start had no answer ${guards}`, () => {
    const harness = startLastingTask(areCommandsBound)
    giveUpStart(harness)
    const givenUpAt = harness.now
    const running: readonly ListedRun[] = isListed ? harness.runningOn('t1') : []
    for (let elapsedMs = 0; elapsedMs < waitsMs && countRuns(harness) === 1; elapsedMs += POLL_INTERVAL_MS) {
      harness.now += 2
      harness.listTarget('t1', { running, sentAt: givenUpAt + requestedMsAfter + (requestedMsAfter > 0 ? elapsedMs : 0) })
      harness.listTarget('t2', { running: harness.runningOn('t2') })
      advance(harness, POLL_INTERVAL_MS - TICK_MS)
    }
    assert.equal(countRuns(harness), runs)
  })
}

const refusals: ReadonlyArray<{ readonly guards: string, readonly isRevoked: boolean, readonly standsDown: boolean }> = [
  { guards: 'a leader stands down because a target refuses a command that it has revoked itself', isRevoked: true, standsDown: false },
  { guards: 'a leader goes on although a target has seen a later term', isRevoked: false, standsDown: true }
]

for (const { guards, isRevoked, standsDown } of refusals) {
  for (const type of ['start-answered', 'stop-answered'] as const) {
    // Commands overtake each other, so that one of an earlier series is refused once the target knows the next one.
    test(`revoked commands: guards against the failure that ${guards}, ${type}`, () => {
      const harness = startLastingTask(true, 0)
      advance(harness, GIVEN_UP_AFTER_MS / 2)
      harness.acceptJob('k', 'stock')
      if (isRevoked || type === 'stop-answered') giveUpStart(harness)
      // The run of `k` is still starting, and that of `j` is being stopped.
      const job = type === 'start-answered' ? 'k' : 'j'
      const start = harness.getStarts().find(({ command }) => command.task.startsWith(`${job}.`))
      const { task, run } = start!.command
      const series = isRevoked ? start!.series : harness.scheduler.getTarget('t1')!.commandSeries
      const effects = harness.apply({ type, target: 't1', incarnation: 1, series, task, run, response: { type: 'refused', reason: 'fenced', clockMs: undefined } })
      assert.equal(effects.some((effect) => effect.type === 'fenced'), standsDown)
    })
  }
}

// TWICE: a target that has left and come back, or restarted, must not get a series that it has already outlived.
test('revoked commands: guards against the failure that a target that restarts gets commands of a series before its last one', () => {
  const harness = startLastingTask(true)
  giveUpStart(harness)
  const { commandSeries } = harness.scheduler.getTarget('t1')!
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  assert.ok(harness.scheduler.getTarget('t1')!.commandSeries > commandSeries)
})

// LOST: each listing may wait for a second until a run ends, while the task has none.
test('revoked commands: guards against the failure that the listing for which a task waits is delayed until a run ends', () => {
  const harness = startLastingTask(true)
  const target = harness.scheduler.getTarget('t1')!
  const usualWaitMs = buildListRequest(target, harness.now, LEASE_MS).waitMs
  giveUpStart(harness)
  assert.ok(buildListRequest(target, harness.now, LEASE_MS).waitMs < usualWaitMs)
  harness.listTarget('t1', { running: harness.runningOn('t1') })
  assert.equal(buildListRequest(target, harness.now, LEASE_MS).waitMs, usualWaitMs)
})

// A copy that the target refuses because of the revocation of another run says nothing of the first one, which it runs.
test('revoked commands: guards against the failure that a run that its target has begun is stopped because another one there was revoked', () => {
  const harness = startLastingTask(true, 0)
  advance(harness, GIVEN_UP_AFTER_MS - 400)
  harness.acceptJob('k', 'stock')
  const isOfK = ({ command }: SentCommand): boolean => command.task.startsWith('k.')
  giveUpStart(harness)
  const copies = harness.getStarts().filter(isOfK)
  assert.ok(copies.length > 1, 'its start was not sent again')
  const { command: { task, run }, series } = copies.findLast(({ series }) => series < harness.scheduler.getTarget('t1')!.commandSeries)!
  // The first copy was carried out and its answer lost; the last one comes after the stop of the other run.
  harness.apply({ type: 'start-answered', target: 't1', incarnation: 1, series, task, run, response: { type: 'refused', reason: 'fenced', clockMs: undefined } })
  harness.listTarget('t1', { running: harness.runningOn('t1') })
  assert.deepEqual(harness.getCommands('stop').filter(isOfK).length, 0)
})

// LOST: only the member that is given up first is revoked; the others are stopped with it, and count for 12 s after their last start.
for (const gangTargets of [1, 2]) {
  test(`revoked commands: guards against the failure that a gang that lasts waits for 12 s beside ${gangTargets} targets that list but answer no command`, () => {
    const bad = Array.from({ length: gangTargets }, (_, index) => `b${index}`)
    const capacity = { cpuMillis: 2_000 / gangTargets, memoryMiB: 1_000, accelerators: 0 }
    const harness = CellHarness.create(bad.map((id) => buildEntry(id, { capacity })), undefined, { areCommandsBound: true, leaseMs: LEASE_MS })
    const startedAt = harness.now
    harness.apply({ type: 'job-accepted', definition: buildJob('j', { longRunning: true, gang: true, count: 2, demand: { cpuMillis: 1_000, memoryMiB: 100, accelerators: 0 } }) })
    for (const id of ['t1', 't2']) harness.publishTarget(buildEntry(id))
    harness.advance(TICK_MS)
    assert.deepEqual([...new Set(harness.getStarts().map(({ target }) => target))].toSorted(), bad, 'the gang is not on these targets')
    const hasStartedElsewhere = (): boolean => new Set(harness.getStarts().filter(({ target }) => !bad.includes(target)).map(({ command }) => command.task)).size === 2
    while (harness.now - startedAt < 30_000 && !hasStartedElsewhere()) {
      advance(harness, POLL_INTERVAL_MS)
      harness.now += 2
      for (const id of [...bad, 't1', 't2']) harness.listTarget(id, { running: bad.includes(id) ? [] : harness.runningOn(id) })
    }
    const waitedMs = harness.now - startedAt
    assert.ok(waitedMs <= 9_000, `${waitedMs} ms in place of 9000 ms`)
  })
}

// LOST: a run that is stopped for another reason before its start is given up is not revoked either.
test('revoked commands: guards against the failure that a task waits for 12 s because its target, which answers no command, has shrunk before its start was given up', () => {
  const harness = startLastingTask(true, 2)
  const startedAt = harness.now
  harness.advance(TICK_MS)
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { capacity: { cpuMillis: 0, memoryMiB: 0, accelerators: 0 } }) })
  while (harness.now - startedAt < 30_000 && countRuns(harness) === 1) {
    advance(harness, POLL_INTERVAL_MS)
    harness.now += 2
    harness.listTarget('t1')
  }
  assert.ok(harness.now - startedAt <= 9_000, `${harness.now - startedAt} ms in place of 9000 ms`)
})

/** Targets take this time for a command, longer than a client waits for the answer, in milliseconds. */
const SLOW_MS = 700

/** Carries commands out after that time, for the highest series seen only, and lists as often as a leader asks. */
function measureLastingRun (slow: readonly string[]): number {
  const harness = startLastingTask(true, slow.length)
  const startedAt = harness.now
  const arrivals: Array<{ readonly at: number, readonly sent: SentCommand }> = []
  const runs = new Map<string, Map<string, ListedRun>>(slow.map((id) => [id, new Map()]))
  const series = new Map<string, number>()
  const lists: Array<{ readonly at: number, readonly id: string, readonly sentAt: number, readonly series: number }> = []
  const askedAt = new Map<string, number>()
  let handled = 0
  while (harness.now - startedAt < 30_000) {
    harness.advance(TICK_MS)
    for (const effect of harness.effects.slice(handled)) {
      if ((effect.type === 'start' || effect.type === 'stop') && effect.target !== 't1') arrivals.push({ at: harness.now + SLOW_MS, sent: effect })
    }
    handled = harness.effects.length
    for (const { sent } of arrivals.filter(({ at }) => at === harness.now)) {
      if (sent.series < (series.get(sent.target) ?? 0)) continue
      series.set(sent.target, sent.series)
      const { task, run } = sent.command
      if (sent.type === 'stop') runs.get(sent.target)!.delete(`${task}/${run}`)
      else runs.get(sent.target)!.set(`${task}/${run}`, { task, run, checkpoint: '', percent: 100, gauge: undefined })
    }
    for (const id of ['t1', ...slow]) {
      if (harness.now - (askedAt.get(id) ?? -Infinity) < SLOW_MS) continue
      askedAt.set(id, harness.now)
      lists.push({ at: harness.now + SLOW_MS, id, sentAt: harness.now, series: harness.scheduler.getTarget(id)!.commandSeries })
    }
    for (const list of lists.filter(({ at }) => at === harness.now)) {
      if (list.series < (series.get(list.id) ?? 0)) continue
      series.set(list.id, list.series)
      harness.listTarget(list.id, { running: [...runs.get(list.id)?.values() ?? []], sentAt: list.sentAt })
    }
    if (slow.some((id) => [...harness.scheduler.getTarget(id)!.runs.values()].some(({ phase }) => phase === 'running'))) return harness.now - startedAt
  }
  return Infinity
}

for (const slow of [['t2'], ['t2', 't3'], ['t2', 't3', 't4']]) {
  // LOST: the brief tries take targets that need a little longer than 0.6 s for bad ones, and the task avoids them for 5 s.
  test(`revoked commands: guards against the failure that a task leaves ${slow.length} slow targets after one that answers no command`, () => {
    const runMs = measureLastingRun(slow)
    assert.ok(runMs <= 9_000, `${runMs} ms in place of 9000 ms`)
  })
}
