import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { CONFIGURATION, buildEntry } from './harness.ts'

const LEASE_MS = 3_500
const OPTIONS = { leaseMs: LEASE_MS, longestLeaseMs: 10_000, areCommandsBound: true }
const STEP_MS = 100
const TERM_MS = 9_000
const TERMS = 6
const MAX_WAIT_MS = 25_000
/** Latest end of a lease that was given with the last command, and a step of the test. */
const LAPSE_MS = LEASE_MS * 1.03 + STEP_MS

type Lead = { readonly startedAt: number, readonly durationMs: number, readonly unbound: readonly string[] | undefined, readonly answers: boolean }

/** Leads beside a target that answers each list request in full, or none; returns the last marks and how long its leases went on. */
function lead ({ startedAt, durationMs, unbound, answers }: Lead): { readonly unbound: readonly string[] | undefined, readonly settledMs: number | undefined } {
  const owner = CellScheduler.create(OPTIONS)
  let marks = unbound
  let settledMs: number | undefined
  const apply = (event: CellEvent, now: number): void => {
    for (const effect of owner.apply(event, now)) {
      if (effect.type !== 'store-targets') continue
      marks = effect.unbound
      owner.apply({ type: 'targets-stored', ids: effect.ids, ...effect.unbound !== undefined && { unbound: effect.unbound } }, now)
    }
  }
  owner.expectEarlierRuns()
  apply({ type: 'configured', configuration: CONFIGURATION }, startedAt)
  apply({ type: 'incarnations-restored', incarnations: { t1: 1 }, unbound }, startedAt)
  apply({ type: 'targets-stored', ids: ['t1'] }, startedAt)
  apply({ type: 'target-published', entry: buildEntry('t1') }, startedAt)
  if (!answers) apply({ type: 'list-unanswered', id: 't1' }, startedAt)
  for (let now = startedAt; now < startedAt + durationMs; now += STEP_MS) {
    if (answers) apply({ type: 'target-listed', id: 't1', sentAt: now, listing: { incarnation: 1, clockMs: now, running: [], ended: [] }, isReduced: false }, now)
    apply({ type: 'tick', aloneUntil: now, earlierCommandsEndAt: startedAt }, now)
    if (answers && owner.earlierRunsExpected) apply({ type: 'earlier-runs-listed' }, now)
    if (!owner.findUnsettledTargets(now).open.includes('t1')) settledMs ??= now - startedAt
  }
  return { unbound: marks, settledMs }
}

/** What the first leader of the chain finds. */
const found = [
  { what: 'that was marked', unbound: ['t1'] },
  { what: 'after a leader of an older release', unbound: undefined }
]

for (const { what, unbound } of found) {
  // LOST: each leader repeats the mark for 25 s of its own, so that it never ends while terms are shorter.
  test(`marks in chains: guards against the failure that a target ${what} costs the longest lease although it has answered ${TERMS} leaders in full since`, () => {
    let marks: readonly string[] | undefined = unbound
    for (let term = 0; term < TERMS; term += 1) marks = lead({ startedAt: 1_000 + term * TERM_MS, durationMs: TERM_MS, unbound: marks, answers: true }).unbound
    const last = lead({ startedAt: 1_000 + TERMS * TERM_MS, durationMs: MAX_WAIT_MS, unbound: marks, answers: false })
    assert.ok(last.settledMs! <= LAPSE_MS, `${TERMS * TERM_MS / 1_000} s later the next leader waits for ${last.settledMs} ms, marks: ${marks?.join() ?? 'all'}`)
  })
}
