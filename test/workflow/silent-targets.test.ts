import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellEffect } from '../../src/workflow/effect.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import type { SilentTargetsById } from '../../src/workflow/takeover/silent-targets.ts'
import { CellHarness, buildEntry } from './harness.ts'

const LEASE_MS = 3_500
const LONGEST_LEASE_MS = 10_000
/** Factors for slow clocks. */
const LAPSE_MS = LEASE_MS * 1.03
const LONGEST_LAPSE_MS = LONGEST_LEASE_MS * 1.03
const TICK_MS = 100
const COMMANDS_END_AT = 1_200
const HANDED_ON_AT = 1_700

type Tick = { readonly aloneUntil?: number, readonly earlierCommandsEndAt?: number | undefined, readonly late?: boolean }

/** Lets time pass with ticks; returns the effects. */
function pass (harness: CellHarness, elapsedMs: number, tick: Tick = { earlierCommandsEndAt: -Infinity }): readonly CellEffect[] {
  const effects: CellEffect[] = []
  for (const end = harness.now + elapsedMs; harness.now < end;) {
    harness.now += TICK_MS
    effects.push(...harness.apply({ type: 'tick', ...tick }))
  }
  return effects
}

function getRecords (effects: readonly CellEffect[]): readonly SilentTargetsById[] {
  return effects.flatMap((effect) => effect.type === 'store-silent-targets' ? [effect.targets] : [])
}

/** A target with a run that does not answer any more. */
function createSilentTarget (): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')], undefined, { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS })
  harness.acceptJob('a', 'stock')
  harness.apply({ type: 'list-unanswered', id: 't1' })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  return harness
}

type Decision = { readonly shows: string, readonly tick: Tick, readonly silentMs: number, readonly recorded: boolean }

const decisions: readonly Decision[] = [
  { shows: 'silent for a second', tick: { earlierCommandsEndAt: -Infinity }, silentMs: 1_100, recorded: true },
  { shows: 'silent for less', tick: { earlierCommandsEndAt: -Infinity }, silentMs: 800, recorded: false },
  { shows: 'the earlier leaders are not known', tick: {}, silentMs: 2_000, recorded: false },
  { shows: 'the store has not confirmed the lease for some time', tick: { earlierCommandsEndAt: -Infinity, aloneUntil: 500 }, silentMs: 2_000, recorded: false },
  { shows: 'the process was busy', tick: { earlierCommandsEndAt: -Infinity, late: true }, silentMs: 2_000, recorded: false }
]

// LOST: the next leader waited for the whole leases on a target that this one had not commanded for long.
for (const { shows, tick, silentMs, recorded } of decisions) {
  test(`silent targets: guards against the failure that the end of the leases on a silent target is not handed on, or is without need: ${shows}`, () => {
    const harness = createSilentTarget()
    const leasesEndAt = harness.scheduler.getTarget('t1')!.getExpiryTime()
    const records = getRecords(pass(harness, silentMs, tick))
    assert.deepEqual(records.at(0), recorded ? { t1: { incarnation: 1, leasesEndAt } } : undefined)
    assert.equal(harness.scheduler.isPromisedSilent('t1'), recorded)
  })
}

// TWICE: the next leader counts on what the record says.
test('silent targets: guards against the failure that a target gets a lease or a start while a stored record says that it gets none', () => {
  const harness = createSilentTarget()
  pass(harness, 1_100)
  harness.apply({ type: 'silent-targets-stored', ids: ['t1'] })
  const before = harness.getStarts().length
  harness.acceptJob('b', 'stock')
  harness.listTarget('t1', { sentAt: harness.now - 10 })
  pass(harness, 1_000)
  const target = harness.scheduler.getTarget('t1')!
  const request = buildListRequest(target, harness.now, LEASE_MS, !harness.scheduler.isPromisedSilent('t1'))
  assert.deepEqual([request.leaseUntilMs, harness.getStarts().length, getRecords(harness.effects).at(-1)], [undefined, before, {}])
  harness.apply({ type: 'silent-targets-stored', ids: ['t1'] })
  assert.equal(harness.scheduler.isPromisedSilent('t1'), true)
  harness.apply({ type: 'silent-targets-stored', ids: [] })
  assert.deepEqual([harness.scheduler.isPromisedSilent('t1'), harness.getStarts().length > before], [false, true])
})

test('silent targets: guards against the failure that an older record ends the promise of a later decision', () => {
  const harness = createSilentTarget()
  pass(harness, 1_100)
  harness.apply({ type: 'silent-targets-stored', ids: [] })
  assert.equal(harness.scheduler.isPromisedSilent('t1'), true)
})

test('silent targets: guards against the failure that a target which falls silent while it is taken out is commanded', () => {
  const harness = createSilentTarget()
  pass(harness, 1_100)
  harness.listTarget('t1')
  pass(harness, TICK_MS)
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  pass(harness, 1_100)
  harness.apply({ type: 'silent-targets-stored', ids: [] })
  assert.equal(harness.scheduler.isPromisedSilent('t1'), true)
})

// TWICE: the record that the committer has not stored yet would name a target that has leases again.
test('silent targets: guards against the failure that a record without a target ends the promise while a later one with it may be stored', () => {
  const harness = createSilentTarget()
  pass(harness, 1_100)
  harness.apply({ type: 'silent-targets-stored', ids: ['t1'] })
  harness.listTarget('t1')
  const withoutTarget = getRecords(pass(harness, TICK_MS)).at(-1)
  harness.apply({ type: 'list-unanswered', id: 't1' })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  const withTarget = getRecords(pass(harness, 1_100)).at(-1)
  assert.deepEqual([Object.keys(withoutTarget!), Object.keys(withTarget!)], [[], ['t1']])
  harness.listTarget('t1')
  harness.apply({ type: 'silent-targets-stored', ids: [] })
  assert.equal(harness.scheduler.isPromisedSilent('t1'), true)
  assert.deepEqual(getRecords(pass(harness, TICK_MS)).at(-1), {})
  harness.apply({ type: 'silent-targets-stored', ids: [] })
  assert.equal(harness.scheduler.isPromisedSilent('t1'), false)
})

// LOST: a target that answers must not wait for a record that was set aside or lost.
test('silent targets: guards against the failure that a record is not stored again while it is not stored, or while a wait in it goes on', () => {
  const harness = createSilentTarget()
  const whileWaiting = getRecords(pass(harness, 3_900)).length
  const afterwards = getRecords(pass(harness, 5_000)).length
  harness.listTarget('t1')
  const unstored = getRecords(pass(harness, 3_100)).length
  harness.apply({ type: 'silent-targets-stored', ids: [] })
  assert.deepEqual([whileWaiting, afterwards, unstored, getRecords(pass(harness, 3_000)).length], [3, 1, 4, 0])
})

/** The next leader, which cannot list a stored target. */
function createSuccessor (incarnation: number | undefined, targets: SilentTargetsById, commanded = 1): CellHarness {
  const harness = CellHarness.create([], undefined, { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS })
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'silent-targets-restored', targets })
  harness.apply({ type: 'incarnations-restored', incarnations: { t1: commanded } })
  harness.apply({ type: 'targets-stored', ids: ['t1'] })
  if (incarnation !== undefined) harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation }) })
  return harness
}

type Wait = { readonly shows: string, readonly incarnation: number | undefined, readonly targets: SilentTargetsById, readonly commanded?: number, readonly lapsesAt: number }

const HANDED_ON = { t1: { incarnation: 1, leasesEndAt: HANDED_ON_AT } }
const waits: readonly Wait[] = [
  { shows: 'nothing handed on', incarnation: 1, targets: {}, lapsesAt: COMMANDS_END_AT + LAPSE_MS },
  { shows: 'the incarnation that the record names', incarnation: 1, targets: HANDED_ON, lapsesAt: HANDED_ON_AT },
  { shows: 'its entry gone', incarnation: undefined, targets: HANDED_ON, lapsesAt: HANDED_ON_AT },
  { shows: 'restarted since', incarnation: 2, targets: HANDED_ON, lapsesAt: COMMANDS_END_AT + LONGEST_LAPSE_MS },
  { shows: 'restarted before, as the record says', incarnation: 2, targets: { t1: { incarnation: 2, leasesEndAt: HANDED_ON_AT } }, lapsesAt: HANDED_ON_AT },
  { shows: 'an end that is later than what is known anyway', incarnation: 1, targets: { t1: { incarnation: 1, leasesEndAt: 99_000 } }, lapsesAt: COMMANDS_END_AT + LAPSE_MS }
]

// LOST: each leader waited for the leases on a target that had got none for long; TWICE: what is handed on holds for one incarnation.
for (const { shows, incarnation, targets, commanded, lapsesAt } of waits) {
  test(`silent targets: guards against the failure that a leader waits longer or less long than the leases on a silent target go on: ${shows}`, () => {
    const harness = createSuccessor(incarnation, targets, commanded)
    pass(harness, TICK_MS, { earlierCommandsEndAt: COMMANDS_END_AT })
    assert.deepEqual([lapsesAt, lapsesAt + 1].map((time) => harness.scheduler.findUnsettledTargets(time).open), [['t1'], []])
  })
}

// A term may be too short to write anything: its promise is that of the leader before.
test('silent targets: guards against the failure that a wait grows with each leader that hands it on', () => {
  const harness = createSuccessor(1, HANDED_ON)
  harness.apply({ type: 'list-unanswered', id: 't1' })
  const record = getRecords(pass(harness, 1_500, { earlierCommandsEndAt: COMMANDS_END_AT })).at(-1)
  assert.deepEqual([harness.scheduler.isPromisedSilent('t1'), record], [true, { t1: { incarnation: 1, leasesEndAt: HANDED_ON_AT } }])
})

test('silent targets: guards against the failure that a wait that turns out to be shorter is not handed on at once', () => {
  const harness = createSuccessor(1, {})
  harness.apply({ type: 'list-unanswered', id: 't1' })
  const first = getRecords(pass(harness, 600, { earlierCommandsEndAt: 9_000 }))
  const second = getRecords(pass(harness, 200, { earlierCommandsEndAt: COMMANDS_END_AT }))
  assert.deepEqual([first, second], [[{ t1: { incarnation: 1, leasesEndAt: 9_000 + LAPSE_MS } }], [{ t1: { incarnation: 1, leasesEndAt: COMMANDS_END_AT + LAPSE_MS } }]])
})

// The record is one value of the store.
test('silent targets: guards against the failure that the record grows beyond a value of the store', () => {
  const harness = CellHarness.create([])
  harness.apply({ type: 'targets-stored', ids: Array.from({ length: 3_000 }, (_, index) => `t${index}`) })
  harness.apply({ type: 'incarnations-restored', incarnations: Object.fromEntries(Array.from({ length: 3_000 }, (_, index) => [`t${index}`, 1])) })
  const records = getRecords(pass(harness, 500, { earlierCommandsEndAt: 1_000 }))
  assert.equal(Object.keys(records.at(-1)!).length, 2_000)
})

/** A target that has restarted under its leader, with a run, and has answered since. */
function createRestartedTarget (): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')], undefined, { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS })
  harness.acceptJob('a', 'stock')
  harness.now += TICK_MS
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  return harness
}

// LOST: each leader counted the leases from before a restart from its own first listing, unless one of them led for 6.9 s.
test('silent targets: guards against the failure that the end of the leases from before a restart is not handed on', () => {
  const harness = createRestartedTarget()
  const unanswered = getRecords(pass(harness, 200))
  const answeredAt = harness.now
  harness.listTarget('t1', { incarnation: 2, sentAt: harness.now - 10 })
  const record = getRecords(pass(harness, 200)).at(-1)
  const leasesEndAt = harness.scheduler.getTarget('t1')!.getLastEarlierExpiry(LONGEST_LEASE_MS)!
  assert.deepEqual([unanswered, record, harness.scheduler.isPromisedSilent('t1')], [[], { t1: { incarnation: 2, leasesEndAt, isCommanded: true } }, false])
  assert.ok(leasesEndAt > answeredAt + LONGEST_LEASE_MS)
})

type RestartWait = { readonly shows: string, readonly incarnation: number, readonly handedOn: number, readonly lapsesAt: number, readonly longestLeaseMs: number }

const restartWaits: readonly RestartWait[] = [
  { shows: 'leases from before the restart go on longest', incarnation: 2, handedOn: 8_000, lapsesAt: 8_000, longestLeaseMs: LONGEST_LEASE_MS },
  { shows: 'leases of the last leader go on longest', incarnation: 2, handedOn: 3_000, lapsesAt: COMMANDS_END_AT + LAPSE_MS, longestLeaseMs: LEASE_MS },
  { shows: 'it has restarted once more', incarnation: 3, handedOn: 3_000, lapsesAt: COMMANDS_END_AT + LONGEST_LAPSE_MS, longestLeaseMs: LONGEST_LEASE_MS }
]

for (const { shows, incarnation, handedOn, lapsesAt, longestLeaseMs } of restartWaits) {
  test(`silent targets: guards against the failure that a leader counts the leases from before a restart anew, or not at all: ${shows}`, () => {
    const harness = createSuccessor(incarnation, { t1: { incarnation: 2, leasesEndAt: handedOn, isCommanded: true } })
    pass(harness, TICK_MS, { earlierCommandsEndAt: COMMANDS_END_AT })
    assert.deepEqual([lapsesAt, lapsesAt + 1].map((time) => harness.scheduler.findUnsettledTargets(time).open), [['t1'], []])
    assert.deepEqual([harness.scheduler.longestEarlierLeaseMs, harness.scheduler.isPromisedSilent('t1')], [longestLeaseMs, false])
  })
}
