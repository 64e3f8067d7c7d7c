import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import { CellHarness, buildEntry } from './harness.ts'

const OPTIONS = { leaseMs: 3_500, longestLeaseMs: 10_000, areCommandsBound: true }
const STEP_MS = 100
/** Longer than an ordinary lease, and than all commands and leases of an owner that has just ended. */
const WAIT_MS = 30_000

const cases = [
  { what: 'it is not known yet when earlier owners stop', expectsEarlierRuns: true, earlierCommandsEndAt: undefined, startsElsewhere: false },
  { what: 'earlier owners have stopped', expectsEarlierRuns: true, earlierCommandsEndAt: 0, startsElsewhere: true },
  { what: 'there is no earlier owner', expectsEarlierRuns: false, earlierCommandsEndAt: undefined, startsElsewhere: true }
]

for (const { what, expectsEarlierRuns, earlierCommandsEndAt, startsElsewhere } of cases) {
  // Found by reading (TWICE): while a new leader still reads its targets, one that restarts and falls silent counts as never commanded by the leader before.
  test(`cell: guards against the failure that leases on a target that has restarted count as ended, or as going on, by mistake: ${what}`, () => {
    const harness = CellHarness.create([buildEntry('t1')], undefined, OPTIONS)
    if (expectsEarlierRuns) harness.scheduler.expectEarlierRuns()
    harness.acceptJob('a', 'stock', { longRunning: true })
    harness.publishTarget(buildEntry('t2'))
    harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
    harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
    const silentAt = harness.now
    while (harness.now < silentAt + WAIT_MS) {
      harness.now += STEP_MS
      harness.apply({ type: 'tick', aloneUntil: harness.now, earlierCommandsEndAt })
    }
    assert.deepEqual(harness.getStarts().some(({ target }) => target === 't2'), startsElsewhere)
    const waits = harness.effects.flatMap((effect) => effect.type === 'log' && effect.message === 'task-without-run' ? [effect.fields] : [])
    assert.ok(waits.length > 0)
    assert.ok(waits.every(({ atMostMs = 0 }) => Number.isFinite(atMostMs)))
  })
}

for (const { what, earlierCommandsEndAt, startsElsewhere } of cases.slice(0, 2)) {
  // Found by reading (TWICE): the same for a target whose commands may have reached an incarnation that nobody has heard of.
  test(`cell: guards against the failure that leases of earlier owners on a silent target that is not bound count as ended, or as going on, by mistake: ${what}`, () => {
    const harness = CellHarness.create([], undefined, OPTIONS)
    harness.scheduler.expectEarlierRuns()
    harness.apply({ type: 'incarnations-restored', incarnations: { t1: 1 }, unbound: ['t1'] })
    harness.publishTarget(buildEntry('t1'))
    harness.acceptJob('a', 'stock')
    harness.publishTarget(buildEntry('t2'))
    harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
    const silentAt = harness.now
    while (harness.now < silentAt + WAIT_MS) {
      harness.now += STEP_MS
      harness.apply({ type: 'tick', aloneUntil: harness.now, earlierCommandsEndAt })
    }
    assert.deepEqual(harness.getStarts().map(({ target }) => target).at(-1), startsElsewhere ? 't2' : 't1')
  })
}

// Found by reading: a wait that nothing ends, for owners that there never were.
test('cell: guards against the failure that leases of earlier owners count as going on although there is no such owner', () => {
  const owner = CellScheduler.create(OPTIONS)
  owner.apply({ type: 'targets-stored', ids: ['t1'] }, 0)
  owner.apply({ type: 'tick', aloneUntil: WAIT_MS }, WAIT_MS)
  assert.deepEqual(owner.findUnsettledTargets(WAIT_MS).open, [])
})
