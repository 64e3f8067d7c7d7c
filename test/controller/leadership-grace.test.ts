import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LEASE_GRACE_MS, Leadership } from '../../src/controller/leadership/leadership.ts'
import type { Store, StoreCall, StoreFailure, StoreResponse } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'

const CALL_TIMEOUT_MS = 1_000
/** Lateness of timers that is allowed, in milliseconds; far less than a call to the store takes. */
const TIMER_SLACK_MS = 100

// A new leader that gets no answer counts the grace from its own election, which may follow the last renewal at once.
test('leadership: guards against the failure that a leader whose store calls time out sends commands after the grace that its successor waits for', async () => {
  const inner = InMemoryStore.create()
  let silent = false
  let leaseSentAt = 0
  const lostAt: number[] = []
  const store: Store = {
    async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
      if (silent) {
        await wait(CALL_TIMEOUT_MS)
        return err({ reason: 'timeout', verdict: 'may-have-applied' })
      }
      if (call.type === 'grant-lease') leaseSentAt = performance.now()
      const response = inner.call(performance.now(), call)
      return response === 'waiting' ? err({ reason: 'unavailable', verdict: 'not-applied' }) : ok(response)
    }
  }
  const leadership = Leadership.create({ store, member: 'm2', address: 'm2:1', cores: 2, reporter: { log: () => {}, count: () => {}, observe: () => {} }, onElected: () => { silent = true }, onLeadershipLost: () => { lostAt.push(performance.now()) } })
  try {
    for (let waitedMs = 0; lostAt.length === 0 && waitedMs < 15_000; waitedMs += 10) await wait(10)
    const ledMs = Math.round(lostAt[0]! - leaseSentAt)
    assert.ok(ledMs <= LEASE_GRACE_MS + TIMER_SLACK_MS, `led for ${ledMs} ms after its last confirmed renewal`)
  } finally {
    leadership.stop()
  }
})
