import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Committer } from '../../src/controller/records/committer.ts'
import type { Reporter } from '../../src/controller/reporter.ts'
import { readStoredState } from '../../src/controller/records/read-stored-state.ts'
import { COMMIT_KEY, SETTINGS_KEY, TARGETS_KEY, cancelKey, jobKey, learnedKey, progressKey } from '../../src/controller/records/store-keys.ts'
import type { Store, StoreResponse, StoreCall, StoreFailure } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import type { JobPhase } from '../../src/workflow/job.ts'

const NO_REPORTER: Reporter = { log: () => {}, count: () => {}, observe: () => {} }
/** Limit of the store. */
const MAX_TRANSACTION_ENTRIES = 32
const SELF = { member: 'm1', address: 'm1:1' }

/** A store that can apply the next transactions without a response, or apply the next one only later. */
class UnreliableStore implements Store {
  lostResponses = 0
  delayedTransactions: Array<() => void> = []
  private delaysNext = false

  private constructor (readonly inner: InMemoryStore) {}

  static create (): UnreliableStore {
    return new UnreliableStore(InMemoryStore.create())
  }

  delayNextTransaction (): void {
    this.delaysNext = true
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (call.type === 'transact' && this.delaysNext) {
      this.delaysNext = false
      this.delayedTransactions.push(() => { this.inner.call(0, call) })
      return err({ reason: 'timeout', verdict: 'may-have-applied' })
    }
    const response = this.inner.call(0, call)
    if (response === 'waiting') return err({ reason: 'timeout', verdict: 'not-applied' })
    if (call.type === 'transact' && this.lostResponses > 0) {
      this.lostResponses -= 1
      return err({ reason: 'timeout', verdict: 'may-have-applied' })
    }
    return ok(response)
  }

  readValue (key: string): string | undefined {
    const response = this.inner.call(0, { type: 'read', prefix: key })
    return response !== 'waiting' && response.type === 'read' ? response.entries[0]?.value : undefined
  }
}

function createCommitter (store: UnreliableStore, phase: () => JobPhase): { committer: Committer, stored: string[], fenced: () => boolean } {
  const stored: string[] = []
  let fenced = false
  const committer = Committer.create({
    store,
    term: 1,
    commitVersion: store.inner.version,
    self: SELF,
    getUnsettledTerms: () => [],
    reporter: NO_REPORTER,
    getProgress: () => ({ phase: phase(), nextOccurrence: 1, open: {} }),
    needsDefinition: () => !['completed', 'failed', 'cancelled'].includes(phase()),
    getProcessedCompletions: () => [],
    getLastRun: () => 0,
    onStored: ({ phases }) => stored.push(...phases.values()),
    onFenced: () => { fenced = true }
  })
  return { committer, stored, fenced: () => fenced }
}

async function createStoreWithTerm (): Promise<UnreliableStore> {
  const store = UnreliableStore.create()
  await store.call({ type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 1, nonce: 'won', leader: SELF }) }], deletes: [] })
  return store
}

test('committer: a commit whose response was lost is found in the store and not overwritten', async () => {
  const store = await createStoreWithTerm()
  store.lostResponses = 1
  const { committer, stored } = createCommitter(store, () => 'running')
  committer.storeProgress('a')
  await wait(400)
  assert.deepEqual(stored, ['running'])
})

test('committer: a commit that is applied late does not overwrite a newer record', async () => {
  const store = await createStoreWithTerm()
  let phase: JobPhase = 'running'
  const { committer, stored } = createCommitter(store, () => phase)
  store.delayNextTransaction()
  committer.storeProgress('a')
  await wait(400)
  phase = 'completed'
  committer.storeProgress('a')
  await wait(200)
  for (const applyTransaction of store.delayedTransactions) applyTransaction()
  assert.deepEqual(stored, ['running', 'completed'])
  assert.equal(JSON.parse(store.readValue(progressKey('a'))!).phase, 'completed')
})

test('committer: nothing is written once another leader has won a term', async () => {
  const store = await createStoreWithTerm()
  const { committer, stored, fenced } = createCommitter(store, () => 'running')
  await store.call({ type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 2, nonce: 'other', leader: SELF }) }], deletes: [] })
  committer.storeProgress('a')
  await wait(300)
  assert.deepEqual([stored, fenced(), store.readValue(progressKey('a'))], [[], true, undefined])
})

test('committer: the definitions of ended jobs are deleted with their last record, however many jobs end at the same time', async () => {
  const store = await createStoreWithTerm()
  const { committer } = createCommitter(store, () => 'cancelled')
  const ids = Array.from({ length: 40 }, (_, index) => `j${index}`)
  for (const id of ids) await store.call({ type: 'transact', compares: [], puts: [jobKey(id), cancelKey(id)].map((key) => ({ key, value: '{}' })), deletes: [] })
  for (const id of ids) committer.storeProgress(id)
  await wait(800)
  assert.deepEqual(ids.flatMap((id) => [store.readValue(jobKey(id)), store.readValue(cancelKey(id))]).filter((value) => value !== undefined), [])
  assert.equal(JSON.parse(store.readValue(progressKey('j39'))!).phase, 'cancelled')
})

test('committer: removed settings are stored with whatever else waits, in transactions that the store accepts', async () => {
  const store = await createStoreWithTerm()
  const entryCounts: number[] = []
  const call = store.call.bind(store)
  store.call = (request) => {
    if (request.type === 'transact') entryCounts.push(request.compares.length + request.puts.length + request.deletes.length)
    return call(request)
  }
  const { committer } = createCommitter(store, () => 'running')
  const record = { queues: [], organisations: [] }
  for (let index = 0; index < 40; index += 1) committer.storeProgress(`j${index}`)
  committer.storeTargets({ ids: ['t1'], closed: {} })
  committer.storeSettings(record)
  await wait(400)
  assert.deepEqual(JSON.parse(store.readValue(SETTINGS_KEY)!), record)
  assert.ok(store.readValue(TARGETS_KEY) !== undefined && store.readValue(progressKey('j39')) !== undefined)
  assert.deepEqual(entryCounts.map((count) => count <= MAX_TRANSACTION_ENTRIES), [true, true])
})

test('committer: guards against the failure that what a leader has learned is not there for the next one, or an older text is', async () => {
  const store = await createStoreWithTerm()
  const { committer } = createCommitter(store, () => 'running')
  committer.storeLearned('run-times', 'first')
  committer.storeLearned('run-times', 'second')
  committer.storeLearned('past-use', 'x'.repeat(1_000_001))
  await wait(100)
  committer.stop()
  assert.equal(store.readValue(learnedKey('run-times')), 'second')
  assert.equal(store.readValue(learnedKey('past-use')), undefined)
  const state = await readStoredState(store, NO_REPORTER, true)
  assert.deepEqual(state?.events.filter(({ type }) => type === 'learned-restored'), [{ type: 'learned-restored', record: 'run-times', value: 'second' }])
})
