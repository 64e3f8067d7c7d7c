import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { CommandRelay } from '../../src/controller/commands/command-relay.ts'
import { Leadership } from '../../src/controller/leadership/leadership.ts'
import { LEADER_KEY } from '../../src/controller/records/store-keys.ts'
import type { Store, StoreCall, StoreFailure, StoreResponse } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { RecordingClient, SILENT_REPORTER, START, TARGET, settle } from './relay-harness.ts'

const POLL_INTERVAL_MS = 10
const TIMEOUT_MS = 5_000
const UNAVAILABLE = { reason: 'unavailable', verdict: 'not-applied' } as const

/** A store that grants no leases, so that the member never leads. */
class ReadOnlyStore implements Store {
  private readonly inner = InMemoryStore.create()

  putLeader (term: number): void {
    this.inner.call(performance.now(), { type: 'transact', compares: [], puts: [{ key: LEADER_KEY, value: JSON.stringify({ member: 'm1', address: 'm1:1', term, nonce: String(term) }) }], deletes: [] })
  }

  removeLeader (): void {
    this.inner.call(performance.now(), { type: 'transact', compares: [], puts: [], deletes: [LEADER_KEY] })
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (call.type === 'grant-lease') return err(UNAVAILABLE)
    const startedAt = performance.now()
    let response = this.inner.call(startedAt, call)
    while (response === 'waiting') {
      await wait(POLL_INTERVAL_MS)
      if (call.type !== 'watch') return err(UNAVAILABLE)
      response = this.inner.resume(performance.now(), call, startedAt)
    }
    return ok(response)
  }
}

type Knowledge = { readonly what: string, readonly learn: (store: ReadOnlyStore, leadership: Leadership) => Promise<void> }

async function waitUntil (isReached: () => boolean): Promise<void> {
  const startedAt = performance.now()
  while (!isReached() && performance.now() < startedAt + TIMEOUT_MS) await wait(POLL_INTERVAL_MS)
  assert.ok(isReached())
}

/** How a member has learnt of the term after that of the command. */
const knowledge: readonly Knowledge[] = [
  {
    what: 'has seen its record',
    learn: async (store, leadership) => {
      store.putLeader(START.epoch + 1)
      await waitUntil(() => leadership.leader !== undefined)
    }
  },
  {
    what: 'has seen its record, which was removed since',
    learn: async (store, leadership) => {
      store.putLeader(START.epoch + 1)
      await waitUntil(() => leadership.leader !== undefined)
      store.removeLeader()
      await waitUntil(() => leadership.leader === undefined)
    }
  },
  { what: 'was asked by its leader to stop leading earlier ones', learn: async (_store, leadership) => { leadership.stepDownForTerm(START.epoch + 1) } }
]

for (const { what, learn } of knowledge) {
  // TWICE: a relay sent a start of an earlier leader although it knew that there was a later one.
  test(`latest term: guards against the failure that a relay sends commands of an earlier term, if it ${what}`, async () => {
    const store = new ReadOnlyStore()
    const leadership = Leadership.create({ store, member: 'm2', address: 'm2:1', cores: 2, reporter: SILENT_REPORTER, onElected: () => {}, onLeadershipLost: () => {} })
    const client = new RecordingClient()
    const relay = CommandRelay.create({ commands: client, reporter: SILENT_REPORTER, getLatestTerm: () => leadership.latestTerm, now: () => 0 })
    try {
      await learn(store, leadership)
      relay.open(() => {}).handle({ sequence: 1, entries: [{ number: 1, relayed: { type: 'start', target: TARGET, command: START }, validUntilMs: 1 }] })
      await settle()
      assert.deepEqual(client.calls, [])
    } finally {
      leadership.stop()
    }
  })
}
