import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import { Committer } from '../../src/controller/records/committer.ts'
import { COMMIT_KEY } from '../../src/controller/records/store-keys.ts'
import type { CommitRecord } from '../../src/controller/records/store-keys.ts'
import type { Store } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { VirtualTime } from './virtual-time.ts'

const SELF = { member: 'm2', address: 'm2:1' }
const EARLIER = { term: 1, leader: { member: 'm1', address: 'm1:1' } }
const TICK_MS = 50
const CALL_MS = 5
const GRACE_MS = 8_000

type Renewal = {
  readonly shows: string
  /** Whether the leader asks for it, as it does while earlier terms are not settled. */
  readonly isWaiting: boolean
  /** Times between which the store rejects all calls, in milliseconds. */
  readonly outage?: { readonly from: number, readonly until: number }
  /** What the record says after 4.5 s of the remaining commands of the earlier leader; undefined if nothing was stored. */
  readonly remainderMs: { readonly min: number, readonly max: number } | undefined
  readonly maxCommits: number
}

const renewals: readonly Renewal[] = [
  { shows: 'a leader that waits and has nothing else to store', isWaiting: true, remainderMs: { min: GRACE_MS - 4_500, max: GRACE_MS - 3_500 }, maxCommits: 5 },
  { shows: 'a store that was down meanwhile', isWaiting: true, outage: { from: 900, until: 3_600 }, remainderMs: { min: GRACE_MS - 4_500, max: GRACE_MS - 3_500 }, maxCommits: 5 },
  { shows: 'a leader that does not wait stores nothing', isWaiting: false, remainderMs: undefined, maxCommits: 0 }
]

// LOST: a leader that only waited stored nothing, so that the next one began to wait anew.
for (const { shows, isWaiting, outage, remainderMs, maxCommits } of renewals) {
  test(`renewed record: guards against the failure that what a leader has waited for ends with it: ${shows}`, async () => {
    const time = VirtualTime.install()
    try {
      const inner = InMemoryStore.create()
      let commits = 0
      const store: Store = {
        call: async (call) => {
          await time.wait(CALL_MS)
          if (outage !== undefined && time.nowMs >= outage.from && time.nowMs < outage.until) return err({ reason: 'unavailable', verdict: 'not-applied' })
          if (call.type === 'transact') commits += 1
          const response = inner.call(time.nowMs, call)
          return response === 'waiting' ? err({ reason: 'timeout', verdict: 'not-applied' }) : ok(response)
        }
      }
      inner.call(0, { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 2, nonce: 'won', leader: SELF }) }], deletes: [] })
      const committer = Committer.create({
        store,
        term: 2,
        commitVersion: inner.version,
        self: SELF,
        reporter: { log: () => {}, count: () => {}, observe: () => {} },
        getUnsettledTerms: () => [{ ...EARLIER, commandsEndInMs: GRACE_MS - time.nowMs }],
        getProgress: () => undefined,
        needsDefinition: () => true,
        getProcessedCompletions: () => [],
        getLastRun: () => 0,
        onStored: () => {},
        onFenced: () => assert.fail('fenced')
      })
      while (time.nowMs < 4_500) {
        if (isWaiting) committer.renewRecord()
        await time.advance(TICK_MS)
      }
      committer.stop()
      const response = inner.call(time.nowMs, { type: 'read', prefix: COMMIT_KEY })
      const record = JSON.parse(response !== 'waiting' && response.type === 'read' ? response.entries[0]!.value : '{}') as CommitRecord
      const storedMs = record.unsettled?.[0]?.commandsEndInMs
      if (remainderMs === undefined) assert.equal(storedMs, undefined)
      else assert.ok(storedMs !== undefined && storedMs >= remainderMs.min && storedMs <= remainderMs.max, `${storedMs} ms`)
      assert.ok(commits <= maxCommits, `${commits} commits`)
    } finally {
      time.uninstall()
    }
  })
}
