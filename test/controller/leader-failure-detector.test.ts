import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'
import type { ProbeResult } from '../../src/adapters/probe-address.ts'
import { probeAddress } from '../../src/adapters/probe-address.ts'
import { LeaderFailureDetector } from '../../src/controller/leadership/leader-failure-detector.ts'

const LEADER = { member: 'm2', address: 'm2:1', term: 1, nonce: 'n1' }

function createDetector (probed: ProbeResult, confirmed: boolean): { readonly detector: LeaderFailureDetector, readonly removed: string[], readonly probeCount: () => number, advanceClock: (ms: number) => void } {
  const removed: string[] = []
  let probes = 0
  let now = 10_000
  const detector = LeaderFailureDetector.create({
    probe: async () => {
      probes += 1
      return probed
    },
    confirm: async () => confirmed,
    remove: async ({ nonce }) => { removed.push(nonce) },
    reporter: { log: () => {}, count: () => {}, observe: () => {} },
    now: () => now
  })
  return { detector, removed, probeCount: () => probes, advanceClock: (ms) => { now += ms } }
}

async function waitForCheck (): Promise<void> {
  for (let index = 0; index < 10; index += 1) await nextTurn()
}

const verdicts: ReadonlyArray<{ readonly guards: string, readonly probed: ProbeResult, readonly confirmed: boolean, readonly removed: readonly string[] }> = [
  { guards: 'a leader whose process has ended is removed', probed: 'refused', confirmed: true, removed: ['n1'] },
  { guards: 'a leader that only this member cannot reach is not removed', probed: 'refused', confirmed: false, removed: [] },
  { guards: 'a leader on a host that is disconnected from the network is not removed', probed: 'silent', confirmed: true, removed: [] },
  { guards: 'a leader that lost a connection is not removed', probed: 'listening', confirmed: true, removed: [] }
]

for (const { guards, probed, confirmed, removed: expected } of verdicts) {
  test(`leader failure detector: ${guards}`, async () => {
    const { detector, removed } = createDetector(probed, confirmed)
    detector.suspect(LEADER)
    await waitForCheck()
    assert.deepEqual(removed, expected)
  })
}

test('leader failure detector: many failed calls at the same time cause one check', async () => {
  const { detector, probeCount } = createDetector('listening', true)
  for (let index = 0; index < 20; index += 1) detector.suspect(LEADER)
  await waitForCheck()
  assert.equal(probeCount(), 1)
})

test('leader failure detector: a member with broken network connections does not remove one leader after another', async () => {
  const { detector, removed, advanceClock } = createDetector('refused', true)
  detector.suspect(LEADER)
  await waitForCheck()
  advanceClock(1_000)
  detector.suspect({ ...LEADER, nonce: 'n2', term: 2 })
  await waitForCheck()
  assert.deepEqual(removed, ['n1'])
  advanceClock(5_000)
  detector.suspect({ ...LEADER, nonce: 'n3', term: 3 })
  await waitForCheck()
  assert.deepEqual(removed, ['n1', 'n3'])
})

test('probe: a port with a listener is distinguished from a port without one', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  assert.equal(await probeAddress(address), 'listening')
  await new Promise((resolve) => server.close(resolve))
  assert.equal(await probeAddress(address), 'refused')
})
