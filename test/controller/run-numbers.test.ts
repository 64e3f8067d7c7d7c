import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { ok } from 'neverthrow'
import { Committer } from '../../src/controller/records/committer.ts'
import { Leadership } from '../../src/controller/leadership/leadership.ts'
import type { Term } from '../../src/controller/leadership/leadership.ts'
import type { Reporter } from '../../src/controller/reporter.ts'
import { COMMIT_KEY } from '../../src/controller/records/store-keys.ts'
import type { Store } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'

const NO_REPORTER: Reporter = { log: () => {}, count: () => {}, observe: () => {} }
const SELF = { member: 'm1', address: 'm1:1' }
/** Run numbers of a term, in this and in earlier releases. */
const RUNS_PER_TERM = 1_000_000

function createStore (): Store & { readonly inner: InMemoryStore } {
  const inner = InMemoryStore.create()
  return {
    inner,
    call: async (call) => {
      const answer = inner.call(0, call)
      if (answer !== 'waiting') return ok(answer)
      await wait(20)
      return ok({ type: 'watch', changes: [], version: inner.version, compacted: false })
    }
  }
}

/** Stores progress as the leader of the term, which has started runs up to `lastRun`. */
function commitAs (store: ReturnType<typeof createStore>, term: number, lastRun: number): Promise<void> {
  store.inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term, nonce: 'won', leader: SELF }) }], deletes: [] })
  return new Promise((resolve, reject) => {
    const committer = Committer.create({
      store,
      term,
      commitVersion: store.inner.version,
      self: SELF,
      reporter: NO_REPORTER,
      getUnsettledTerms: () => [],
      getProgress: () => ({ phase: 'running', nextOccurrence: 1, open: {} }),
      needsDefinition: () => true,
      getProcessedCompletions: () => [],
      getLastRun: () => lastRun,
      onStored: () => resolve(),
      onFenced: () => reject(new Error('fenced'))
    })
    committer.storeProgress('a')
  })
}

async function claimNextTerm (store: Store): Promise<Term> {
  let leadership: Leadership | undefined
  const term = await new Promise<Term>((resolve) => {
    leadership = Leadership.create({ store, member: 'm2', address: 'm2:1', cores: 2, reporter: NO_REPORTER, onElected: resolve, onLeadershipLost: () => {} })
  })
  leadership?.stop()
  return term
}

const terms = [
  { runs: 'none', term: 1, lastRun: 0, next: 2 },
  { runs: 'few', term: 3, lastRun: 2 * RUNS_PER_TERM + 7, next: 4 },
  { runs: 'nearly all of its numbers', term: 3, lastRun: 3 * RUNS_PER_TERM - 5, next: 5 },
  { runs: 'all of its numbers', term: 3, lastRun: 3 * RUNS_PER_TERM, next: 5 },
  { runs: 'more than its numbers', term: 1, lastRun: RUNS_PER_TERM + 200_000, next: 3 },
  { runs: 'the numbers of many terms', term: 2, lastRun: 40 * RUNS_PER_TERM, next: 42 }
]

for (const { runs, term, lastRun, next } of terms) {
  // A term that started more than a million runs left numbers to the next one that its targets refuse, or take for runs of the past.
  test(`run numbers: guards against the failure that a new leader uses numbers of its predecessor again, which used ${runs}`, async () => {
    const store = createStore()
    await commitAs(store, term, lastRun)
    const elected = await claimNextTerm(store)
    assert.ok((elected.term - 1) * RUNS_PER_TERM + 1 > lastRun, `term ${elected.term} begins at or below run ${lastRun}`)
    assert.equal(elected.term, next)
  })
}

test('run numbers: a new leader accepts the record of a release that reserved no terms', async () => {
  const store = createStore()
  store.inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 4, nonce: 'won', leader: SELF }) }], deletes: [] })
  assert.equal((await claimNextTerm(store)).term, 5)
})
