import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LEASE_GRACE_MS } from '../../src/controller/leadership/leadership.ts'
import type { Peer } from '../../src/controller/member-call.ts'
import { CONFIRMATION_PERMITS_MS, RENEWAL_PERMITS_MS, Witnesses } from '../../src/controller/leadership/witnesses.ts'
import { VirtualTime } from './virtual-time.ts'

const TICK_MS = 50
/** Calls of a leader to its witnesses in a second: four to each of five. */
const MAX_CALLS_PER_SECOND = 20
const PEERS: readonly Peer[] = ['m1', 'm2', 'm3', 'm4', 'm5', 'm6'].map((member) => ({ member, address: `${member}:1` }))

/** The witnesses of a leader beside members that answer or not, and a store that confirms its lease or not. */
class WitnessedLeader {
  readonly time = VirtualTime.install()
  /** Members that send hellos. */
  present: readonly Peer[] = []
  /** Members that confirm the term. */
  confirming: readonly Peer[] = []
  storeResponds = true
  callMs = 5
  calls = 0
  chosen: ReadonlyArray<readonly Peer[]> = []
  private renewedAt = 0
  readonly witnesses = Witnesses.create({
    term: 2,
    self: { member: 'm0', address: 'm0:1' },
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    getPeers: () => this.present,
    requestConfirmation: async (peer) => {
      this.calls += 1
      await this.time.wait(this.callMs)
      return this.confirming.includes(peer)
    },
    getAloneUntil: () => {
      if (this.storeResponds) this.renewedAt = performance.now()
      return this.renewedAt
    },
    onChosen: () => { this.chosen = [...this.chosen, this.witnesses.toStore] }
  })

  private constructor () {}

  static create (): WitnessedLeader {
    return new WitnessedLeader()
  }

  /** Lets all members from the first to this number be chosen and stored. */
  async store (count: number): Promise<void> {
    this.present = this.confirming = PEERS.slice(0, count)
    await this.run(200)
    this.witnesses.recordStored(this.witnesses.toStore)
  }

  async run (durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) {
      this.witnesses.update()
      await this.time.advance(TICK_MS)
    }
  }
}

async function withTime (play: (time: VirtualTime) => Promise<void>): Promise<void> {
  const time = VirtualTime.install()
  try {
    await play(time)
  } finally {
    time.uninstall()
  }
}

async function withLeader (play: (leader: WitnessedLeader) => Promise<void>): Promise<void> {
  const leader = WitnessedLeader.create()
  try {
    await play(leader)
  } finally {
    leader.time.uninstall()
  }
}

const groups: ReadonlyArray<{ readonly witnesses: number, readonly confirming: number, readonly permitted: boolean }> = [
  { witnesses: 0, confirming: 0, permitted: true },
  { witnesses: 1, confirming: 0, permitted: false },
  { witnesses: 1, confirming: 1, permitted: true },
  { witnesses: 2, confirming: 1, permitted: false },
  { witnesses: 2, confirming: 2, permitted: true },
  { witnesses: 3, confirming: 1, permitted: false },
  { witnesses: 3, confirming: 2, permitted: true },
  { witnesses: 4, confirming: 2, permitted: false },
  { witnesses: 5, confirming: 2, permitted: false },
  { witnesses: 5, confirming: 3, permitted: true }
]

for (const { witnesses, confirming, permitted } of groups) {
  // TWICE: a leader went on for 8 s without the store, whoever had taken over.
  test(`witnesses: guards against the failure that a leader ${permitted ? 'stops' : 'goes on'} while ${confirming} of ${witnesses} confirm its term`, () => withLeader(async (leader) => {
    await leader.store(witnesses)
    leader.storeResponds = false
    leader.confirming = PEERS.slice(0, confirming)
    await leader.run(3_000)
    assert.equal(leader.witnesses.permitCommands(), permitted)
    leader.storeResponds = true
    assert.equal(leader.witnesses.permitCommands(), true, 'once the store responds')
  }))
}

const ends: ReadonlyArray<{ readonly guards: string, readonly callMs: number, readonly confirmedForMs: number, readonly maxMs: number }> = [
  { guards: 'the last renewal permits commands for too long', callMs: 5, confirmedForMs: 0, maxMs: RENEWAL_PERMITS_MS },
  { guards: 'a confirmation permits commands for too long', callMs: 5, confirmedForMs: 2_000, maxMs: 2_000 + CONFIRMATION_PERMITS_MS },
  { guards: 'a confirmation counts from its arrival', callMs: 600, confirmedForMs: 2_000, maxMs: 2_000 - 600 + CONFIRMATION_PERMITS_MS },
  { guards: 'a confirmation that arrives too late counts', callMs: 1_100, confirmedForMs: 4_000, maxMs: RENEWAL_PERMITS_MS }
]

for (const { guards, callMs, confirmedForMs, maxMs } of ends) {
  test(`witnesses: guards against the failure that ${guards}`, () => withLeader(async (leader) => {
    await leader.store(3)
    assert.equal(leader.witnesses.permitCommands(), true)
    leader.storeResponds = false
    leader.callMs = callMs
    const silentFrom = leader.time.nowMs
    await leader.run(confirmedForMs)
    leader.confirming = []
    while (leader.witnesses.permitCommands()) await leader.run(TICK_MS)
    const permittedMs = leader.time.nowMs - silentFrom
    assert.ok(permittedMs <= Math.max(confirmedForMs, maxMs) + TICK_MS, `permitted for ${permittedMs} ms`)
  }))
}

for (const witnesses of [0, 3]) {
  // TWICE: a busy process ran the timer that ends its term 0.9 s late, while a successor counts on its end.
  test(`witnesses: guards against the failure that a leader with ${witnesses} of them commands beyond its grace until a timer has run`, () => withLeader(async (leader) => {
    await leader.store(witnesses)
    leader.storeResponds = false
    await leader.run(LEASE_GRACE_MS - 2 * TICK_MS)
    assert.equal(leader.witnesses.permitCommands(), true)
    await leader.run(3 * TICK_MS)
    assert.equal(leader.witnesses.permitCommands(), false)
  }))
}

const changes: ReadonlyArray<{ readonly confirming: readonly string[], readonly stored: boolean, readonly permitted: boolean }> = [
  { confirming: ['m2', 'm3'], stored: false, permitted: false },
  { confirming: ['m2', 'm3', 'm4'], stored: false, permitted: true },
  { confirming: ['m1', 'm2', 'm3'], stored: false, permitted: false },
  { confirming: ['m2', 'm4', 'm5'], stored: false, permitted: false },
  { confirming: ['m2', 'm4', 'm5'], stored: true, permitted: true },
  { confirming: ['m1', 'm2', 'm3'], stored: true, permitted: false }
]

for (const { confirming, stored, permitted } of changes) {
  // A successor may read the witnesses of before until others are certainly stored, and the others as soon as they are sent.
  test(`witnesses: guards against the failure that a leader changes m1, m2, m3 to m2, m3, m4, m5 (${stored ? 'stored' : 'sent'}) and ${permitted ? 'stops' : 'goes on'} with ${confirming.join(', ')}`, () => withLeader(async (leader) => {
    await leader.store(3)
    leader.present = leader.confirming = PEERS.slice(1, 5)
    await leader.run(200)
    assert.deepEqual(leader.chosen.map((peers) => peers.map(({ member }) => member)), [['m1', 'm2', 'm3'], ['m2', 'm3', 'm4', 'm5']])
    if (stored) leader.witnesses.recordStored(leader.witnesses.toStore)
    leader.storeResponds = false
    leader.confirming = PEERS.filter(({ member }) => confirming.includes(member))
    await leader.run(3_000)
    assert.equal(leader.witnesses.permitCommands(), permitted)
  }))
}

test('witnesses: guards against the failure that a leader ends before it has asked those again that had not read its record yet', () => withLeader(async (leader) => {
  leader.present = PEERS.slice(0, 3)
  await leader.run(100)
  leader.confirming = leader.present
  await leader.run(400)
  assert.equal(leader.witnesses.toStore.length, 3)
}))

test('witnesses: guards against the failure that a commit of before, with the witnesses of before, counts as that with the others', () => withLeader(async (leader) => {
  await leader.store(3)
  const before = leader.witnesses.toStore
  leader.present = leader.confirming = PEERS.slice(3, 6)
  await leader.run(200)
  leader.witnesses.recordStored(before)
  leader.storeResponds = false
  await leader.run(3_000)
  assert.equal(leader.witnesses.permitCommands(), false)
}))

test('witnesses: guards against the failure that a member of an older release, which does not know the call, is chosen', () => withLeader(async (leader) => {
  leader.present = PEERS.slice(0, 3)
  leader.confirming = PEERS.slice(0, 1)
  await leader.run(3_000)
  assert.deepEqual(leader.witnesses.toStore.map(({ member }) => member), ['m1'])
}))

test('witnesses: guards against the failure that an outage of the store makes a leader call its witnesses without a bound', () => withLeader(async (leader) => {
  await leader.store(5)
  const { calls } = leader
  leader.storeResponds = false
  await leader.run(8_000)
  assert.ok(leader.calls - calls <= 8 * MAX_CALLS_PER_SECOND, `${leader.calls - calls} calls in 8 s`)
}))

test('witnesses: guards against the failure that members are asked again and again while the store responds', () => withLeader(async (leader) => {
  await leader.store(5)
  const { calls } = leader
  await leader.run(10_000)
  assert.equal(leader.calls, calls)
}))

// LOST: a successor waits for the whole grace of a leader without witnesses on record. TWICE: only those on record count.
test('witnesses: guards against the failure that those of the claim do not count, or are dropped before members have said hello', () => withTime(async (time) => {
  let chosen = 0
  let present: readonly Peer[] = []
  const witnesses = Witnesses.create({
    term: 2,
    self: { member: 'm0', address: 'm0:1' },
    claimed: PEERS.slice(0, 3),
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    getPeers: () => present,
    requestConfirmation: async () => false,
    getAloneUntil: () => performance.now() - (chosen === 0 ? 0 : RENEWAL_PERMITS_MS),
    onChosen: () => { chosen += 1 }
  })
  witnesses.update()
  await time.advance(4_900)
  witnesses.update()
  assert.deepEqual([witnesses.toStore, chosen], [PEERS.slice(0, 3), 0])
  present = [{ member: 'm1', address: 'm1:2' }]
  witnesses.update()
  await time.advance(50)
  witnesses.update()
  assert.deepEqual([witnesses.toStore, chosen], [PEERS.slice(1, 3), 1], 'one has moved')
  assert.equal(witnesses.permitCommands(), false)
}))
