import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { buildEntry } from './harness.ts'

const LEASE_MS = 3_500
const LONGEST_LEASE_MS = 10_000
const OPTIONS = { leaseMs: LEASE_MS, longestLeaseMs: LONGEST_LEASE_MS, areCommandsBound: true }
const STEP_MS = 100
const MAX_WAIT_MS = 25_000

type Records = { readonly unbound: readonly string[] | undefined, readonly silent: Extract<CellEvent, { type: 'silent-targets-restored' }>['targets'] }

/** Leads for so long beside a target that never answers; returns what is stored then and after what time all its leases counted as ended. */
function lead (startedAt: number, durationMs: number, { unbound, silent }: Records): { readonly records: Records, readonly settledMs: number | undefined } {
  const owner = CellScheduler.create(OPTIONS)
  let records: Records = { unbound, silent }
  const apply = (event: CellEvent, now: number): void => {
    for (const effect of owner.apply(event, now)) {
      if (effect.type === 'store-targets') {
        records = { ...records, unbound: effect.unbound }
        owner.apply({ type: 'targets-stored', ids: effect.ids, ...effect.unbound !== undefined && { unbound: effect.unbound } }, now)
      }
      if (effect.type === 'store-silent-targets') {
        records = { ...records, silent: effect.targets }
        owner.apply({ type: 'silent-targets-stored', ids: Object.keys(effect.targets) }, now)
      }
    }
  }
  owner.expectEarlierRuns()
  apply({ type: 'incarnations-restored', incarnations: { t1: 1 }, unbound }, startedAt)
  apply({ type: 'targets-stored', ids: ['t1'] }, startedAt)
  apply({ type: 'silent-targets-restored', targets: silent }, startedAt)
  apply({ type: 'target-published', entry: buildEntry('t1') }, startedAt)
  apply({ type: 'list-unanswered', id: 't1' }, startedAt)
  let settledMs: number | undefined
  for (let now = startedAt; now < startedAt + durationMs; now += STEP_MS) {
    apply({ type: 'tick', aloneUntil: now, earlierCommandsEndAt: startedAt }, now)
    if (settledMs === undefined && !owner.findUnsettledTargets(now).open.includes('t1')) settledMs = now - startedAt
  }
  return { records, settledMs }
}

/** What the first leader finds: the marks of the one before, or a record of an older release. */
const found: ReadonlyArray<{ readonly what: string, readonly unbound: readonly string[] | undefined }> = [
  { what: 'that an earlier leader has marked', unbound: ['t1'] },
  { what: 'after a leader of an older release', unbound: undefined }
]

for (const { what, unbound } of found) {
  // LOST: docs/platform.md says "10.3 s for all restored tasks, once however many leaders follow".
  test(`unbound chains: guards against the failure that each leader of a chain waits for the longest lease of a silent target ${what}, which nobody has commanded since the first`, () => {
    const first = lead(1_000, 12_000, { unbound, silent: {} })
    const second = lead(13_000, MAX_WAIT_MS, first.records)
    assert.deepEqual({ first: (first.settledMs ?? Infinity) < 11_000, handedOn: (first.records.silent.t1?.leasesEndAt ?? Infinity) < 13_000 }, { first: true, handedOn: true })
    assert.ok(second.settledMs! < LEASE_MS * 1.1, `the second leader waits for ${second.settledMs} ms, although the leases ended at ${first.records.silent.t1?.leasesEndAt}`)
  })

  // LOST: the mark is kept for 25 s of one term, so that it does not end while terms are shorter.
  test(`unbound chains: guards against the failure that leaders with terms of nine seconds never settle the runs beside a silent target ${what}`, () => {
    let records: Records = { unbound, silent: {} }
    const settled: Array<number | undefined> = []
    for (let term = 0; term < 8; term += 1) {
      const result = lead(1_000 + term * 9_000, 9_000, records)
      records = result.records
      settled.push(result.settledMs)
    }
    assert.ok(settled.some((settledMs) => settledMs !== undefined), `settled after ${settled.join(', ')} ms in 8 terms, marks: ${records.unbound?.join() ?? 'all'}`)
  })
}
