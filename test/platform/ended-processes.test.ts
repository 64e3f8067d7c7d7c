import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { listFurtherPorts, parseSettings } from '../../platform/settings.ts'
import type { PlatformSettings } from '../../platform/settings.ts'
import { probeAddress } from '../../src/adapters/probe-address.ts'
import { COMMIT_KEY, LEADER_KEY, TARGETS_KEY } from '../../src/controller/records/store-keys.ts'
import type { CommitRecord } from '../../src/controller/records/store-keys.ts'
import { MemberProcess } from './process-harness.ts'
import { DEFAULT_FEATURES } from '../../src/settings/index.ts'

const OCTET = process.pid % 30
const METRICS_PORT = 9_464
const POLL_INTERVAL_MS = 10
const TIMEOUT_MS = 30_000
/** Less than the grace of a leader that does not respond. */
const MAX_SETTLE_MS = 6_000

function readSettings ({ settingsPath }: MemberProcess): PlatformSettings {
  return parseSettings(readFileSync(settingsPath, 'utf8'))._unsafeUnwrap()
}

/** Whether every port of the member refuses connections, so that others take its process for ended. */
async function hasNoListener (settings: PlatformSettings): Promise<boolean> {
  const { host, port } = settings.members
  const results = await Promise.all([port, ...listFurtherPorts(settings, METRICS_PORT)].map((each) => probeAddress(`${host}:${each}`)))
  return results.every((result) => result === 'refused')
}

async function waitUntil (description: string, condition: () => boolean): Promise<void> {
  const deadline = performance.now() + TIMEOUT_MS
  while (!condition()) {
    if (performance.now() > deadline) assert.fail(`not fulfilled within ${TIMEOUT_MS} ms: ${description}`)
    await wait(POLL_INTERVAL_MS)
  }
}

// TWICE: others start the tasks of a leader again once it has no listener; it must not lead then, at its start nor at its end.
test('platform member: guards against the failure that a member leads without a listener, so that others take its process for ended', async () => {
  const member = await MemberProcess.start(OCTET)
  try {
    const settings = readSettings(member)
    let leadsUnheard = false
    const ended = new AbortController()
    const watch = async (): Promise<void> => {
      while (!ended.signal.aborted) {
        const led = member.kv.read(LEADER_KEY) !== undefined
        if (await hasNoListener(settings) && led && member.kv.read(LEADER_KEY) !== undefined) leadsUnheard = true
        await wait(POLL_INTERVAL_MS)
      }
    }
    const watching = watch()
    await waitUntil('the member leads', () => member.kv.read(LEADER_KEY) !== undefined)
    await wait(200)
    member.process.signal('SIGTERM')
    await waitUntil('the member has resigned', () => member.kv.read(LEADER_KEY) === undefined)
    assert.equal(await hasNoListener(settings), false, 'it has a listener after it has resigned')
    assert.equal(await probeAddress(`${settings.callers.host}:${settings.callers.port}`), 'listening', 'it resigns before it closes the port for callers')
    assert.equal(await member.process.waitForExit(), 0)
    ended.abort()
    await watching
    assert.equal(leadsUnheard, false)
    assert.equal(await hasNoListener(settings), true)
  } finally {
    await member.close()
  }
})

// LOST: a leader that had crashed and did not come back at its address was waited for 8 s, and so by each that followed.
test('platform member: guards against the failure that the process of an earlier leader is waited for although its host shows that it has ended', async () => {
  const member = await MemberProcess.start(OCTET)
  try {
    const settings = readSettings(member)
    // Nothing listens at the next address of the loopback network.
    const earlier = { member: 'm0', address: settings.members.host.replace(/\.\d+$/, '.3') + `:${settings.members.port}` }
    member.kv.put(COMMIT_KEY, JSON.stringify({ term: 1, nonce: 'n-1', leader: earlier } satisfies CommitRecord))
    member.kv.put(TARGETS_KEY, JSON.stringify({ ids: ['target-out-of-reach'] }))
    const readCommit = (): CommitRecord => JSON.parse(member.kv.read(COMMIT_KEY)!) as CommitRecord
    await waitUntil('the member leads', () => readCommit().term === 2)
    const ledAt = performance.now()
    await waitUntil('the term before is settled', () => readCommit().unsettled?.length === 0)
    assert.ok(performance.now() - ledAt < MAX_SETTLE_MS, `settled after ${Math.round(performance.now() - ledAt)} ms`)
  } finally {
    await member.close()
  }
})

const listeners: ReadonlyArray<{ readonly shows: string, readonly changes: Partial<PlatformSettings>, readonly ports: readonly number[] }> = [
  { shows: 'all listeners are on one host', changes: {}, ports: [METRICS_PORT, 8_184, 8_183] },
  { shows: 'callers are served at another address', changes: { callers: { host: '10.2.0.17', port: 8_183 } }, ports: [] },
  { shows: 'the readiness check is at another address', changes: { readiness: { host: '127.0.0.1', port: 8_184 } }, ports: [] }
]

// A port of another address says nothing about the process that listens for members.
for (const { shows, changes, ports } of listeners) {
  test(`platform settings: guards against the failure that a port is probed where no member listens: ${shows}`, () => {
    const host = '10.1.0.17'
    const settings: PlatformSettings = { member: 'm1', failureDomain: 'east', callers: { host, port: 8_183 }, readiness: { host, port: 8_184 }, members: { host, port: 7_420 }, storeAddress: '10.1.0.2:8182', advisorAddress: undefined, longestLeaseMs: 6_000, cores: 1, graceMs: 6_000, resources: {}, features: DEFAULT_FEATURES, ...changes }
    assert.deepEqual(listFurtherPorts(settings, METRICS_PORT), ports)
  })
}
