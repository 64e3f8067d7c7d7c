import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import type { Dispatcher } from 'undici'
import { HttpCaller } from '../../platform/http-caller.ts'
import { HttpExchange } from '../../platform/http-exchange.ts'

const TIMEOUT_MS = 300

type Behaviour = { readonly guards: string, readonly onRequest: (socket: Socket) => void, readonly expected: unknown }

function reply (text: string, length = Buffer.byteLength(text)): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${length}\r\n\r\n${text}`
}

const behaviours: readonly Behaviour[] = [
  { guards: 'a whole answer is decoded', onRequest: (socket) => socket.write(reply('{"a":1}')), expected: { status: 200, body: { a: 1 } } },
  { guards: 'an answer in two parts is put together', onRequest: (socket) => { socket.write(reply('{"a"', 7)); setTimeout(() => socket.write(':1}'), 20) }, expected: { status: 200, body: { a: 1 } } },
  { guards: 'a silent peer may have run the request', onRequest: () => {}, expected: { reason: 'timeout', sent: true } },
  { guards: 'half an answer may have run', onRequest: (socket) => { socket.end(reply('{"a"', 7)) }, expected: { reason: 'broken', sent: true } },
  { guards: 'an answer that is no JSON may have run', onRequest: (socket) => socket.write(reply('{"a"')), expected: { reason: 'malformed', sent: true } },
  { guards: 'a reset connection may have run', onRequest: (socket) => { socket.resetAndDestroy() }, expected: { reason: 'broken', sent: true } }
]

for (const { guards, onRequest, expected } of behaviours) {
  test(`http caller: ${guards}`, async () => {
    const sockets = new Set<Socket>()
    const server = createServer((socket) => {
      sockets.add(socket)
      socket.on('error', () => {})
      socket.once('data', () => onRequest(socket))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const caller = HttpCaller.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
    const result = await caller.call({ method: 'POST', path: '/a', body: {}, timeoutMs: TIMEOUT_MS })
    assert.deepEqual(result.isOk() ? result.value : result.error, expected)
    caller.close()
    for (const socket of sockets) socket.destroy()
    server.close()
  })
}

test('http caller: a request that was given up while it waited for a connection is known not to have been sent, and is not sent later', async () => {
  let requests = 0
  const sockets = new Set<Socket>()
  const server = createServer((socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('data', () => {
      requests += 1
      if (requests === 1) setTimeout(() => socket.write(reply('{}')), 2 * TIMEOUT_MS)
    })
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const caller = HttpCaller.create(`127.0.0.1:${(server.address() as AddressInfo).port}`, 1)
  const first = caller.call({ method: 'POST', path: '/first', body: {}, timeoutMs: 4 * TIMEOUT_MS })
  const second = await caller.call({ method: 'POST', path: '/second', body: {}, timeoutMs: TIMEOUT_MS })
  assert.deepEqual(second._unsafeUnwrapErr(), { reason: 'timeout', sent: false })
  assert.ok((await first).isOk())
  await new Promise((resolve) => setTimeout(resolve, TIMEOUT_MS))
  assert.equal(requests, 1)
  caller.close()
  for (const socket of sockets) socket.destroy()
  server.close()
})

test('http caller: a port without a listener certainly got nothing', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  const caller = HttpCaller.create(`127.0.0.1:${port}`, 1)
  const result = await caller.call({ method: 'POST', path: '/a', body: {}, timeoutMs: TIMEOUT_MS })
  assert.deepEqual(result._unsafeUnwrapErr(), { reason: 'unreachable', sent: false })
  caller.close()
})

test('http exchange: an answer that arrived while the process was busy counts, although its time is over', async () => {
  const exchange = HttpExchange.create(0)
  const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController
  exchange.onRequestStart(controller)
  // Timers run before the sockets are read; the answer is read in the same turn of the loop, after the timer.
  setTimeout(() => {
    exchange.onResponseStart(controller, 200)
    exchange.onResponseEnd()
  }, 0)
  assert.deepEqual(await exchange.outcome, { type: 'answered', reply: { status: 200, body: undefined } })
})
