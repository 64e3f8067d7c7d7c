import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import { CellHarness, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

const OLD_CLOCK_MS = 400_000
const LEASE_MS = 3_500
const LONGEST_LEASE_MS = 10_000
const OPTIONS = { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS }

/** The target falls silent, its entry is removed and its runs lapse, so that it is forgotten. */
function forget (harness: CellHarness, id: string): void {
  harness.apply({ type: 'target-silent', id, cause: 'no-answer' })
  harness.apply({ type: 'target-withdrawn', id })
  for (let step = 0; step < 8; step += 1) harness.advance(500)
  assert.equal(harness.scheduler.getTarget(id), undefined, 'the target is forgotten')
}

// TWICE: a target that was silent for 4 s is forgotten with its unanswered starts; a copy reaches its next incarnation up to 12 s late.
test('cell: a run with an unanswered start is rejected on the next incarnation of a target that was forgotten meanwhile', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  forget(harness, 't1')
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  assert.ok(harness.getCommands('stop').some(({ incarnation, command }) => incarnation === 2 && command.run === start!.command.run), 'no stop of the run was sent')
})

// TWICE: the leases on the next incarnation of a forgotten target count as 3.5 s, but a late list request to the one before makes them 10 s.
test('cell: leases on the next incarnation of a target that was forgotten meanwhile are taken for the longest ones', () => {
  const harness = CellHarness.create([], undefined, OPTIONS)
  harness.apply({ type: 'target-published', entry: buildEntry('t1') })
  harness.apply({ type: 'targets-stored', ids: ['t1'] })
  harness.listTarget('t1', { clockMs: OLD_CLOCK_MS })
  buildListRequest(harness.scheduler.getTarget('t1')!, harness.now, LEASE_MS)
  const sentAt = harness.now
  forget(harness, 't1')
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.apply({ type: 'targets-stored', ids: ['t1'] })
  harness.listTarget('t1', { incarnation: 2, clockMs: 500 })
  assert.ok(harness.scheduler.getTarget('t1')!.getExpiryTime() >= sentAt + 12_000 + LONGEST_LEASE_MS)
})

// TWICE: the next owner took a target that had been forgotten and came back for one that no command of an earlier life can reach.
test('cell: the next owner waits for the longest lease of a target that was forgotten and has come back', () => {
  const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
  buildListRequest(harness.scheduler.getTarget('t1')!, harness.now, LEASE_MS)
  forget(harness, 't1')
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  const stored = harness.effects.flatMap((effect) => effect.type === 'store-targets' ? [effect] : []).at(-1)!
  const next = CellScheduler.create(OPTIONS)
  next.expectEarlierRuns()
  next.apply({ type: 'incarnations-restored', incarnations: stored.incarnations }, harness.now)
  next.apply({ type: 'targets-stored', ids: stored.ids }, harness.now)
  next.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) }, harness.now)
  assert.equal(next.longestEarlierLeaseMs, LONGEST_LEASE_MS)
})

// TWICE: a leader in its grace takes the runs of a restarted target for gone; its successor has adopted them and starts them again too.
test('cell: tasks on a target that has restarted start again only once this owner was certainly alone after the restart', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.acceptStart(start!)
  const aloneUntil = harness.now
  harness.now += 2_000
  harness.apply({ type: 'tick', aloneUntil })
  harness.listTarget(start!.target, { incarnation: 2, clockMs: 500 })
  harness.now += 10
  harness.listTarget(start!.target, { incarnation: 2, clockMs: 510 })
  harness.apply({ type: 'tick', aloneUntil })
  assert.equal(harness.getStarts().length, 1, 'a successor may have started it again')
  harness.now += 50
  harness.listTarget(start!.target, { incarnation: 2, clockMs: 600 })
  harness.apply({ type: 'tick', aloneUntil: harness.now })
  assert.equal(harness.getStarts().length, 2)
})

const LISTED_ENDS = 500

// TWICE: a target lists 500 ends at a time; a run whose end comes after them is in neither list.
test('cell: a run that may have ended beyond the ends that a target lists at a time does not start again', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [start] = harness.getStarts()
  harness.acceptStart(start!)
  harness.now += 100
  const ended = Array.from({ length: LISTED_ENDS }, (_, index) => ({ number: index + 1, task: `old.0.0.${index}`, run: 1, outcome: 'done' as const, checkpoint: '' }))
  harness.listTarget(start!.target, { ended })
  assert.equal(harness.getStarts().length, 1)
})

// TWICE: a stored target without an entry may have restarted and hold its runs for 10 s; the next owner counted 3.5 s.
test('cell: the next owner waits for the longest lease of a stored target that is not published', () => {
  const scheduler = CellScheduler.create(OPTIONS)
  scheduler.expectEarlierRuns()
  scheduler.apply({ type: 'targets-stored', ids: ['t1'] }, 1_000)
  assert.equal(scheduler.longestEarlierLeaseMs, LONGEST_LEASE_MS)
})

// A takeover waited 10.3 s in place of 3.6 s for a new target on which no earlier owner can have started anything.
test('cell: a target that was first stored by this owner does not lengthen the wait for the runs of earlier owners', () => {
  const scheduler = CellScheduler.create(OPTIONS)
  scheduler.expectEarlierRuns()
  scheduler.apply({ type: 'targets-stored', ids: [] }, 1_000)
  scheduler.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 900 }) }, 1_000)
  scheduler.apply({ type: 'targets-stored', ids: ['t1'] }, 1_050)
  assert.equal(scheduler.longestEarlierLeaseMs, LEASE_MS)
})

// A target that answered once under its id before it had published that life stays for the term, and each takeover waits for it.
test('cell: a target whose next incarnation answers once, is never published and falls silent is forgotten', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'target-withdrawn', id: 't1' })
  harness.listTarget('t1', { incarnation: 2, clockMs: 50 })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  for (let seconds = 0; seconds < 60; seconds += 1) harness.advance(1_000)
  assert.equal(harness.scheduler.getTarget('t1'), undefined)
})

const FIRST_ANSWER_MS = 100
const answers = [
  { guards: 'answered so long ago that all leases end within the shorter one', answeredMsAgo: 6_900, expected: LEASE_MS },
  { guards: 'answered a while ago', answeredMsAgo: 6_800, expected: LONGEST_LEASE_MS },
  { guards: 'has not answered this owner since', answeredMsAgo: undefined, expected: LONGEST_LEASE_MS }
]

for (const { guards, answeredMsAgo, expected } of answers) {
  // LOST: the next owner waited for the longest lease until 25 s after a restart, though no earlier command can reach a target that has answered.
  test(`cell: guards against the failure that the next owner counts ${expected === LEASE_MS ? 'the longest lease' : 'a shorter lease than the longest'} for a restarted target that ${guards}`, () => {
    const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
    harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
    harness.now += FIRST_ANSWER_MS
    if (answeredMsAgo !== undefined) harness.listTarget('t1', { incarnation: 2, clockMs: FIRST_ANSWER_MS })
    harness.advance(answeredMsAgo ?? 30_000)
    const stored = harness.effects.flatMap((effect) => effect.type === 'store-targets' ? [effect] : []).at(-1)!
    const next = CellScheduler.create(OPTIONS)
    next.expectEarlierRuns()
    next.apply({ type: 'incarnations-restored', incarnations: stored.incarnations }, harness.now)
    next.apply({ type: 'targets-stored', ids: ['t1'] }, harness.now)
    next.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) }, harness.now)
    assert.equal(next.longestEarlierLeaseMs, expected)
  })
}

// TWICE: the second restart had forgotten the rejection of the run, and a late copy of its start came before the first answer.
test('cell: guards against the failure that a task with an unanswered start starts elsewhere when its target has restarted twice, before the last incarnation has answered', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { longRunning: true }) })
  harness.publishTarget(buildEntry('t2'))
  const [start] = harness.getStarts()
  const { task, run } = start!.command
  const countSpareStarts = () => harness.getStarts().filter(({ target }) => target === 't2').length
  const countStops = (incarnation: number) => harness.getCommands('stop').filter((stop) => stop.incarnation === incarnation && stop.command.run === run).length
  const aloneUntil = harness.now
  harness.now += 500
  harness.apply({ type: 'tick', aloneUntil })
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  harness.apply({ type: 'stop-answered', target: 't1', incarnation: 2, task, run, response: { type: 'accepted', clockMs: 500 } })
  harness.now += 100
  harness.listTarget('t1', { incarnation: 2, clockMs: 600 })
  harness.apply({ type: 'tick', aloneUntil })
  assert.equal(countSpareStarts(), 0, 'a successor may have started it again')
  harness.now += 500
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 3 }) })
  assert.equal(countStops(3), 1, 'the last incarnation does not reject the run')
  harness.now += 50
  harness.apply({ type: 'tick', aloneUntil: harness.now })
  assert.equal(countSpareStarts(), 0, 'a late copy of its start may be on the last incarnation')
  harness.apply({ type: 'stop-answered', target: 't1', incarnation: 3, task, run, response: { type: 'accepted', clockMs: 50 } })
  harness.now += 50
  harness.listTarget('t1', { incarnation: 3, clockMs: 100 })
  harness.apply({ type: 'tick', aloneUntil: harness.now })
  assert.equal(countSpareStarts(), 1, 'the last incarnation has rejected the run')
})

// TWICE: an owner that was cut off sent leases of the incarnation before for longer than 3 s; the next owner counted them as shorter.
test('cell: guards against the failure that the lease of a restarted target counts as shorter than the longest one at its first answer to the next owner', () => {
  const harness = CellHarness.create([], undefined, OPTIONS)
  harness.apply({ type: 'incarnations-restored', incarnations: { t1: 1 } })
  harness.apply({ type: 'targets-stored', ids: ['t1'] })
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.now += 100
  harness.listTarget('t1', { incarnation: 2, clockMs: 20_000 })
  const endsInMs = harness.scheduler.getTarget('t1')!.getExpiryTime() - harness.now
  assert.ok(endsInMs >= LONGEST_LEASE_MS, `it ends after ${endsInMs} ms`)
})

// LOST: a target that went away with a run of an unknown job stayed on the stored list, and each later owner waited for its leases.
test('cell: guards against the failure that a target that has gone away with a run of an unknown job is never forgotten', () => {
  const harness = createHarnessWithTarget()
  harness.listTarget('t1', { running: [{ task: 'unknown.0.0.0', run: 7, checkpoint: '', percent: 0, gauge: undefined }] })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  harness.apply({ type: 'target-withdrawn', id: 't1' })
  const aloneUntil = harness.now
  for (let seconds = 0; seconds < 10; seconds += 1) {
    harness.now += 1_000
    harness.apply({ type: 'tick', aloneUntil })
  }
  assert.notEqual(harness.scheduler.getTarget('t1'), undefined, 'a successor may go on extending its leases')
  harness.advance(1_000)
  assert.ok(harness.scheduler.getTarget('t1') === undefined, 'it is still known')
  const stored = harness.effects.flatMap((effect) => effect.type === 'store-targets' ? [effect] : []).at(-1)!
  assert.deepEqual(stored.ids, [])
})

const LEASES_END_AT = 9_000

// TWICE: an owner forgot 3.5 s before their end that leases of a restarted target go on for 10 s, and started its tasks elsewhere.
test('cell: guards against the failure that the leases of a restarted target that is not listed count as over before the end that was handed on', () => {
  const next = CellScheduler.create(OPTIONS)
  next.expectEarlierRuns()
  next.apply({ type: 'silent-targets-restored', targets: { t1: { incarnation: 2, leasesEndAt: LEASES_END_AT, isCommanded: true } } }, 1_000)
  next.apply({ type: 'incarnations-restored', incarnations: { t1: 1 } }, 1_000)
  next.apply({ type: 'targets-stored', ids: ['t1'] }, 1_000)
  next.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) }, 1_000)
  for (let now = 1_100; now < LEASES_END_AT; now += 100) {
    next.apply({ type: 'tick', aloneUntil: now, earlierCommandsEndAt: 1_000 }, now)
    assert.deepEqual(next.findUnsettledTargets(now).open, ['t1'], `at ${now}`)
  }
  assert.deepEqual(next.findUnsettledTargets(LEASES_END_AT + 100).open, [])
})

const NEXT_INCARNATION = 2
/** What an owner has stored of a target that has restarted; its successor finds the entry of the incarnation before. */
const handedOn = [
  { what: 'commands the next incarnation', record: { incarnation: NEXT_INCARNATION, leasesEndAt: LEASES_END_AT, isCommanded: true as const } },
  { what: 'hears nothing of the next incarnation', record: { incarnation: NEXT_INCARNATION, leasesEndAt: LEASES_END_AT } }
]

for (const { what, record } of handedOn) {
  // TWICE: what an owner had learned of a restart was ignored while the entry was still that of the life before, and 3.5 s counted.
  test(`cell: guards against the failure that the next owner doesn't know of a restart that is not published: the owner before ${what}`, () => {
    const next = CellScheduler.create(OPTIONS)
    next.expectEarlierRuns()
    next.apply({ type: 'silent-targets-restored', targets: { t1: record } }, 1_000)
    next.apply({ type: 'incarnations-restored', incarnations: { t1: 1 } }, 1_000)
    next.apply({ type: 'targets-stored', ids: ['t1'] }, 1_000)
    next.apply({ type: 'target-published', entry: buildEntry('t1') }, 1_000)
    assert.equal(next.longestEarlierLeaseMs, LONGEST_LEASE_MS)
    for (const now of [1_500, LEASES_END_AT - 100]) {
      next.apply({ type: 'tick', aloneUntil: now, earlierCommandsEndAt: 1_000 }, now)
      assert.deepEqual(next.findUnsettledTargets(now).open, ['t1'], `at ${now}`)
    }
    assert.deepEqual(next.findUnsettledTargets(LEASES_END_AT + 100).open, [])
  })
}
