import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import { Committer } from '../../src/controller/records/committer.ts'
import { COMMIT_KEY, progressKey } from '../../src/controller/records/store-keys.ts'
import type { Store } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import { VirtualTime } from './virtual-time.ts'

const SELF = { member: 'm1', address: 'm1:1' }
const PROGRESS: JobProgress = { phase: 'running', nextOccurrence: 1, open: {} }
const CALL_MS = 10
const REFUSALS_END_MS = 3_000
const LATE_MS = 2_000

// LOST: the store refuses commits for 3 s, and loses the response to one that carries no record but carries it out 2 s late.
test('commits: guards against the failure that a probe without a response, carried out late, holds up all commits of the term', async () => {
  const time = VirtualTime.install()
  try {
    const inner = InMemoryStore.create()
    inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 1, nonce: 'won', leader: SELF }) }], deletes: [] })
    let probeLost = false
    const store: Store = {
      call: async (call) => {
        await time.wait(CALL_MS)
        if (call.type === 'transact' && time.nowMs < REFUSALS_END_MS) {
          if (call.puts.length > 1 || probeLost) return err({ reason: 'unavailable', verdict: 'not-applied' })
          probeLost = true
          time.schedule(LATE_MS, () => { inner.call(time.nowMs, call) })
          return err({ reason: 'timeout', verdict: 'may-have-applied' })
        }
        const response = inner.call(time.nowMs, call)
        return response === 'waiting' ? err({ reason: 'timeout', verdict: 'not-applied' }) : ok(response)
      }
    }
    let stored = 0
    let fenced = 0
    const committer = Committer.create({
      store,
      term: 1,
      commitVersion: inner.version,
      self: SELF,
      getUnsettledTerms: () => [],
      reporter: { log: () => {}, count: () => {}, observe: () => {} },
      getProgress: () => PROGRESS,
      needsDefinition: () => true,
      getProcessedCompletions: () => [],
      getLastRun: () => 0,
      onStored: () => { stored += 1 },
      onFenced: () => { fenced += 1 }
    })
    committer.storeProgress('a')
    await time.advance(60_000)
    const response = inner.call(time.nowMs, { type: 'read', prefix: progressKey('a') })
    const isStored = response !== 'waiting' && response.type === 'read' && response.entries.length > 0
    assert.deepEqual({ probeLost, isStored, stored: stored > 0, fenced }, { probeLost: true, isStored: true, stored: true, fenced: 0 })
  } finally {
    time.uninstall()
  }
})
