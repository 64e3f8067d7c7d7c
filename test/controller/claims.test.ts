import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { Leadership } from '../../src/controller/leadership/leadership.ts'
import { COMMIT_KEY, LEADER_KEY, LEADER_PREFIX } from '../../src/controller/records/store-keys.ts'
import type { LeaderRecord } from '../../src/controller/records/store-keys.ts'
import type { Store, StoreCall, StoreFailure, StoreResponse } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'

const POLL_INTERVAL_MS = 10
const TIMEOUT_MS = 5_000
/** The leadership must last for this time after it was won. */
const SETTLE_MS = 600
const OTHER = { member: 'm1', address: 'm1:1' }

/** A store that other members use at the same time. `interfere` is called before each call; a number delays its response. */
class SharedStore implements Store {
  readonly inner = InMemoryStore.create()
  interfere: (call: StoreCall) => number | undefined = () => undefined

  private constructor () {}

  static create (): SharedStore {
    const store = new SharedStore()
    store.putCommit()
    return store
  }

  /** Stores a commit of the earlier leader. */
  putCommit (): void {
    this.inner.call(performance.now(), { type: 'transact', compares: [], puts: [{ key: COMMIT_KEY, value: JSON.stringify({ term: 1, nonce: String(this.inner.version), leader: OTHER }) }], deletes: [] })
  }

  /** Lets another member hold the leadership for a moment. */
  passLeadership (): void {
    this.putLeader()
    this.removeLeader()
  }

  putLeader (): void {
    this.inner.call(performance.now(), { type: 'transact', compares: [], puts: [{ key: LEADER_KEY, value: JSON.stringify({ ...OTHER, term: 1, nonce: 'other' }) }], deletes: [] })
  }

  removeLeader (): void {
    this.inner.call(performance.now(), { type: 'transact', compares: [], puts: [], deletes: [LEADER_KEY] })
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    const delayMs = this.interfere(call)
    const startedAt = performance.now()
    let response = this.inner.call(startedAt, call)
    while (response === 'waiting') {
      await wait(POLL_INTERVAL_MS)
      if (call.type !== 'watch') return err({ reason: 'unavailable', verdict: 'not-applied' })
      response = this.inner.resume(performance.now(), call, startedAt)
    }
    if (delayMs !== undefined) await wait(delayMs)
    return ok(response)
  }
}

type Claim = {
  readonly guards: string
  readonly disturb: (store: SharedStore, leadership: () => Leadership) => void
  /** Terms that the member leads, in order. */
  readonly terms: readonly number[]
}

const claims: readonly Claim[] = [
  {
    guards: 'nobody leads any more after a commit of the last leader came between the read and the write of a claim',
    disturb: (store) => {
      let commits = 1
      store.interfere = ({ type }) => {
        if (type === 'grant-lease' && commits > 0) {
          commits -= 1
          store.putCommit()
        }
        return undefined
      }
    },
    terms: [2]
  },
  {
    guards: 'a member leads a term although it has told the leader of a later one that it does not',
    disturb: (store, leadership) => {
      let claimsToDisturb = 1
      store.interfere = (call) => {
        if (call.type !== 'transact' || call.deletes.length > 0 || claimsToDisturb === 0) return undefined
        claimsToDisturb -= 1
        setTimeout(() => leadership().stepDownForTerm(3), 50)
        return 200
      }
    },
    terms: [3]
  },
  {
    guards: 'a member leads on a lease that has ended while its claim was on its way',
    disturb: (store) => {
      let claimsToDisturb = 1
      store.interfere = ({ type }) => {
        if (type !== 'transact' || claimsToDisturb === 0) return undefined
        claimsToDisturb -= 1
        return 1_700
      }
    },
    terms: [3]
  },
  {
    guards: 'a member never claims again after another leader whose term ended while the member ended the lease of its refused claim',
    disturb: (store) => {
      let refusals = 1
      let revocations = 1
      store.interfere = ({ type }) => {
        if (type === 'grant-lease' && refusals > 0) {
          refusals -= 1
          store.putLeader()
        }
        if (type !== 'revoke-lease' || revocations === 0) return undefined
        revocations -= 1
        setTimeout(() => store.removeLeader(), 100)
        return 400
      }
    },
    terms: [2]
  },
  {
    guards: 'a leader gives up because of an older change of the leadership that it learns late',
    disturb: (store) => {
      let passes = 1
      store.interfere = ({ type }) => {
        if (type === 'watch') return 300
        if (type === 'grant-lease' && passes > 0) {
          passes -= 1
          store.passLeadership()
          // The watch answers before the claim is written.
          return 50
        }
        return undefined
      }
    },
    terms: [2]
  }
]

// Work waits or runs twice if the members disagree on who leads, or nobody does.
for (const { guards, disturb, terms } of claims) {
  test(`claims: guards against the failure that ${guards}`, async () => {
    const store = SharedStore.create()
    const won: number[] = []
    disturb(store, () => leadership)
    const leadership = Leadership.create({ store, member: 'm2', address: 'm2:1', cores: 2, reporter: { log: () => {}, count: () => {}, observe: () => {} }, onElected: ({ term }) => { won.push(term) }, onLeadershipLost: () => {} })
    try {
      const deadline = performance.now() + TIMEOUT_MS
      while (won.at(-1) !== terms.at(-1) && performance.now() < deadline) await wait(POLL_INTERVAL_MS)
      await wait(SETTLE_MS)
      assert.deepEqual(won, terms)
      assert.ok(leadership.isLeading)
    } finally {
      leadership.stop()
    }
  })
}

// Another member takes the leader's process for ended, and the leader's watch is disturbed.
test('claims: guards against the failure that a leader whose record was removed goes on renewing its lease', async () => {
  const store = SharedStore.create()
  const reporter = { log: () => {}, count: () => {}, observe: () => {} }
  const records: LeaderRecord[] = []
  const won: number[] = []
  const disturbed: Store = {
    call: async (call) => {
      if (won.length === 0 || (call.type !== 'watch' && call.type !== 'read')) return store.call(call)
      await wait(POLL_INTERVAL_MS)
      return err({ reason: 'timeout', verdict: 'not-applied' })
    }
  }
  const leader = Leadership.create({ store: disturbed, member: 'm2', address: 'm2:1', cores: 2, reporter, onElected: ({ term }) => { won.push(term) }, onLeadershipLost: () => {} })
  while (won.length === 0) await wait(POLL_INTERVAL_MS)
  const other = Leadership.create({ store, member: 'm3', address: 'm3:1', cores: 0.1, reporter, onElected: () => {}, onLeadershipLost: () => {}, onOtherLeader: (record) => records.push(record) })
  try {
    while (records.length === 0) await wait(POLL_INTERVAL_MS)
    await other.removeEndedLeader(records[0]!)
    await wait(1_000)
    assert.equal(leader.isLeading, false)
  } finally {
    leader.stop()
    other.stop()
  }
})

// The history that a watch needs is gone, and the answer to the reading that replaces it is late.
test('claims: guards against the failure that a leader gives up because of an older reading of all entries that it receives late', async () => {
  const store = SharedStore.create()
  const won: number[] = []
  const lost: string[] = []
  let compactions = 1
  const delayed: Store = {
    call: async (call) => {
      if (call.type === 'watch' && compactions > 0) {
        compactions -= 1
        return ok({ type: 'watch', changes: [], version: 0, compacted: true })
      }
      const response = await store.call(call)
      if (call.type === 'read' && call.prefix === LEADER_PREFIX && compactions === 0 && won.length === 0) await wait(SETTLE_MS / 2)
      return response
    }
  }
  const leadership = Leadership.create({ store: delayed, member: 'm2', address: 'm2:1', cores: 2, reporter: { log: () => {}, count: () => {}, observe: () => {} }, onElected: ({ term }) => { won.push(term) }, onLeadershipLost: (reason) => { lost.push(reason) } })
  try {
    const deadline = performance.now() + TIMEOUT_MS
    while (won.length === 0 && performance.now() < deadline) await wait(POLL_INTERVAL_MS)
    await wait(SETTLE_MS)
    assert.deepEqual([won, lost, leadership.isLeading], [[2], [], true])
  } finally {
    leadership.stop()
  }
})
