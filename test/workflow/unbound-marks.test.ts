import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { CellHarness, CONFIGURATION, buildEntry, buildJob } from './harness.ts'

const LEASE_MS = 3_500
const LONGEST_LEASE_MS = 10_000
const OPTIONS = { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS, areCommandsBound: true }
const STEP_MS = 100
const LATE_LEASES_MS = 25_000
const REDUCED_LISTINGS = 15
/** How long the leases of an owner go on at most that are bound. */
const OWN_LAPSE_MS = LEASE_MS / 0.98 + 150

type StoreTargets = Extract<CellEffect, { type: 'store-targets' }>

function getRecords (effects: readonly CellEffect[]): readonly StoreTargets[] {
  return effects.filter((effect): effect is StoreTargets => effect.type === 'store-targets')
}

function store (harness: CellHarness, { ids, unbound = [] }: StoreTargets): void {
  harness.apply({ type: 'targets-stored', ids, unbound })
}

function list (harness: CellHarness, isReduced: boolean, incarnation = 1): readonly CellEffect[] {
  const running = harness.runningOn('t1')
  return harness.apply({ type: 'target-listed', id: 't1', sentAt: harness.now, listing: { incarnation, clockMs: harness.now + 60_000, running, ended: [] }, isReduced })
}

/** An owner that has marked a target, and has stored that. */
function createMarked (): CellHarness {
  const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
  for (let listed = 0; listed < REDUCED_LISTINGS; listed += 1) list(harness, true)
  store(harness, getRecords(harness.effects).at(-1)!)
  assert.equal(harness.scheduler.mayReachNext('t1'), true)
  return harness
}

/** The target is cut off and its entry is removed; what the owner stores then is stored. */
function leave (harness: CellHarness): StoreTargets {
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  harness.apply({ type: 'target-withdrawn', id: 't1' })
  harness.advance(STEP_MS)
  assert.equal(harness.scheduler.getTarget('t1'), undefined)
  const record = getRecords(harness.effects).at(-1)!
  store(harness, record)
  return record
}

// TWICE: a command to the target that left has given its next incarnation the longest lease; a run there outlasts what the next owner counts.
test('unbound marks: guards against the failure that the next owner takes a marked target that left for one that is bound', () => {
  const before = createMarked()
  const { ids, incarnations, unbound } = leave(before)
  const commandsEndAt = before.now
  const owner = CellHarness.create([], undefined, OPTIONS)
  owner.now = commandsEndAt
  owner.scheduler.expectEarlierRuns()
  owner.apply({ type: 'incarnations-restored', incarnations, unbound })
  owner.apply({ type: 'targets-stored', ids })
  owner.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  owner.apply({ type: 'targets-stored', ids: ['t1'], unbound: [] })
  owner.apply({ type: 'tick', aloneUntil: owner.now, earlierCommandsEndAt: commandsEndAt })
  list(owner, false, 2)
  owner.apply({ type: 'earlier-runs-listed' })
  owner.acceptJob('a', 'stock')
  assert.equal(owner.getStarts().at(-1)?.target, 't1')
  owner.acceptStart(owner.getStarts().at(-1)!)
  owner.publishTarget(buildEntry('t2'))
  owner.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  while (!owner.getStarts().some(({ target }) => target === 't2') && owner.now < commandsEndAt + LATE_LEASES_MS) {
    owner.now += STEP_MS
    owner.apply({ type: 'tick', aloneUntil: owner.now, earlierCommandsEndAt: commandsEndAt })
  }
  const waitedMs = owner.now - commandsEndAt
  assert.ok(waitedMs >= LONGEST_LEASE_MS, `it starts elsewhere ${waitedMs} ms after the last command of the owner before`)
})

// TWICE: commands may reach a later incarnation although the stored record does not say so, for as long as the store does not answer.
test('unbound marks: guards against the failure that a marked target that left and came back is commanded as one before that is stored again', () => {
  const harness = createMarked()
  const { unbound = [] } = leave(harness)
  harness.apply({ type: 'target-published', entry: buildEntry('t1') })
  list(harness, true)
  assert.ok(unbound.includes('t1') || !harness.scheduler.mayReachNext('t1'), `the stored record names [${unbound.join()}], and commands may reach a later incarnation`)
})

// LOST: each silence of the target costs its tasks the longest lease until the term ends, though nothing has reached another incarnation since.
test('unbound marks: guards against the failure that a mark lasts for the whole term on a target that has kept its connections for a minute', () => {
  const harness = createMarked()
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  for (let passed = 0; passed < 60_000; passed += 500) {
    harness.advance(500)
    list(harness, false, 2)
  }
  harness.acceptJob('a', 'stock')
  harness.acceptStart(harness.getStarts().at(-1)!)
  list(harness, false, 2)
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  const silentAt = harness.now
  while (!harness.getStarts().some(({ target }) => target === 't2') && harness.now < silentAt + LATE_LEASES_MS) harness.advance(STEP_MS)
  const waitedMs = harness.now - silentAt
  assert.ok(waitedMs <= OWN_LAPSE_MS + 2 * STEP_MS, `its task starts elsewhere after ${waitedMs} ms`)
})

// LAPSED work: a lease of 3.5 s that the owner before has given ends while fifteen listings of the next one are reduced, a tenth of a second each.
test('unbound marks: guards against the failure that the next owner needs as many reduced listings as the first one for a target that is marked', () => {
  const owner = CellHarness.create([], undefined, OPTIONS)
  owner.apply({ type: 'incarnations-restored', incarnations: { t1: 1 }, unbound: ['t1'] })
  owner.apply({ type: 'targets-stored', ids: ['t1'] })
  owner.apply({ type: 'target-published', entry: buildEntry('t1') })
  let listings = 0
  while (!owner.scheduler.mayReachNext('t1') && listings < 2 * REDUCED_LISTINGS) {
    listings += 1
    for (const record of getRecords(list(owner, true))) store(owner, record)
  }
  assert.ok(listings <= 3, `${listings} reduced listings`)
})

/** Leads from `startedAt` on beside a target that never answers; returns the last records, and when its leases counted as ended. */
function lead (startedAt: number, durationMs: number, unbound: readonly string[] | undefined, silent: Extract<CellEvent, { type: 'silent-targets-restored' }>['targets']): { unbound: readonly string[] | undefined, silent: typeof silent, settledMs: number | undefined } {
  const owner = CellScheduler.create(OPTIONS)
  const result = { unbound, silent, settledMs: undefined as number | undefined }
  const apply = (event: CellEvent, now: number): void => {
    for (const effect of owner.apply(event, now)) {
      if (effect.type === 'store-targets') result.unbound = effect.unbound
      if (effect.type === 'store-silent-targets') result.silent = effect.targets
    }
  }
  owner.expectEarlierRuns()
  apply({ type: 'configured', configuration: CONFIGURATION }, startedAt)
  apply({ type: 'silent-targets-restored', targets: silent }, startedAt)
  apply({ type: 'incarnations-restored', incarnations: { t1: 1 }, unbound }, startedAt)
  apply({ type: 'targets-stored', ids: ['t1'] }, startedAt)
  apply({ type: 'job-restored', definition: buildJob('a', {}), progress: undefined }, startedAt)
  apply({ type: 'target-published', entry: buildEntry('t1') }, startedAt)
  apply({ type: 'target-published', entry: buildEntry('t2') }, startedAt)
  apply({ type: 'list-unanswered', id: 't1' }, startedAt)
  for (let now = startedAt; now < startedAt + durationMs; now += STEP_MS) {
    apply({ type: 'tick', aloneUntil: now, earlierCommandsEndAt: 1_000 }, now)
    if (!owner.findUnsettledTargets(now).open.includes('t1')) result.settledMs ??= now - 1_000
  }
  return result
}

// TWICE: the record of silent targets says that all leases count, and names the end of the ordinary one.
test('unbound marks: guards against the failure that the second leader after an older release waits for the ordinary lease of a silent target, because the first one has handed on its end', () => {
  const first = lead(1_000, 2_000, undefined, {})
  assert.deepEqual([first.unbound?.includes('t1'), first.settledMs], [true, undefined])
  const second = lead(3_000, LATE_LEASES_MS, first.unbound, first.silent)
  assert.ok(second.settledMs! >= LONGEST_LEASE_MS, `it waits for ${second.settledMs} ms; handed on: ${JSON.stringify(first.silent)}`)
})
