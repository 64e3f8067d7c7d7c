import assert from 'node:assert/strict'
import { test } from 'node:test'
import { EarlierLeaders } from '../../src/controller/leadership/earlier-leaders.ts'
import { LEASE_GRACE_MS } from '../../src/controller/leadership/leadership.ts'
import type { CommitRecord, UnsettledTerm } from '../../src/controller/records/store-keys.ts'
import { listUnsettledTerms } from '../../src/controller/leadership/unsettled-terms.ts'

const NO_REPORTER = { log: () => {}, count: () => {}, observe: () => {} }
const LEASE_MS = 3_500
/** With the factor for slow clocks. */
const LAPSE_MS = 3_605
const STEP_MS = 50
/** What each leader has waited for since its last commit is lost. */
const COMMIT_INTERVAL_MS = 1_000
const CHECK_INTERVAL_MS = 500

/** `silent`: its host is gone. `ended`: its host refuses connections at all ports. */
type End = 'silent' | 'ended'

type Chain = {
  readonly leaders: string
  readonly takeovers: number
  readonly apartMs: number
  /** How the leader of a term ends. */
  readonly endOf: (term: number) => End
  /** Time from the first takeover until the last leader may start restored tasks, in milliseconds. */
  readonly waitMs: number
}

const eachEnded = (): End => 'ended'
const eachSilent = (): End => 'silent'
const firstSilent = (term: number): End => term === 1 ? 'silent' : 'ended'

const chains: readonly Chain[] = [
  { leaders: 'whose hosts refuse connections', takeovers: 1, apartMs: 3_000, endOf: eachEnded, waitMs: LAPSE_MS },
  { leaders: 'whose hosts refuse connections', takeovers: 2, apartMs: 3_000, endOf: eachEnded, waitMs: 3_000 + LAPSE_MS },
  { leaders: 'whose hosts refuse connections', takeovers: 4, apartMs: 3_000, endOf: eachEnded, waitMs: 9_000 + LAPSE_MS },
  { leaders: 'whose hosts refuse connections', takeovers: 8, apartMs: 3_000, endOf: eachEnded, waitMs: 21_000 + LAPSE_MS },
  { leaders: 'whose hosts refuse connections', takeovers: 8, apartMs: 7_000, endOf: eachEnded, waitMs: 49_000 + LAPSE_MS },
  { leaders: 'of which the first is gone', takeovers: 1, apartMs: 3_000, endOf: firstSilent, waitMs: LEASE_GRACE_MS + LAPSE_MS },
  { leaders: 'of which the first is gone', takeovers: 2, apartMs: 3_000, endOf: firstSilent, waitMs: LEASE_GRACE_MS + COMMIT_INTERVAL_MS + LAPSE_MS },
  { leaders: 'of which the first is gone', takeovers: 4, apartMs: 3_000, endOf: firstSilent, waitMs: LEASE_GRACE_MS + 3 * COMMIT_INTERVAL_MS + LAPSE_MS },
  { leaders: 'of which the first is gone', takeovers: 8, apartMs: 3_000, endOf: firstSilent, waitMs: 21_000 + LAPSE_MS },
  { leaders: 'of which the first is gone', takeovers: 8, apartMs: 7_000, endOf: firstSilent, waitMs: 49_000 + LAPSE_MS },
  { leaders: 'that are all gone', takeovers: 1, apartMs: 3_000, endOf: eachSilent, waitMs: LEASE_GRACE_MS + LAPSE_MS },
  { leaders: 'that are all gone', takeovers: 8, apartMs: 3_000, endOf: eachSilent, waitMs: 21_000 + LEASE_GRACE_MS + LAPSE_MS },
  { leaders: 'that are all gone', takeovers: 8, apartMs: 7_000, endOf: eachSilent, waitMs: 49_000 + LEASE_GRACE_MS + LAPSE_MS }
]

/** Plays leaders that follow one another; returns the time until the last one may start restored tasks. */
async function measureWait ({ takeovers, apartMs, endOf }: Chain): Promise<number> {
  let now = 0
  const createLeaders = (term: number, unsettled: readonly UnsettledTerm[]): EarlierLeaders => EarlierLeaders.create({
    term: { term, commitVersion: term, unsettled },
    self: { member: `m${term}`, address: `m${term}:1` },
    reporter: NO_REPORTER,
    requestStandDown: async () => undefined,
    checkProcess: async ({ address }) => endOf(Number(/\d+/.exec(address)![0])) === 'ended' ? 'ended' : 'unknown',
    standDown: () => ({ type: 'never-led', quietForMs: 0 }),
    isStopped: () => true,
    now: () => now
  })
  let record: CommitRecord = { term: 1, nonce: '1', leader: { member: 'm1', address: 'm1:1' } }
  for (let term = 2; ; term += 1) {
    const earlier = createLeaders(term, listUnsettledTerms(record))
    const leader = { member: `m${term}`, address: `m${term}:1` }
    record = { term, nonce: String(term), leader, unsettled: listUnsettledTerms(record) }
    const isLast = term === takeovers + 1
    const leadsForMs = isLast ? Infinity : apartMs
    for (let ledMs = 0; ledMs < leadsForMs; ledMs += STEP_MS) {
      if (ledMs % CHECK_INTERVAL_MS === 0) await earlier.askOnce()
      if (isLast && earlier.haveRunsLapsedBy(now, LEASE_MS)) return now
      if (ledMs % COMMIT_INTERVAL_MS === 0) record = { ...record, unsettled: earlier.unsettled }
      now += STEP_MS
    }
  }
}

// LOST: each new leader waited for all leaders before it again, 8 s and a lease from its own election on.
for (const chain of chains) {
  const { leaders, takeovers, apartMs, waitMs } = chain
  test(`takeover waits: guards against the failure that each leader waits again for what was known or waited for: ${takeovers} takeovers, ${apartMs / 1_000} s apart, leaders ${leaders}`, async () => {
    const measuredMs = await measureWait(chain)
    assert.ok(measuredMs > waitMs && measuredMs <= waitMs + 2 * STEP_MS, `${measuredMs} ms in place of ${waitMs} ms`)
  })
}

type HandedOn = { readonly shows: string, readonly fields: object, readonly lapsesAfterMs: number }

const handedOn: readonly HandedOn[] = [
  { shows: 'a record of an older release', fields: {}, lapsesAfterMs: LEASE_GRACE_MS + LAPSE_MS },
  { shows: 'a record of an older release, with an end', fields: { commandsEnded: true }, lapsesAfterMs: LAPSE_MS },
  { shows: 'a remainder', fields: { commandsEndInMs: 2_000 }, lapsesAfterMs: 2_000 + LAPSE_MS },
  { shows: 'a remainder of the whole grace at most', fields: { commandsEndInMs: 60_000 }, lapsesAfterMs: LEASE_GRACE_MS + LAPSE_MS },
  { shows: 'an end some time ago', fields: { commandsEnded: true, commandsEndInMs: -2_000 }, lapsesAfterMs: LAPSE_MS - 2_000 },
  { shows: 'an end that a leader of an older release has added', fields: { commandsEnded: true, commandsEndInMs: 2_000 }, lapsesAfterMs: LAPSE_MS },
  { shows: 'a text', fields: { commandsEndInMs: '2000' }, lapsesAfterMs: LEASE_GRACE_MS + LAPSE_MS },
  { shows: 'null', fields: { commandsEndInMs: null }, lapsesAfterMs: LEASE_GRACE_MS + LAPSE_MS },
  { shows: 'null with an end', fields: { commandsEnded: true, commandsEndInMs: null }, lapsesAfterMs: LAPSE_MS },
  { shows: 'an end that is no truth value', fields: { commandsEnded: 'yes', commandsEndInMs: [] }, lapsesAfterMs: LEASE_GRACE_MS + LAPSE_MS }
]

// The record is untrusted: another release may have written it.
for (const { shows, fields, lapsesAfterMs } of handedOn) {
  test(`takeover waits: guards against the failure that a wait is cut short by a record that it does not understand: ${shows}`, () => {
    let now = 50_000
    const earlier = EarlierLeaders.create({
      term: { term: 2, commitVersion: 2, unsettled: [{ term: 1, leader: { member: 'm1', address: 'm1:1' }, ...fields }] },
      self: { member: 'm2', address: 'm2:1' },
      reporter: NO_REPORTER,
      requestStandDown: async () => undefined,
      standDown: () => ({ type: 'never-led', quietForMs: 0 }),
      isStopped: () => true,
      now: () => now
    })
    now += lapsesAfterMs
    assert.equal(earlier.haveRunsLapsedBy(now, LEASE_MS), false)
    assert.equal(earlier.haveRunsLapsedBy(now + 1, LEASE_MS), true)
  })
}

/** How long a record is under way, or the store has nobody to read it. */
const delaysMs = [0, 1, 2_500, 6_000, 30_000]

// A write without a response may be carried out seconds later, and the reader's clock shows another time.
for (const delayMs of delaysMs) {
  test(`takeover waits: guards against the failure that a leader's commands or leases are taken for ended too early by the reader of a record, ${delayMs} ms after it was written`, () => {
    let writerNow = 1_000
    const common = { reporter: NO_REPORTER, requestStandDown: async () => undefined, standDown: () => ({ type: 'never-led', quietForMs: 0 }) as const, isStopped: () => true }
    const first = { term: 1, leader: { member: 'm1', address: 'm1:1' } }
    const writer = EarlierLeaders.create({ ...common, term: { term: 2, commitVersion: 2, unsettled: [first] }, self: { member: 'm2', address: 'm2:1' }, now: () => writerNow })
    for (const writtenAfterMs of [0, 1.5, 4_000, 7_999.5, 8_000, 9_000, 11_000]) {
      writerNow = 1_000 + writtenAfterMs
      const read = JSON.parse(JSON.stringify(writer.unsettled)) as readonly UnsettledTerm[]
      let readerNow = 777_000
      const reader = EarlierLeaders.create({ ...common, term: { term: 3, commitVersion: 3, unsettled: read }, self: { member: 'm3', address: 'm3:1' }, now: () => readerNow })
      // The first leader's leases end this long after the record is read.
      readerNow += Math.max(0, LEASE_GRACE_MS + LEASE_MS - writtenAfterMs - delayMs)
      assert.equal(reader.haveRunsLapsedBy(readerNow, LEASE_MS), false, `written after ${writtenAfterMs} ms`)
    }
  })
}
