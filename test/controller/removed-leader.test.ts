import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import { EarlierLeaders } from '../../src/controller/leadership/earlier-leaders.ts'
import { Leadership } from '../../src/controller/leadership/leadership.ts'
import type { LeaderRecord } from '../../src/controller/records/store-keys.ts'
import type { Store, StoreCall } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { VirtualTime } from './virtual-time.ts'

const REPORTER = { log: () => {}, count: () => {}, observe: () => {} }
const POLL_INTERVAL_MS = 10
const TIMEOUT_MS = 15_000

/** A client of the store that can be cut off; watches return at once. */
class Connection implements Store {
  isCut = false

  private constructor (private readonly time: VirtualTime, private readonly inner: InMemoryStore) {}

  static create (time: VirtualTime, inner: InMemoryStore): Connection {
    return new Connection(time, inner)
  }

  async call (call: StoreCall): ReturnType<Store['call']> {
    await this.time.wait(POLL_INTERVAL_MS)
    const response = this.isCut ? 'waiting' : this.inner.call(this.time.nowMs, call)
    return response === 'waiting' ? err({ reason: 'unavailable', verdict: 'not-applied' }) : ok(response)
  }
}

// A leader is cut off from the store, and refuses connections, so that its record is removed before its lease has expired.
test('removed leader: guards against the failure that a leader whose lease was ended early goes on after its successor takes it for stopped', async () => {
  const time = VirtualTime.install()
  try {
    const inner = InMemoryStore.create()
    const connections = [Connection.create(time, inner), Connection.create(time, inner)] as const
    const processes = [time.startProcess(), time.startProcess()] as const
    const records: LeaderRecord[] = []
    let lostAt: number | undefined
    let lapsedAt: number | undefined
    let earlier: EarlierLeaders | undefined
    time.runIn(processes[0], () => Leadership.create({ store: connections[0], member: 'm1', address: 'm1:1', cores: 2, reporter: REPORTER, onElected: () => { connections[0].isCut = true }, onLeadershipLost: () => { lostAt = time.nowMs } }))
    const successor = time.runIn(processes[1], () => Leadership.create({
      store: connections[1],
      member: 'm2',
      address: 'm2:1',
      cores: 0.1,
      reporter: REPORTER,
      onOtherLeader: (record) => { records.push(record) },
      onElected: (term) => {
        earlier = EarlierLeaders.create({ term, self: { member: 'm2', address: 'm2:1' }, reporter: REPORTER, requestStandDown: async () => undefined, standDown: () => successor.stepDownForTerm(term.term), isStopped: () => true })
      },
      onLeadershipLost: () => {}
    }))
    await time.advance(TIMEOUT_MS, () => records.length > 0)
    await time.runIn(processes[1], () => Promise.all([successor.removeEndedLeader(records[0]!), time.advance(TIMEOUT_MS, () => successor.isLeading)]))
    for (let waitedMs = 0; waitedMs < TIMEOUT_MS; waitedMs += POLL_INTERVAL_MS) {
      await time.advance(POLL_INTERVAL_MS)
      if (time.runIn(processes[1], () => earlier!.haveRunsLapsedBy(performance.now(), 0))) lapsedAt ??= time.nowMs
    }
    assert.ok(lostAt !== undefined && lapsedAt !== undefined && lostAt <= lapsedAt, `led until ${lostAt}, taken for stopped at ${lapsedAt}`)
  } finally {
    time.uninstall()
  }
})
