import assert from 'node:assert/strict'
import { createServer as createHttpServer } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { ok } from 'neverthrow'
import type { Dispatcher } from 'undici'
import { HttpClient } from '../../platform/http-client.ts'
import { HttpExchange } from '../../platform/http-exchange.ts'

const TIMEOUT_MS = 300
const RESPONSE_DELAY_MS = 200
/** Where no timeout is expected; a busy machine may take more than the other one for the connection alone. */
const AMPLE_TIMEOUT_MS = 10_000
const BUSY_MS = 5

type ServerCase = { readonly scenario: string, readonly onRequest: (socket: Socket) => void, readonly expected: unknown, readonly timeoutMs?: number, readonly maxBodyBytes?: number }

function formatResponse (text: string, contentLength = Buffer.byteLength(text)): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${contentLength}\r\n\r\n${text}`
}

const serverCases: readonly ServerCase[] = [
  { scenario: 'decodes a complete response', onRequest: (socket) => socket.write(formatResponse('{"a":1}')), expected: { status: 200, body: { a: 1 } } },
  { scenario: 'joins a response that arrives in two parts', onRequest: (socket) => { socket.write(formatResponse('{"a"', 7)); setTimeout(() => socket.write(':1}'), 20) }, expected: { status: 200, body: { a: 1 } } },
  { scenario: 'reports a request without a response as sent', onRequest: () => {}, expected: { reason: 'timeout', sent: true }, timeoutMs: TIMEOUT_MS },
  { scenario: 'reports a request with a truncated response as sent', onRequest: (socket) => { socket.end(formatResponse('{"a"', 7)) }, expected: { reason: 'broken', sent: true } },
  { scenario: 'reports a request with an invalid JSON response as sent', onRequest: (socket) => socket.write(formatResponse('{"a"')), expected: { reason: 'malformed', sent: true } },
  { scenario: 'accepts a response as long as its limit', onRequest: (socket) => socket.write(formatResponse('{"a":1}')), expected: { status: 200, body: { a: 1 } }, maxBodyBytes: 7 },
  { scenario: 'guards against the failure that a response of any length is held in memory', onRequest: (socket) => socket.write(formatResponse('{"a":12}')), expected: { reason: 'too-large', sent: true }, maxBodyBytes: 7 },
  { scenario: 'reports a request on a connection that was reset as sent', onRequest: (socket) => { socket.resetAndDestroy() }, expected: { reason: 'broken', sent: true } }
]

for (const { scenario, onRequest, expected, timeoutMs = AMPLE_TIMEOUT_MS, maxBodyBytes } of serverCases) {
  test(`http client: ${scenario}`, async () => {
    const sockets = new Set<Socket>()
    const server = createServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.once('data', () => onRequest(socket))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const client = HttpClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
    try {
      const result = await client.send({ method: 'POST', path: '/a', body: {}, timeoutMs, ...maxBodyBytes !== undefined && { maxBodyBytes } })
      assert.deepEqual(result.isOk() ? result.value : result.error, expected)
    } finally {
      client.close()
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  })
}

test('http client: a request that timed out while it waited for a connection is reported as not sent, and is not sent later', async () => {
  let requests = 0
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', () => {
      requests += 1
      if (requests === 1) setTimeout(() => socket.write(formatResponse('{}')), 2 * TIMEOUT_MS)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const client = HttpClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
  const first = client.send({ method: 'POST', path: '/first', body: {}, timeoutMs: 4 * TIMEOUT_MS })
  const second = await client.send({ method: 'POST', path: '/second', body: {}, timeoutMs: TIMEOUT_MS })
  assert.deepEqual(second._unsafeUnwrapErr(), { reason: 'timeout', sent: false })
  assert.ok((await first).isOk())
  await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS))
  assert.equal(requests, 1)
  client.close()
  for (const socket of sockets) socket.destroy()
  server.close()
})

// Behind a busy leader most requests time out in the queue: each closed the connection that became free for it, and the
// next request had to open another, until the leader did little else.
test('http client: guards against the failure that requests which timed out while they waited close the connection that the next one needs', async () => {
  const sockets: Socket[] = []
  let requests = 0
  const server = createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.on('data', () => {
      requests += 1
      setTimeout(() => socket.write(formatResponse('{}')), requests === 1 ? 2 * TIMEOUT_MS : 0)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const client = HttpClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
  const send = (path: string, timeoutMs: number): ReturnType<HttpClient['send']> => client.send({ method: 'POST', path, body: {}, timeoutMs })
  const first = send('/first', 4 * TIMEOUT_MS)
  // The later one is in the queue of the same connection; it shows that the connection is still used.
  const [waiting, last] = [send('/waiting', TIMEOUT_MS), send('/last', 8 * TIMEOUT_MS)]
  assert.deepEqual((await waiting)._unsafeUnwrapErr(), { reason: 'timeout', sent: false })
  assert.ok((await first).isOk())
  assert.ok((await last).isOk())
  assert.equal(requests, 2)
  assert.equal(sockets.length, 1)
  client.close()
  for (const socket of sockets) socket.destroy()
  server.close()
})

test('http client: a request to a port without a listener is reported as not sent', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  const client = HttpClient.create(`127.0.0.1:${port}`, 1)
  const result = await client.send({ method: 'POST', path: '/a', body: {}, timeoutMs: TIMEOUT_MS })
  assert.deepEqual(result._unsafeUnwrapErr(), { reason: 'no-listener', sent: false })
  client.close()
})

test('http exchange: a response that arrived while the process was busy is accepted although the timeout has passed', async () => {
  const exchange = HttpExchange.create(0)
  const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController
  exchange.onRequestStart(controller)
  // Timers run before sockets are read, so the response is read after the timeout in the same turn of the event loop.
  setTimeout(() => {
    exchange.onResponseStart(controller, 200)
    exchange.onResponseEnd()
  }, 0)
  stayBusy(BUSY_MS)
  assert.deepEqual(await exchange.outcome, { type: 'answered', response: { status: 200, body: undefined } })
})

/** Keeps the process busy until both timers of the test are due in one turn of the event loop. */
function stayBusy (durationMs: number): void {
  const until = performance.now() + durationMs
  while (performance.now() < until);
}

// The host became unreachable after a request had been written: the request was reported as not sent, and so as never to run.
test('http exchange: guards against the failure that a request on an open connection to a host that becomes unreachable is reported as not sent', async () => {
  const exchange = HttpExchange.create(TIMEOUT_MS)
  const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController
  exchange.onRequestStart(controller)
  exchange.onResponseError(controller, Object.assign(new Error('read EHOSTUNREACH'), { code: 'EHOSTUNREACH' }))
  assert.deepEqual(await exchange.outcome, { type: 'failed', failure: { reason: 'broken', sent: true } })
})

// Found by reading: a write that may have taken effect is reported as one that has not, so that its sender repeats it.
test('http exchange: guards against the failure that a written request whose connection is opened anew and refused is reported as not sent', async () => {
  const exchange = HttpExchange.create(TIMEOUT_MS)
  const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController
  exchange.onRequestStart(controller)
  exchange.onResponseError(controller, Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' }))
  assert.deepEqual(await exchange.outcome, { type: 'failed', failure: { reason: 'no-listener', sent: true } })
})

// A process that was paused with a command in its queue got a free connection before its timers ran, and sent the command.
test('http exchange: guards against the failure that a request which waited for a connection during a pause of the process is sent after its timeout', async () => {
  let pausedMs = 0
  const exchange = HttpExchange.create(TIMEOUT_MS, { clocks: { monotonic: () => 0, timeOfDay: () => pausedMs } })
  pausedMs = 5_000
  assert.throws(() => exchange.onRequestStart({} as Dispatcher.DispatchController), { name: 'AbortError' })
  assert.deepEqual(await exchange.outcome, { type: 'failed', failure: { reason: 'timeout', sent: false } })
})

// TWICE: a start waited for a connection behind others to a silent worker, and reached the next life of the worker on a new one.
test('http client: guards against the failure that a request is written to a connection although it may not be sent there', async () => {
  const received: string[] = []
  const server = createHttpServer((request, response) => {
    received.push(request.url ?? '')
    setTimeout(() => response.end('{}'), RESPONSE_DELAY_MS)
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const client = HttpClient.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 2)
  try {
    assert.equal(client.connectedAt, -Infinity)
    assert.ok((await client.send({ method: 'POST', path: '/first', timeoutMs: AMPLE_TIMEOUT_MS })).isOk())
    // The pool uses a connection again in a later turn of the event loop.
    await wait(RESPONSE_DELAY_MS)
    const askedAt = performance.now()
    const mayBeSent = (): boolean => client.connectedAt < askedAt
    const send = (path: string): ReturnType<HttpClient['send']> => client.send({ method: 'POST', path, timeoutMs: AMPLE_TIMEOUT_MS, mayBeSent })
    const onOpen = send('/open')
    await wait(RESPONSE_DELAY_MS / 2)
    const onNew = send('/new')
    assert.deepEqual((await onOpen).map(({ status }) => status), ok(200))
    assert.deepEqual((await onNew)._unsafeUnwrapErr(), { reason: 'withheld', sent: false })
    assert.deepEqual(received, ['/first', '/open'])
    assert.ok(client.connectedAt > askedAt)
  } finally {
    client.close()
    server.close()
    server.closeAllConnections()
  }
})
