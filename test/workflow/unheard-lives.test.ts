import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import { CellHarness, buildEntry } from './harness.ts'

const LEASE_MS = 3_500
const LONGEST_LEASE_MS = 10_000
const OPTIONS = { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS, areCommandsBound: true }
const COMMANDS_END_AT = 1_000
const STEP_MS = 100
const LATE_LEASES_MS = 25_000
const REDUCED_LISTINGS = 15

const owners = [
  { what: 'marked the target', unbound: ['t1'] },
  { what: 'is of an older release', unbound: undefined }
]

/** What the next owner finds of a target whose last restart nobody has heard of. */
const entries = [
  { what: 'the entry of the incarnation before', isPublished: true },
  { what: 'no entry', isPublished: false }
]

for (const { what, unbound } of owners) {
  for (const { what: found, isPublished } of entries) {
    // TWICE: a command on a new connection has reached an incarnation that nobody has heard of, which holds its runs for the longest lease.
    test(`unheard lives: guards against the failure that the wait for an unbound target is that for the ordinary lease, if the owner before ${what} and the next one finds ${found}`, () => {
      const owner = CellScheduler.create(OPTIONS)
      owner.expectEarlierRuns()
      owner.apply({ type: 'incarnations-restored', incarnations: { t1: 1 }, unbound }, COMMANDS_END_AT)
      owner.apply({ type: 'targets-stored', ids: ['t1'] }, COMMANDS_END_AT)
      if (isPublished) owner.apply({ type: 'target-published', entry: buildEntry('t1') }, COMMANDS_END_AT)
      let waitMs = 0
      for (; waitMs < LATE_LEASES_MS; waitMs += STEP_MS) {
        const now = COMMANDS_END_AT + waitMs
        owner.apply({ type: 'tick', aloneUntil: now, earlierCommandsEndAt: COMMANDS_END_AT }, now)
        if (!owner.findUnsettledTargets(now).open.includes('t1')) break
      }
      assert.ok(waitMs >= LONGEST_LEASE_MS, `it waits for ${waitMs} ms`)
    })
  }
}

// TWICE without a successor: the start on a new connection has reached an incarnation that nobody hears of, as it is cut off.
test('unheard lives: guards against the failure that the owner itself counts the ordinary lease for a start that may have reached a later incarnation of a marked target', () => {
  const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
  for (let listed = 0; listed < REDUCED_LISTINGS; listed += 1) harness.apply({ type: 'target-listed', id: 't1', sentAt: harness.now, listing: { incarnation: 1, clockMs: harness.now, running: [], ended: [] }, isReduced: true })
  harness.apply({ type: 'targets-stored', ids: ['t1'], unbound: ['t1'] })
  harness.acceptJob('a', 'stock')
  assert.equal(harness.getStarts().at(-1)!.mayReachNext, true)
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  const sentAt = harness.now
  while (!harness.getStarts().some(({ target }) => target === 't2') && harness.now < sentAt + LATE_LEASES_MS) harness.advance(STEP_MS)
  const waitedMs = harness.now - sentAt
  assert.ok(waitedMs >= LONGEST_LEASE_MS, `it starts elsewhere after ${waitedMs} ms`)
})

// TWICE: the fencing number of this owner is not known to an incarnation that it has not reached, which the leader before may still command.
test('unheard lives: guards against the failure that a task starts elsewhere although an earlier leader may have started it on the next incarnation', () => {
  const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
  const commandsEndAt = harness.now + 8_000
  harness.acceptJob('a', 'stock')
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  while (!harness.getStarts().some(({ target }) => target === 't2') && harness.now < commandsEndAt + LATE_LEASES_MS) {
    harness.now += STEP_MS
    harness.apply({ type: 'tick', aloneUntil: harness.now, earlierCommandsEndAt: commandsEndAt })
  }
  assert.ok(harness.now >= commandsEndAt + LEASE_MS, `it starts elsewhere ${commandsEndAt - harness.now} ms before the last command of the earlier leader`)
})

for (const clockMs of [300, 70_000]) {
  // TWICE: the answer to a start names no incarnation, so that a later one may have accepted it with the longest lease.
  test(`unheard lives: guards against the failure that the owner itself counts the ordinary lease for a start that a later incarnation of a marked target may have accepted, whose clock says ${clockMs}`, () => {
    const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
    for (let listed = 0; listed < REDUCED_LISTINGS; listed += 1) harness.apply({ type: 'target-listed', id: 't1', sentAt: harness.now, listing: { incarnation: 1, clockMs: harness.now + 60_000, running: [], ended: [] }, isReduced: true })
    harness.apply({ type: 'targets-stored', ids: ['t1'], unbound: ['t1'] })
    harness.acceptJob('a', 'stock')
    const start = harness.getStarts().at(-1)!
    assert.equal(start.mayReachNext, true)
    harness.publishTarget(buildEntry('t2'))
    harness.apply({ type: 'start-answered', target: 't1', incarnation: 1, task: start.command.task, run: start.command.run, response: { type: 'accepted', clockMs } })
    harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
    const sentAt = harness.now
    while (!harness.getStarts().some(({ target }) => target === 't2') && harness.now < sentAt + LATE_LEASES_MS) harness.advance(STEP_MS)
    const waitedMs = harness.now - sentAt
    assert.ok(waitedMs >= LONGEST_LEASE_MS, `it starts elsewhere after ${waitedMs} ms`)
  })
}

// TWICE: the same for a run that its target had listed, so that the restart has certainly ended it: the leader before may start its task there again.
test('unheard lives: guards against the failure that a task whose run a restart has ended starts elsewhere while an earlier leader may start it on the next incarnation', () => {
  const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
  const commandsEndAt = harness.now + 8_000
  harness.acceptJob('a', 'stock')
  harness.acceptStart(harness.getStarts()[0]!)
  harness.listTarget('t1', { running: harness.runningOn('t1') })
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  while (!harness.getStarts().some(({ target }) => target === 't2') && harness.now < commandsEndAt + LATE_LEASES_MS) {
    harness.now += STEP_MS
    harness.apply({ type: 'tick', aloneUntil: harness.now, earlierCommandsEndAt: commandsEndAt })
  }
  assert.ok(harness.now >= commandsEndAt + LEASE_MS, `it starts elsewhere ${commandsEndAt - harness.now} ms before the last command of the earlier leader`)
})

// TWICE: the end that is handed on for the incarnation before says nothing of a later one that a command may have reached.
test('unheard lives: guards against the failure that the record of a silent target ends the wait for an unbound one whose restart nobody has heard of', () => {
  const owner = CellScheduler.create(OPTIONS)
  owner.expectEarlierRuns()
  owner.apply({ type: 'incarnations-restored', incarnations: { t1: 1 }, unbound: ['t1'] }, COMMANDS_END_AT)
  owner.apply({ type: 'targets-stored', ids: ['t1'] }, COMMANDS_END_AT)
  owner.apply({ type: 'silent-targets-restored', targets: { t1: { incarnation: 1, leasesEndAt: COMMANDS_END_AT } } }, COMMANDS_END_AT)
  owner.apply({ type: 'target-published', entry: buildEntry('t1') }, COMMANDS_END_AT)
  const now = COMMANDS_END_AT + LEASE_MS
  owner.apply({ type: 'tick', aloneUntil: now, earlierCommandsEndAt: COMMANDS_END_AT }, now)
  assert.deepEqual(owner.findUnsettledTargets(now).open, ['t1'])
})
