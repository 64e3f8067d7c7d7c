import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Committer } from '../../src/controller/records/committer.ts'
import { readStoredState } from '../../src/controller/records/read-stored-state.ts'
import { COMMIT_KEY, TARGETS_KEY } from '../../src/controller/records/store-keys.ts'
import type { CommitRecord } from '../../src/controller/records/store-keys.ts'
import { areCommandsBound, listUnsettledTerms } from '../../src/controller/leadership/unsettled-terms.ts'
import type { Store, StoreCall, StoreFailure, StoreResponse } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { SILENT_REPORTER } from './relay-harness.ts'

const SELF = { member: 'm2', address: 'm2:1', bindsCommands: true as const }
/** Its commands were not bound, and it has stored no targets. */
const EARLIER_TERM = { term: 2, leader: { member: 'm1', address: 'm1:1' } }
const CLAIM: CommitRecord = { term: 3, nonce: 'won', leader: SELF, unsettled: [EARLIER_TERM] }
const PREVIOUS_TARGETS = { ids: ['t1'], incarnations: { t1: 1 }, unbound: [] }
const TARGETS = { ...PREVIOUS_TARGETS, unbound: ['t1'] }
const DEADLINE_MS = 10_000

/** Refuses as many transactions with a record of targets, and notes what a successor would know after each transaction. */
class ObservedStore implements Store {
  readonly inner = InMemoryStore.create()
  /** Whether a successor would know that commands to the target may not be bound, after each transaction. */
  readonly knownMarks: boolean[] = []

  constructor (private refusals: number) {}

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (call.type === 'transact' && call.puts.some(({ key }) => key === TARGETS_KEY) && this.refusals > 0) {
      this.refusals -= 1
      return err({ reason: 'unavailable', verdict: 'not-applied' })
    }
    const response = this.inner.call(0, call)
    if (response === 'waiting') return err({ reason: 'timeout', verdict: 'not-applied' })
    if (call.type === 'transact') this.knownMarks.push(await this.isMarkKnown())
    return ok(response)
  }

  readCommit (): CommitRecord {
    const response = this.inner.call(0, { type: 'read', prefix: COMMIT_KEY })
    assert.ok(response !== 'waiting' && response.type === 'read')
    return JSON.parse(response.entries[0]!.value)
  }

  private async isMarkKnown (): Promise<boolean> {
    const reader: Store = { call: async (call) => ok(this.inner.call(0, call) as StoreResponse) }
    const state = await readStoredState(reader, SILENT_REPORTER, areCommandsBound(listUnsettledTerms(this.readCommit())))
    const restored = state?.events.find((event) => event.type === 'incarnations-restored')
    assert.ok(restored?.type === 'incarnations-restored')
    return restored.unbound === undefined || restored.unbound.includes('t1')
  }
}

const cases = [
  { what: 'few jobs are stored with the targets', jobs: 2, refusals: 0 },
  { what: 'more jobs are to be stored than fit into a transaction with the targets', jobs: 60, refusals: 0 },
  { what: 'the store refuses the targets for some time, and takes probes meanwhile', jobs: 2, refusals: 5 }
]

for (const { what, jobs, refusals } of cases) {
  // Found by reading (TWICE): a leader that ended between two transactions had settled a term whose targets its successor took for bound.
  test(`committer: guards against the failure that terms are settled before the targets that the leader knows then are stored: ${what}`, async () => {
    const store = new ObservedStore(refusals)
    store.inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify(CLAIM) }, { key: TARGETS_KEY, value: JSON.stringify(PREVIOUS_TARGETS) }], deletes: [] })
    let settled = false
    const committer = Committer.create({
      store,
      term: CLAIM.term,
      commitVersion: store.inner.version,
      self: SELF,
      reporter: SILENT_REPORTER,
      claimedTerms: CLAIM.unsettled!,
      getUnsettledTerms: () => settled ? [] : [EARLIER_TERM],
      getProgress: () => ({ phase: 'running', nextOccurrence: 1, open: {} }),
      needsDefinition: () => true,
      getProcessedCompletions: () => [],
      getLastRun: () => 0,
      onStored: () => {},
      onFenced: () => assert.fail('fenced')
    })
    for (let job = 0; job < jobs; job += 1) committer.storeProgress(`j${job}`)
    settled = true
    committer.storeTargets(TARGETS)
    const startedAt = performance.now()
    while (store.readCommit().unsettled?.length !== 0 && performance.now() < startedAt + DEADLINE_MS) await wait(10)
    await wait(500)
    committer.stop()
    assert.deepEqual(store.knownMarks, store.knownMarks.map(() => true))
    assert.deepEqual(store.readCommit().unsettled, [])
  })
}

// A backlog that fills each transaction: the targets come last, and now the terms wait for them.
test('committer: guards against the failure that terms are never settled while each transaction is full of jobs', async () => {
  const store = new ObservedStore(0)
  store.inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify(CLAIM) }, { key: TARGETS_KEY, value: JSON.stringify(PREVIOUS_TARGETS) }], deletes: [] })
  let jobs = 0
  let transactions = 0
  const storeJobs = (): void => {
    for (let count = 0; count < 28; count += 1) committer.storeProgress(`j${jobs += 1}`)
  }
  const committer = Committer.create({
    store,
    term: CLAIM.term,
    commitVersion: store.inner.version,
    self: SELF,
    reporter: SILENT_REPORTER,
    claimedTerms: CLAIM.unsettled!,
    getUnsettledTerms: () => [],
    getProgress: () => ({ phase: 'running', nextOccurrence: 1, open: {} }),
    needsDefinition: () => true,
    getProcessedCompletions: () => [],
    getLastRun: () => 0,
    onStored: () => {
      transactions += 1
      storeJobs()
    },
    onFenced: () => assert.fail('fenced')
  })
  committer.storeTargets(TARGETS)
  storeJobs()
  const startedAt = performance.now()
  while (store.readCommit().unsettled?.length !== 0 && performance.now() < startedAt + DEADLINE_MS) await wait(10)
  committer.stop()
  assert.deepEqual(store.readCommit().unsettled, [], `not settled after ${transactions} transactions with ${jobs} jobs`)
})
