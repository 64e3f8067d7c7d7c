import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Committer } from '../../src/controller/committer.ts'
import type { Reporter } from '../../src/controller/reporter.ts'
import { COMMIT_KEY, cancelKey, jobKey, progressKey } from '../../src/controller/store-keys.ts'
import type { Store, StoreResponse, StoreCall, StoreFailure } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import type { JobPhase } from '../../src/workflow/job.ts'

const REPORT: Reporter = { log: () => {}, count: () => {}, observe: () => {} }
const SELF = { member: 'm1', address: 'm1:1' }

/** A store whose next transactions take effect without an answer, or take effect only later. */
class DoubtfulStore implements Store {
  loseAnswers = 0
  delayed: Array<() => void> = []
  private delayNext = false

  private constructor (readonly inner: InMemoryStore) {}

  static create (): DoubtfulStore {
    return new DoubtfulStore(InMemoryStore.create())
  }

  delayOne (): void {
    this.delayNext = true
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (call.type === 'transact' && this.delayNext) {
      this.delayNext = false
      this.delayed.push(() => { this.inner.call(0, call) })
      return err({ reason: 'timeout', verdict: 'may-have-applied' })
    }
    const answer = this.inner.call(0, call)
    if (answer === 'waiting') return err({ reason: 'timeout', verdict: 'not-applied' })
    if (call.type === 'transact' && this.loseAnswers > 0) {
      this.loseAnswers -= 1
      return err({ reason: 'timeout', verdict: 'may-have-applied' })
    }
    return ok(answer)
  }

  value (key: string): string | undefined {
    const answer = this.inner.call(0, { type: 'read', prefix: key })
    return answer !== 'waiting' && answer.type === 'read' ? answer.entries[0]?.value : undefined
  }
}

function harness (store: DoubtfulStore, phase: () => JobPhase): { committer: Committer, stored: string[], fenced: () => boolean } {
  const stored: string[] = []
  let fenced = false
  const committer = Committer.create({
    store,
    term: 1,
    commitVersion: store.inner.version,
    self: SELF,
    report: REPORT,
    progressOf: () => ({ phase: phase(), nextOccurrence: 1, open: {} }),
    needsDefinition: () => !['completed', 'failed', 'cancelled'].includes(phase()),
    processedEnds: () => [],
    onStored: ({ phases }) => stored.push(...phases.values()),
    onFenced: () => { fenced = true }
  })
  return { committer, stored, fenced: () => fenced }
}

async function began (): Promise<DoubtfulStore> {
  const store = DoubtfulStore.create()
  await store.call({ type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 1, nonce: 'won', leader: SELF }) }], deletes: [] })
  return store
}

test('committer: a commit whose answer was lost is found in the store and not written over', async () => {
  const store = await began()
  store.loseAnswers = 1
  const { committer, stored } = harness(store, () => 'running')
  committer.storeJob('a')
  await wait(400)
  assert.deepEqual(stored, ['running'])
})

test('committer: a commit that is carried out late does not replace a newer record', async () => {
  const store = await began()
  let phase: JobPhase = 'running'
  const { committer, stored } = harness(store, () => phase)
  store.delayOne()
  committer.storeJob('a')
  await wait(400)
  phase = 'completed'
  committer.storeJob('a')
  await wait(200)
  for (const carryOut of store.delayed) carryOut()
  assert.deepEqual(stored, ['running', 'completed'])
  assert.equal(JSON.parse(store.value(progressKey('a'))!).phase, 'completed')
})

test('committer: nothing is written once another leader has won a term', async () => {
  const store = await began()
  const { committer, stored, fenced } = harness(store, () => 'running')
  await store.call({ type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 2, nonce: 'other', leader: SELF }) }], deletes: [] })
  committer.storeJob('a')
  await wait(300)
  assert.deepEqual([stored, fenced(), store.value(progressKey('a'))], [[], true, undefined])
})

test('committer: the definitions of ended jobs are removed with their last record, however many end at a time', async () => {
  const store = await began()
  const { committer } = harness(store, () => 'cancelled')
  const ids = Array.from({ length: 40 }, (_, index) => `j${index}`)
  for (const id of ids) await store.call({ type: 'transact', compares: [], puts: [jobKey(id), cancelKey(id)].map((key) => ({ key, value: '{}' })), deletes: [] })
  for (const id of ids) committer.storeJob(id)
  await wait(800)
  assert.deepEqual(ids.flatMap((id) => [store.value(jobKey(id)), store.value(cancelKey(id))]).filter((value) => value !== undefined), [])
  assert.equal(JSON.parse(store.value(progressKey('j39'))!).phase, 'cancelled')
})
