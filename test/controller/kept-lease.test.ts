import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err, ok } from 'neverthrow'
import { Leadership } from '../../src/controller/leadership/leadership.ts'
import type { LeaderRecord } from '../../src/controller/records/store-keys.ts'
import type { Store } from '../../src/ports/store.ts'
import { InMemoryStore } from '../../src/standins/store.ts'
import { VirtualTime } from './virtual-time.ts'

const REPORTER = { log: () => {}, count: () => {}, observe: () => {} }
const CALL_MS = 10
const TIMEOUT_MS = 15_000

// The store takes the end of a lease for the end of its record, so that there is no record without the lease nor the reverse.
const revocations = [
  { revocation: 'is applied and not answered', applied: true, wins: true },
  { revocation: 'is neither applied nor answered', applied: false, wins: false }
]

for (const { revocation, applied, wins } of revocations) {
  // TWICE: the record of a leader is removed, but not its lease, which it goes on renewing; its watch responds late.
  test(`kept lease: guards against the failure that a removed leader counts as certainly alone after its successor has won, if the end of its lease ${revocation}`, async () => {
    const time = VirtualTime.install()
    try {
      const inner = InMemoryStore.create()
      let removed = false
      const connect = (isRemover: boolean): Store => ({
        call: async (call) => {
          await time.wait(CALL_MS)
          if (isRemover && call.type === 'revoke-lease') {
            if (applied) inner.call(time.nowMs, call)
            return err({ reason: 'timeout', verdict: 'may-have-applied' })
          }
          if (!isRemover && removed && call.type === 'watch') return err({ reason: 'timeout', verdict: 'not-applied' })
          const response = inner.call(time.nowMs, call)
          return response === 'waiting' ? err({ reason: 'timeout', verdict: 'not-applied' }) : ok(response)
        }
      })
      const processes = [time.startProcess(), time.startProcess()] as const
      const records: LeaderRecord[] = []
      let wonAt: number | undefined
      const leader = time.runIn(processes[0], () => Leadership.create({ store: connect(false), member: 'm1', address: 'm1:1', cores: 2, reporter: REPORTER, onElected: () => {}, onLeadershipLost: () => {} }))
      const successor = time.runIn(processes[1], () => Leadership.create({ store: connect(true), member: 'm2', address: 'm2:1', cores: 0.1, reporter: REPORTER, onOtherLeader: (record) => { records.push(record) }, onElected: () => { wonAt = time.nowMs }, onLeadershipLost: () => {} }))
      await time.advance(TIMEOUT_MS, () => records.length > 0)
      removed = true
      await time.runIn(processes[1], () => Promise.all([successor.removeEndedLeader(records[0]!), time.advance(TIMEOUT_MS, () => successor.isLeading)]))
      await time.advance(2_000)
      const aloneUntil = time.runIn(processes[0], () => leader.aloneUntil)
      assert.equal(wonAt !== undefined, wins)
      assert.ok(wonAt === undefined || !(aloneUntil > wonAt), `certainly alone until ${aloneUntil}, its successor won at ${wonAt}`)
    } finally {
      time.uninstall()
    }
  })
}
