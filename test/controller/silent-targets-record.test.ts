import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import { Committer } from '../../src/controller/records/committer.ts'
import { Leadership } from '../../src/controller/leadership/leadership.ts'
import type { Term } from '../../src/controller/leadership/leadership.ts'
import { SilentTargetsReader, formatSilentTargets } from '../../src/controller/records/silent-targets-record.ts'
import { COMMIT_KEY, SILENT_TARGETS_KEY } from '../../src/controller/records/store-keys.ts'
import type { Store, StoreCall, StoreEntry } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'

const NO_REPORTER = { log: () => {}, count: () => {}, observe: () => {} }
const SELF = { member: 'm1', address: 'm1:1' }
const TERM = 3
const READ_AT = 50_000
/** Limit of the store. */
const MAX_TRANSACTION_ENTRIES = 32

function buildEntry (value: unknown, version = 9): StoreEntry {
  return { key: SILENT_TARGETS_KEY, value: typeof value === 'string' ? value : JSON.stringify(value), version }
}

type Reading = { readonly shows: string, readonly value: unknown, readonly lastTerm?: number, readonly targets: object }

const readings: readonly Reading[] = [
  { shows: 'a record of the last term', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: 1_000 } } }, targets: { t1: { incarnation: 7, leasesEndAt: READ_AT + 1_030 } } },
  { shows: 'a wait that is over', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: 0 } } }, targets: { t1: { incarnation: 7, leasesEndAt: READ_AT } } },
  { shows: 'a record before a term of an older release', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: 0 } } }, lastTerm: TERM + 1, targets: {} },
  { shows: 'a record of a later term', value: { term: TERM + 1, targets: { t1: { incarnation: 7, endsInMs: 0 } } }, targets: {} },
  { shows: 'a restarted target that is commanded', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: 1_000, isCommanded: true } } }, targets: { t1: { incarnation: 7, leasesEndAt: READ_AT + 1_030, isCommanded: true } } },
  { shows: 'a mark that is no truth value', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: 0, isCommanded: 'no' }, t2: { incarnation: 7, endsInMs: 0, isCommanded: false } } }, targets: {} },
  { shows: 'a negative wait', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: -1 } } }, targets: {} },
  { shows: 'a huge wait', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: 1e9 } } }, targets: {} },
  { shows: 'waits and incarnations that are no numbers', value: { term: TERM, targets: { t1: { incarnation: 7, endsInMs: '0' }, t2: { incarnation: '7', endsInMs: 0 }, t3: { incarnation: 7, endsInMs: null }, t4: null, t5: [] } }, targets: {} },
  { shows: 'one target that is not understood beside one that is', value: { term: TERM, targets: { t1: 5, t2: { incarnation: 7, endsInMs: 0 } } }, targets: { t2: { incarnation: 7, leasesEndAt: READ_AT } } },
  { shows: 'targets in a list', value: { term: TERM, targets: [{ incarnation: 7, endsInMs: 0 }] }, targets: {} },
  { shows: 'a term that is a text', value: { term: String(TERM), targets: { t1: { incarnation: 7, endsInMs: 0 } } }, targets: {} },
  { shows: 'null', value: null, targets: {} },
  { shows: 'no targets', value: { term: TERM }, targets: {} },
  { shows: 'no JSON', value: '{', targets: {} }
]

// TWICE: the record is untrusted, and what is not understood must not cut a wait short.
for (const { shows, value, lastTerm = TERM, targets } of readings) {
  test(`silent targets record: guards against the failure that a wait is cut short by a record that is not valid: ${shows}`, () => {
    const reader = SilentTargetsReader.create(() => READ_AT)
    assert.deepEqual(reader.read(buildEntry(value), lastTerm), targets)
  })
}

test('silent targets record: guards against the failure that a missing record is taken for an empty wait', () => {
  assert.deepEqual(SilentTargetsReader.create(() => READ_AT).read(undefined, TERM), {})
})

// LOST: a member that has watched the record must not wait again for what it has seen pass.
test('silent targets record: guards against the failure that a wait is counted from the takeover although the record was seen before', () => {
  let now = 1_000
  const reader = SilentTargetsReader.create(() => now)
  const entry = buildEntry({ term: TERM, targets: { t1: { incarnation: 7, endsInMs: 1_000 } } })
  reader.see([entry])
  now = 4_000
  reader.see([entry])
  assert.deepEqual(reader.read(entry, TERM), { t1: { incarnation: 7, leasesEndAt: 2_030 } })
  const later = buildEntry({ term: TERM, targets: { t1: { incarnation: 7, endsInMs: 2_000 } } }, 12)
  assert.deepEqual(reader.read(later, TERM), { t1: { incarnation: 7, leasesEndAt: 6_060 } })
})

test('silent targets record: guards against the failure that a wait in the past is written as a negative one', () => {
  assert.deepEqual(JSON.parse(formatSilentTargets(TERM, { t1: { incarnation: 7, leasesEndAt: 500 }, t2: { incarnation: 8, leasesEndAt: 1_500.2 }, t3: { incarnation: 9, leasesEndAt: -Infinity } }, 1_000)),
    { term: TERM, targets: { t1: { incarnation: 7, endsInMs: 0 }, t2: { incarnation: 8, endsInMs: 501 }, t3: { incarnation: 9, endsInMs: 0 } } })
})

/** A store of which the next transactions are applied later, or only in part. */
class DelayedStore implements Store {
  readonly inner = InMemoryStore.create()
  readonly transactions: Array<Extract<StoreCall, { type: 'transact' }>> = []
  readonly delayed: Array<() => void> = []
  delays = 0

  private constructor () {}

  static create (): DelayedStore {
    return new DelayedStore()
  }

  async call (call: StoreCall): ReturnType<Store['call']> {
    if (call.type === 'transact') this.transactions.push(call)
    if (call.type === 'transact' && this.delays > 0) {
      this.delays -= 1
      this.delayed.push(() => { this.inner.call(performance.now(), call) })
      return err({ reason: 'timeout', verdict: 'may-have-applied' })
    }
    const startedAt = performance.now()
    let response = this.inner.call(startedAt, call)
    while (response === 'waiting' && call.type === 'watch') {
      await wait(5)
      response = this.inner.resume(performance.now(), call, startedAt)
    }
    return response === 'waiting' ? err({ reason: 'unavailable', verdict: 'not-applied' }) : ok(response)
  }

  put (key: string, value: unknown): void {
    this.inner.call(performance.now(), { type: 'transact', compares: [], puts: [{ key, value: JSON.stringify(value) }], deletes: [] })
  }

  read (key: string): { readonly value: unknown, readonly version: number } | undefined {
    const response = this.inner.call(performance.now(), { type: 'read', prefix: key })
    const entry = response !== 'waiting' && response.type === 'read' ? response.entries.find((other) => other.key === key) : undefined
    return entry === undefined ? undefined : { value: JSON.parse(entry.value), version: entry.version }
  }
}

function createCommitter (store: DelayedStore, onSilentTargets: (ids: readonly string[]) => void): Committer {
  store.put(COMMIT_KEY, { term: TERM, nonce: 'won', leader: SELF })
  return Committer.create({
    store,
    term: TERM,
    commitVersion: store.inner.version,
    self: SELF,
    getUnsettledTerms: () => [],
    reporter: NO_REPORTER,
    getProgress: () => ({ phase: 'completed', nextOccurrence: 1, open: {} }),
    needsDefinition: () => false,
    getProcessedCompletions: () => [],
    getLastRun: () => 0,
    onStored: ({ silentTargets }) => { if (silentTargets !== undefined) onSilentTargets(silentTargets) },
    onFenced: () => {}
  })
}

// TWICE: a target that is commanded again after a record without it was stored must not come back into the store with an older one.
test('silent targets record: guards against the failure that an earlier record which the store applies late replaces a later one', async () => {
  const store = DelayedStore.create()
  const stored: Array<readonly string[]> = []
  const committer = createCommitter(store, (ids) => stored.push(ids))
  store.delays = 1
  committer.storeSilentTargets({ t1: { incarnation: 7, leasesEndAt: 0 } })
  await wait(100)
  committer.storeSilentTargets({ t1: { incarnation: 8, leasesEndAt: 0, isCommanded: true } })
  while (stored.at(-1)?.length !== 0) await wait(20)
  committer.stop()
  for (const apply of store.delayed) apply()
  assert.deepEqual([stored, store.read(SILENT_TARGETS_KEY)?.value], [[['t1'], []], { term: TERM, targets: { t1: { incarnation: 8, endsInMs: 0, isCommanded: true } } }])
})

test('silent targets record: guards against the failure that a transaction with many jobs and the record has too many entries, or leaves the record out', async () => {
  const store = DelayedStore.create()
  const stored: Array<readonly string[]> = []
  const committer = createCommitter(store, (ids) => stored.push(ids))
  for (let index = 0; index < 100; index += 1) committer.storeProgress(`j${index}`)
  committer.storeTargets({ ids: ['t1'] })
  committer.storeSettings({ queues: [], organisations: [] } as unknown as Parameters<Committer['storeSettings']>[0])
  committer.storeSilentTargets({ t1: { incarnation: 7, leasesEndAt: 0 } })
  while (stored.length === 0) await wait(20)
  committer.stop()
  const sizes = store.transactions.map(({ compares, puts, deletes }) => compares.length + puts.length + deletes.length)
  assert.ok(Math.max(...sizes) <= MAX_TRANSACTION_ENTRIES, `${Math.max(...sizes)} entries`)
  assert.ok(store.transactions.slice(0, 2).some(({ puts }) => puts.some(({ key }) => key === SILENT_TARGETS_KEY)))
})

type Claim = { readonly shows: string, readonly record: unknown, readonly targets: readonly string[], readonly written: unknown }

const T1 = { t1: { incarnation: 7, endsInMs: 0 } }
const claims: readonly Claim[] = [
  { shows: 'of the last term', record: { term: TERM, targets: T1 }, targets: ['t1'], written: { term: TERM + 1, targets: T1 } },
  { shows: 'before a term of an older release', record: { term: TERM - 1, targets: T1 }, targets: [], written: { term: TERM - 1, targets: T1 } },
  { shows: 'missing', record: undefined, targets: [], written: undefined },
  { shows: 'malformed', record: 5, targets: [], written: 5 }
]

// TWICE: a record is valid only after terms that have all kept its promise.
for (const { shows, record, targets, written } of claims) {
  test(`silent targets record: guards against the failure that a claim inherits a promise that nobody has kept, or loses one: record ${shows}`, async () => {
    const store = DelayedStore.create()
    store.put(COMMIT_KEY, { term: TERM, nonce: 'last', leader: { member: 'm0', address: 'm0:1' } })
    if (record !== undefined) store.put(SILENT_TARGETS_KEY, record)
    const terms: Term[] = []
    const leadership = Leadership.create({ store, ...SELF, cores: 2, reporter: NO_REPORTER, onElected: (term) => terms.push(term), onLeadershipLost: () => {} })
    while (terms.length === 0) await wait(10)
    leadership.stop()
    assert.deepEqual(Object.keys(terms[0]!.silentTargets ?? {}), targets)
    assert.deepEqual(store.read(SILENT_TARGETS_KEY)?.value, written)
    if (targets.length > 0) assert.equal(store.read(SILENT_TARGETS_KEY)!.version, store.read(COMMIT_KEY)!.version)
  })
}
