import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpPool } from '../../src/adapters/http-pool.ts'
import type { HttpPoolOptions } from '../../src/adapters/http-pool.ts'
import { StandinServer } from '../../src/standins/http-server.ts'
import { PATIENT_MS, counting, eventually } from './harness.ts'
import { refusedAddress } from './raw-server.ts'

type Setup = { readonly pool: HttpPool, readonly server: StandinServer, readonly counted: Record<string, number>, readonly hold: (ms: number, timeoutMs?: number) => ReturnType<HttpPool['call']> }

/** `hold` makes a call that the server answers after this time. */
async function withPool (options: Omit<HttpPoolOptions, 'origin' | 'count'>, run: (setup: Setup) => Promise<void>): Promise<void> {
  const server = await StandinServer.listen({ call: async (body) => ({ status: 200, body: await sleep((body as { ms: number }).ms, {}) }) })
  const { counted, count } = counting()
  const pool = HttpPool.create({ ...options, origin: server.address, count })
  const hold: Setup['hold'] = (ms, timeoutMs = PATIENT_MS) => pool.call({ method: 'POST', path: '/v1/call', body: JSON.stringify({ ms }) }, timeoutMs)
  await run({ pool, server, counted, hold }).finally(() => {
    pool.close()
    return server.close()
  })
}

test('after one timeout every silent connection is replaced, so that only one call is lost', () => {
  return withPool({ connections: 4 }, async ({ server, counted, hold }) => {
    const four = () => Promise.all([1, 2, 3, 4].map(() => hold(100)))
    await four()
    assert.equal(server.connections, 4)
    server.silenceConnections()
    assert.deepEqual((await hold(0, 200))._unsafeUnwrapErr(), { reason: 'timeout', sent: true })
    assert.equal(await eventually(async () => counted['replaced'], (replaced) => replaced === 3), 3)
    assert.deepEqual((await four()).map((answer) => answer.isOk()), [true, true, true, true])
    assert.deepEqual(counted, { timeout: 1, replaced: 3 })
  })
})

test('a busy connection that is replaced still delivers its answer', () => {
  return withPool({ connections: 2 }, async ({ server, counted, hold }) => {
    await Promise.all([hold(100), hold(100)])
    const slow = hold(600)
    assert.equal((await hold(400, 100))._unsafeUnwrapErr().reason, 'timeout')
    assert.equal(await eventually(async () => counted['replaced'], (replaced) => replaced === 1), 1)
    assert.equal((await slow).isOk(), true)
    assert.ok(await eventually(async () => server.connections, (open) => open <= 2) <= 2)
  })
})

test('a probe without an answer replaces nothing and does not condemn the peer', () => {
  return withPool({ connections: 2, probeTimeoutMs: 100 }, async ({ server, counted, hold }) => {
    await Promise.all([hold(100), hold(100)])
    server.faults.set({ outage: 'hang' })
    await hold(0, 100)
    assert.equal(await eventually(async () => counted['probe-failed'], (failed) => failed === 1), 1)
    server.faults.clear()
    assert.equal((await hold(0)).isOk(), true)
    assert.equal(counted['replaced'], undefined)
  })
})

test('a call that times out while it waits for a connection, or is refused one, was certainly not sent', () => {
  return withPool({ connections: 1 }, async ({ hold }) => {
    const holding = hold(400)
    assert.deepEqual((await hold(0, 50))._unsafeUnwrapErr(), { reason: 'timeout', sent: false })
    assert.equal((await holding).isOk(), true)
    const refused = HttpPool.create({ origin: `http://${await refusedAddress()}` })
    assert.deepEqual((await refused.call({ method: 'GET', path: '/' }, PATIENT_MS))._unsafeUnwrapErr(), { reason: 'unavailable', sent: false })
    refused.close()
  })
})

test('calls beyond the number of connections wait and are all answered', () => {
  return withPool({ connections: 3 }, async ({ server, hold }) => {
    const answers = await Promise.all(Array.from({ length: 30 }, () => hold(5)))
    assert.equal(answers.every((answer) => answer.isOk()), true)
    assert.equal(server.connections, 3)
  })
})

test('calls on a closed pool end', () => {
  return withPool({ connections: 1 }, async ({ pool, hold }) => {
    const pending = [hold(500), hold(0)]
    await sleep(50)
    pool.close()
    const results = await Promise.all([...pending, hold(0)])
    assert.deepEqual(results.map((result) => result.isErr()), [true, true, true])
  })
})
