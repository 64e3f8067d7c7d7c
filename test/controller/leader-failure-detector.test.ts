import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { test } from 'node:test'
import { setImmediate as turn } from 'node:timers/promises'
import type { ProbeResult } from '../../src/adapters/probe-address.ts'
import { probeAddress } from '../../src/adapters/probe-address.ts'
import { LeaderFailureDetector } from '../../src/controller/leader-failure-detector.ts'

const LEADER = { member: 'm2', address: 'm2:1', term: 1, nonce: 'n1' }

function detectorOf (probed: ProbeResult, confirmed: boolean): { readonly detector: LeaderFailureDetector, readonly removed: string[], readonly probes: () => number, pass: (ms: number) => void } {
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
    report: { log: () => {}, count: () => {}, observe: () => {} },
    now: () => now
  })
  return { detector, removed, probes: () => probes, pass: (ms) => { now += ms } }
}

async function settled (): Promise<void> {
  for (let index = 0; index < 10; index += 1) await turn()
}

const verdicts: ReadonlyArray<{ readonly guards: string, readonly probed: ProbeResult, readonly confirmed: boolean, readonly removed: readonly string[] }> = [
  { guards: 'a leader whose process has ended is removed', probed: 'refused', confirmed: true, removed: ['n1'] },
  { guards: 'a leader that only this member cannot reach stays', probed: 'refused', confirmed: false, removed: [] },
  { guards: 'a leader on a host that is cut off keeps its lease', probed: 'silent', confirmed: true, removed: [] },
  { guards: 'a leader that lost a connection stays', probed: 'listening', confirmed: true, removed: [] }
]

for (const { guards, probed, confirmed, removed: expected } of verdicts) {
  test(`leader failure detector: ${guards}`, async () => {
    const { detector, removed } = detectorOf(probed, confirmed)
    detector.suspect(LEADER)
    await settled()
    assert.deepEqual(removed, expected)
  })
}

test('leader failure detector: many failed calls at a time lead to one check', async () => {
  const { detector, probes } = detectorOf('listening', true)
  for (let index = 0; index < 20; index += 1) detector.suspect(LEADER)
  await settled()
  assert.equal(probes(), 1)
})

test('leader failure detector: a member with broken links does not remove one leader after another', async () => {
  const { detector, removed, pass } = detectorOf('refused', true)
  detector.suspect(LEADER)
  await settled()
  pass(1_000)
  detector.suspect({ ...LEADER, nonce: 'n2', term: 2 })
  await settled()
  assert.deepEqual(removed, ['n1'])
  pass(5_000)
  detector.suspect({ ...LEADER, nonce: 'n3', term: 3 })
  await settled()
  assert.deepEqual(removed, ['n1', 'n3'])
})

test('probe: a port with a listener is told from one without', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  assert.equal(await probeAddress(address), 'listening')
  await new Promise((resolve) => server.close(resolve))
  assert.equal(await probeAddress(address), 'refused')
})
