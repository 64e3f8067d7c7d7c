import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as sleep } from 'node:timers/promises'
import { HttpPool } from '../../src/adapters/http-pool.ts'
import type { HttpPoolOptions } from '../../src/adapters/http-pool.ts'
import { StandinServer } from '../../src/standins/http-server.ts'
import { LONG_TIMEOUT_MS, createCounter, pollUntil } from './harness.ts'
import { createRefusedAddress } from './raw-server.ts'

type Setup = { readonly pool: HttpPool, readonly server: StandinServer, readonly counted: Record<string, number>, readonly callWithDelay: (ms: number, timeoutMs?: number) => ReturnType<HttpPool['call']> }

/** `callWithDelay` sends a call that the server responds to after `ms`. */
async function withPool (options: Omit<HttpPoolOptions, 'origin' | 'count'>, run: (setup: Setup) => Promise<void>): Promise<void> {
  const server = await StandinServer.listen({ call: async (body) => ({ status: 200, body: await sleep((body as { ms: number }).ms, {}) }) })
  const { counted, count } = createCounter()
  const pool = HttpPool.create({ ...options, origin: server.address, count })
  const callWithDelay: Setup['callWithDelay'] = (ms, timeoutMs = LONG_TIMEOUT_MS) => pool.call({ method: 'POST', path: '/v1/call', body: JSON.stringify({ ms }) }, timeoutMs)
  await run({ pool, server, counted, callWithDelay }).finally(() => {
    pool.close()
    return server.close()
  })
}

test('after one timeout all unresponsive connections are replaced, so that only one call fails', () => {
  return withPool({ maxConnections: 4 }, async ({ server, counted, callWithDelay }) => {
    const four = () => Promise.all([1, 2, 3, 4].map(() => callWithDelay(100)))
    await four()
    assert.equal(server.connections, 4)
    server.silenceConnections()
    assert.deepEqual((await callWithDelay(0, 200))._unsafeUnwrapErr(), { reason: 'timeout', sent: true })
    assert.equal(await pollUntil(async () => counted['replaced'], (replaced) => replaced === 3), 3)
    assert.deepEqual((await four()).map((response) => response.isOk()), [true, true, true, true])
    assert.deepEqual(counted, { timeout: 1, replaced: 3 })
  })
})

test('a busy connection that is replaced still delivers its response', () => {
  return withPool({ maxConnections: 2 }, async ({ server, counted, callWithDelay }) => {
    await Promise.all([callWithDelay(100), callWithDelay(100)])
    const slow = callWithDelay(600)
    assert.equal((await callWithDelay(400, 100))._unsafeUnwrapErr().reason, 'timeout')
    assert.equal(await pollUntil(async () => counted['replaced'], (replaced) => replaced === 1), 1)
    assert.equal((await slow).isOk(), true)
    assert.ok(await pollUntil(async () => server.connections, (open) => open <= 2) <= 2)
  })
})

test('a probe without a response replaces no connection, and later calls reach the peer', () => {
  return withPool({ maxConnections: 2, probeTimeoutMs: 100 }, async ({ server, counted, callWithDelay }) => {
    await Promise.all([callWithDelay(100), callWithDelay(100)])
    server.faults.set({ outage: 'hang' })
    await callWithDelay(0, 100)
    assert.equal(await pollUntil(async () => counted['probe-failed'], (failed) => failed === 1), 1)
    server.faults.clear()
    assert.equal((await callWithDelay(0)).isOk(), true)
    assert.equal(counted['replaced'], undefined)
  })
})

test('a call that times out while it waits for a connection, or whose connection is refused, is reported as not sent', () => {
  return withPool({ maxConnections: 1 }, async ({ callWithDelay }) => {
    const holding = callWithDelay(400)
    assert.deepEqual((await callWithDelay(0, 50))._unsafeUnwrapErr(), { reason: 'timeout', sent: false })
    assert.equal((await holding).isOk(), true)
    const refused = HttpPool.create({ origin: `http://${await createRefusedAddress()}` })
    assert.deepEqual((await refused.call({ method: 'GET', path: '/' }, LONG_TIMEOUT_MS))._unsafeUnwrapErr(), { reason: 'unavailable', sent: false })
    refused.close()
  })
})

test('calls beyond the connection limit wait, and all of them get a response', () => {
  return withPool({ maxConnections: 3 }, async ({ server, callWithDelay }) => {
    const responses = await Promise.all(Array.from({ length: 30 }, () => callWithDelay(5)))
    assert.equal(responses.every((response) => response.isOk()), true)
    assert.equal(server.connections, 3)
  })
})

test('pending and later calls on a closed pool fail instead of hanging', () => {
  return withPool({ maxConnections: 1 }, async ({ pool, callWithDelay }) => {
    const pending = [callWithDelay(500), callWithDelay(0)]
    await sleep(50)
    pool.close()
    const results = await Promise.all([...pending, callWithDelay(0)])
    assert.deepEqual(results.map((result) => result.isErr()), [true, true, true])
  })
})
