import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import { Committer } from '../../src/controller/records/committer.ts'
import { COMMIT_KEY, TARGETS_KEY, progressKey } from '../../src/controller/records/store-keys.ts'
import { isJobProgress } from '../../src/controller/records/record-guards.ts'
import type { Put, Store } from '../../src/ports/store.ts'
import { STORE_VALUE_LIMIT_BYTES } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import { VirtualTime } from './virtual-time.ts'

const SELF = { member: 'm1', address: 'm1:1' }
const JOBS = 40
const PROGRESS: JobProgress = { phase: 'running', nextOccurrence: 1, open: {} }
const LARGE_PROGRESS: JobProgress = { ...PROGRESS, open: { 0: [{ done: 'f'.repeat(STORE_VALUE_LIMIT_BYTES), failedRuns: {}, gangFailedRuns: [] }] } }
const COMMIT_MS = 10

type Refusal = {
  readonly guards: string
  readonly progress: JobProgress
  /** Whether the store refuses a transaction with this entry. */
  readonly refuses: (put: Put, nowMs: number) => boolean
  /** Time until all that can be stored is. */
  readonly withinMs: number
  /** Whether a new leader can read that the job runs. */
  readonly outcome: 'stored' | 'replaced' | 'missing'
  readonly reasons: readonly string[]
}

const refusals: readonly Refusal[] = [
  { guards: 'a record that is too large holds up all commits', progress: LARGE_PROGRESS, refuses: ({ value }) => value.length > STORE_VALUE_LIMIT_BYTES, withinMs: 500, outcome: 'replaced', reasons: ['too-large'] },
  { guards: 'a record that the store refuses without a reason holds up all commits', progress: { ...PROGRESS, nextOccurrence: 7 }, refuses: ({ value }) => value.includes('"nextOccurrence":7'), withinMs: 6_000, outcome: 'replaced', reasons: ['refused'] },
  { guards: 'a key that the store refuses holds up all commits', progress: PROGRESS, refuses: ({ key }) => key === progressKey('bad'), withinMs: 10_000, outcome: 'missing', reasons: ['refused'] },
  { guards: 'a store that is down for a while is taken for one that refuses a record', progress: PROGRESS, refuses: (_put, nowMs) => nowMs < 6_000, withinMs: 7_000, outcome: 'stored', reasons: [] }
]

// One job's record is refused beside those of many others; the completions of all are acknowledged with the last of them.
for (const { guards, progress, refuses, withinMs, outcome, reasons } of refusals) {
  test(`set aside: guards against the failure that ${guards}`, async () => {
    const time = VirtualTime.install()
    try {
      const inner = InMemoryStore.create()
      inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 1, nonce: 'won', leader: SELF }) }], deletes: [] })
      const store: Store = {
        call: async (call) => {
          await time.wait(COMMIT_MS)
          if (call.type === 'transact' && call.puts.some((put) => refuses(put, time.nowMs))) return err({ reason: 'unavailable', verdict: 'not-applied' })
          const response = inner.call(time.nowMs, call)
          return response === 'waiting' ? err({ reason: 'timeout', verdict: 'not-applied' }) : ok(response)
        }
      }
      const setAside: unknown[] = []
      let acknowledged = 0
      const committer = Committer.create({
        store,
        term: 1,
        commitVersion: inner.version,
        self: SELF,
        getUnsettledTerms: () => [],
        reporter: { log: (_level, message, { reason }) => { if (message === 'record-set-aside') setAside.push(reason) }, count: () => {}, observe: () => {} },
        getProgress: (job) => job === 'bad' ? progress : PROGRESS,
        needsDefinition: () => true,
        getProcessedCompletions: () => [{ target: 't1', incarnation: 1, lastNumber: 5 }],
        getLastRun: () => 0,
        onStored: ({ completions }) => { acknowledged = Math.max(acknowledged, ...completions.map(({ lastNumber }) => lastNumber)) },
        onFenced: () => {}
      })
      for (let index = 0; index < JOBS; index += 1) committer.storeProgress(index === 20 ? 'bad' : `j${index}`)
      committer.storeTargets({ ids: ['t1'], closed: {} })
      await time.advance(withinMs)
      const read = (key: string): string | undefined => {
        const response = inner.call(time.nowMs, { type: 'read', prefix: key })
        return response !== 'waiting' && response.type === 'read' ? response.entries.find((entry) => entry.key === key)?.value : undefined
      }
      const missing = Array.from({ length: JOBS }, (_, index) => `j${index}`).filter((id) => id !== 'j20' && read(progressKey(id)) === undefined)
      assert.deepEqual([missing, read(TARGETS_KEY) === undefined, acknowledged], [[], false, 5])
      const stored = read(progressKey('bad'))
      assert.equal(stored === undefined ? 'missing' : isJobProgress(JSON.parse(stored)) ? 'stored' : 'replaced', outcome)
      assert.deepEqual([...new Set(setAside)], reasons)
    } finally {
      time.uninstall()
    }
  })
}

// The record of a job that has ended is small; without it the job would be shown as running, and its definition would stay.
test('set aside: guards against the failure that the end of a job is not stored because an earlier record of it was refused', async () => {
  const time = VirtualTime.install()
  try {
    const inner = InMemoryStore.create()
    inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 1, nonce: 'won', leader: SELF }) }], deletes: [] })
    const store: Store = {
      call: async (call) => {
        await time.wait(COMMIT_MS)
        if (call.type === 'transact' && call.puts.some(({ value }) => value.length > 1_000)) return err({ reason: 'unavailable', verdict: 'not-applied' })
        const response = inner.call(time.nowMs, call)
        return response === 'waiting' ? err({ reason: 'timeout', verdict: 'not-applied' }) : ok(response)
      }
    }
    let progress: JobProgress = { ...PROGRESS, open: { 0: [{ done: 'f'.repeat(2_000), failedRuns: {}, gangFailedRuns: [] }] } }
    const phases: string[] = []
    const committer = Committer.create({
      store,
      term: 1,
      commitVersion: inner.version,
      self: SELF,
      getUnsettledTerms: () => [],
      reporter: { log: () => {}, count: () => {}, observe: () => {} },
      getProgress: () => progress,
      needsDefinition: () => progress.phase === 'running',
      getProcessedCompletions: () => [],
      getLastRun: () => 0,
      onStored: (batch) => { phases.push(...batch.phases.values()) },
      onFenced: () => {}
    })
    committer.storeProgress('large')
    await time.advance(5_000)
    assert.deepEqual(phases, [])
    progress = { phase: 'completed', nextOccurrence: 1, open: {} }
    committer.storeProgress('large')
    await time.advance(500)
    assert.deepEqual(phases, ['completed'])
  } finally {
    time.uninstall()
  }
})
