import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { ok } from 'neverthrow'
import { ApiServer } from '../../src/api/api-server.ts'
import { EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import { Callers } from '../../src/runtime/callers.ts'
import { KeyVerifier } from '../../src/util/key-verifier.ts'

const REQUEST = 'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'

async function createServer (): Promise<{ readonly server: ApiServer, readonly port: number }> {
  const server = ApiServer.create({
    callers: Callers.create(() => {}),
    keyVerifier: KeyVerifier.create(),
    getConfiguration: () => EMPTY_CONFIGURATION,
    isReady: () => true,
    isAlive: () => true,
    formatMetrics: () => '',
    readHistory: async () => ok([]),
    groups: 1,
    getOwner: () => undefined,
    bodyLimitBytes: 1_000,
    operatorKeyHash: ''
  })
  return { server, port: await server.listen('127.0.0.1', 0) }
}

async function openConnection (port: number): Promise<Socket> {
  const socket = connect(port, '127.0.0.1')
  await once(socket, 'connect')
  return socket
}

async function exchange (socket: Socket): Promise<string> {
  const received = once(socket, 'data') as Promise<[Buffer]>
  socket.write(REQUEST)
  const ended = once(socket, 'close').then(() => 'closed without a response', (error: unknown) => String(error))
  return Promise.race([received.then(([bytes]) => bytes.toString()), ended])
}

const connections = [
  { guards: 'on an idle connection', prepare: async (socket: Socket) => { await exchange(socket) } },
  { guards: 'on a new connection', prepare: async () => { await wait(20) } }
]

for (const { guards, prepare } of connections) {
  test(`API server: a request that is sent ${guards} while the server closes is answered and ends the connection`, async () => {
    const { server, port } = await createServer()
    const socket = await openConnection(port)
    await prepare(socket)
    const closed = server.close()
    const response = await exchange(socket)
    assert.match(response, /^HTTP\/1.1 200/)
    assert.match(response, /connection: close/i)
    await closed
  })
}

test('API server: while it drains, each response closes its connection and new connections are accepted', async () => {
  const { server, port } = await createServer()
  server.startDraining()
  for (let attempt = 0; attempt < 2; attempt += 1) {
    const socket = await openConnection(port)
    assert.match(await exchange(socket), /connection: close/i)
  }
  await server.close()
})

test('API server: idle connections do not keep it from closing', async () => {
  const { server, port } = await createServer()
  const socket = await openConnection(port)
  await exchange(socket)
  const startedAt = performance.now()
  await server.close()
  assert.ok(performance.now() - startedAt < 2_000)
})

// A caller had opened a connection in advance: the server waited for its first request until the timeout of headers.
test('API server: guards against the failure that a connection without a request keeps it from closing', async () => {
  const { server, port } = await createServer()
  await openConnection(port)
  await wait(20)
  const startedAt = performance.now()
  await server.close()
  assert.ok(performance.now() - startedAt < 2_000)
})

// A planned replacement: the member closed its port, and a request on a connection that it had not accepted yet was reset.
test('API server: a request on a connection that is not accepted yet when the server closes is answered', async () => {
  const { server, port } = await createServer()
  const socket = connect(port, '127.0.0.1')
  let closed: Promise<void> | undefined
  // The connection is established in the next tick, and accepted when the event loop polls.
  process.nextTick(() => { closed = server.close() })
  assert.match(await exchange(socket), /^HTTP\/1.1 200/)
  await closed
})

// A planned replacement: the member closed its idle connections, and a request that it had not read yet was reset.
test('API server: a request that is not read yet when the server closes its idle connections is answered', async () => {
  const { server, port } = await createServer()
  const socket = await openConnection(port)
  await exchange(socket)
  const closed = server.close()
  await wait(200)
  // After immediates the event loop runs the timers that are due, and reads only then.
  const response = await new Promise<string>((resolve, reject) => setImmediate(() => {
    exchange(socket).then(resolve, reject)
    waitBusily(200)
  }))
  assert.match(response, /^HTTP\/1.1 200/)
  await closed
})

const unfinished = [
  { guards: 'headers that do not end', text: 'GET /healthz HTTP/1.1\r\nHo' },
  { guards: 'a body that does not end', text: 'POST /v1/jobs HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab' },
  { guards: 'pipelined requests whose responses are not read', text: REQUEST.repeat(50_000) }
]

for (const { guards, text } of unfinished) {
  test(`API server: guards against the failure that ${guards} keep it from closing`, async () => {
    const { server, port } = await createServer()
    const socket = await openConnection(port)
    socket.on('error', () => {})
    socket.write(text)
    await wait(100)
    await server.close()
    socket.destroy()
  })
}

/** Keeps the event loop from reading, as a long computation does. */
function waitBusily (durationMs: number): void {
  const endsAt = performance.now() + durationMs
  while (performance.now() < endsAt);
}
