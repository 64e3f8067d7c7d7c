import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { Client, Metadata, Server, ServerCredentials, credentials } from '@grpc/grpc-js'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import { MemberCallServer } from '../../src/adapters/grpc-member-calls.ts'
import { openRelayStream } from '../../src/adapters/grpc-relay-stream.ts'
import { decodeRelayReply, decodeRelayRequest, encodeRelayMessage } from '../../src/adapters/relay-codec.ts'
import type { RelayReply, RelayRequest } from '../../src/controller/commands/relay-message.ts'

const REQUEST: RelayRequest = {
  sequence: 5,
  entries: [{ number: 1, validUntilMs: 2_000, relayed: { type: 'start', target: { id: 't1', address: 't1:80' }, command: { task: 'a.0.0.0', run: 1, payload: '{"é":1}', leaseUntilMs: 10, epoch: 3, checkpoint: '', ticket: undefined } } }]
}
const STREAM_TIMEOUT_MS = 5_000
const REPLY: RelayReply = { sequence: 5, responses: [{ number: 1, response: { type: 'refused', reason: 'no-room', clockMs: 7 } }] }

/** Serves relay streams that record each request and answer it with `REPLY`. */
async function serve (): Promise<{ readonly server: MemberCallServer, readonly address: string, readonly requests: RelayRequest[], readonly closed: Promise<void> }> {
  const requests: RelayRequest[] = []
  let resolveClosed = (): void => {}
  const closed = new Promise<void>((resolve) => { resolveClosed = resolve })
  const server = await MemberCallServer.listen({
    address: '127.0.0.1:0',
    onCall: async () => ({ type: 'noted' }),
    onRelayStream: (reply) => ({
      handle: (request) => {
        requests.push(request)
        reply(REPLY)
      },
      close: resolveClosed
    })
  })
  return { server, address: `127.0.0.1:${server.port}`, requests, closed }
}

/** Sends `REQUEST` on a new stream and returns the first reply. */
function exchange (address: string): Promise<RelayReply> {
  return new Promise((resolve, reject) => {
    const stream = openRelayStream(address, {
      onReply: (received) => {
        resolve(received)
        stream.close()
      },
      onClosed: (reason) => reject(new Error(reason))
    })
    stream.send(REQUEST)
  })
}

test('relay stream: requests and replies arrive as they were sent, and the relay notices the end of the stream', async () => {
  const { server, address, requests, closed } = await serve()
  const reply = await exchange(address)
  await closed
  server.close()
  assert.deepEqual(reply, REPLY)
  assert.deepEqual(JSON.stringify(requests), JSON.stringify([REQUEST]))
})

test('relay stream: the leader is told once when the relay is killed', async () => {
  const { server, address } = await serve()
  const sockets: Socket[] = []
  const proxy = createServer((socket) => {
    const peer = connect(server.port, '127.0.0.1')
    for (const end of [socket, peer]) sockets.push(end.on('error', () => {}))
    socket.pipe(peer).pipe(socket)
  })
  await new Promise<void>((resolve) => proxy.listen(0, '127.0.0.1', resolve))
  const ends: string[] = []
  await new Promise<void>((resolve) => {
    const stream = openRelayStream(`127.0.0.1:${(proxy.address() as AddressInfo).port}`, {
      onReply: () => sockets.forEach((socket) => socket.destroy()),
      onClosed: (reason) => {
        ends.push(reason)
        resolve()
      }
    })
    stream.send(REQUEST)
  })
  proxy.close()
  server.close()
  assert.equal(ends.length, 1, address)
})

test('relay stream: an address without a listener ends the stream, and sending afterwards has no effect', async () => {
  await new Promise<void>((resolve) => {
    const stream = openRelayStream('127.0.0.1:1', {
      onReply: () => {},
      onClosed: () => setImmediate(() => {
        stream.send(REQUEST)
        resolve()
      })
    })
    stream.send(REQUEST)
  })
})

test('relay stream: a malformed message ends the stream and leaves the member running', async () => {
  const { server, address, requests } = await serve()
  const end = await new Promise<string>((resolve) => {
    const stream = openRelayStream(address, { onReply: () => {}, onClosed: resolve })
    stream.send({ sequence: 1, entries: [{ number: 1 }] } as unknown as RelayRequest)
  })
  assert.match(end, /INTERNAL: Error deserializing/)
  assert.deepEqual(requests, [])
  const reply = await exchange(address)
  server.close()
  assert.deepEqual(reply, REPLY)
})

/** The method of older releases, whose members relay commands to whichever incarnation of a target responds. */
const UNBOUND_METHOD = { path: '/damaskfield.Member/Relay', requestStream: true, responseStream: true, requestSerialize: encodeRelayMessage, requestDeserialize: decodeRelayRequest, responseSerialize: encodeRelayMessage, responseDeserialize: decodeRelayReply } as const

// After a rollback within some seconds, a leader still took the member at an address for one that binds commands.
test('relay stream: guards against the failure that a member of an older release gets commands that it does not bind', async () => {
  const requests: RelayRequest[] = []
  const server = new Server()
  server.addService({ relay: UNBOUND_METHOD }, { relay: (stream: ServerDuplexStream<RelayRequest, RelayReply>) => { stream.on('data', (request: RelayRequest) => { requests.push(request) }) } })
  const port = await new Promise<number>((resolve, reject) => server.bindAsync('127.0.0.1:0', ServerCredentials.createInsecure(), (error, bound) => error === null ? resolve(bound) : reject(error)))
  try {
    const reason = await new Promise<string>((resolve, reject) => {
      openRelayStream(`127.0.0.1:${port}`, { onReply: () => reject(new Error('replied')), onClosed: resolve }).send(REQUEST)
      setTimeout(() => reject(new Error('the stream was accepted')), STREAM_TIMEOUT_MS).unref()
    })
    assert.match(reason, /UNIMPLEMENTED/)
    assert.deepEqual(requests, [])
  } finally {
    server.forceShutdown()
  }
})

// A leader of an older release has to use the members that are replaced before it.
test('relay stream: guards against the failure that a member refuses the stream of a leader of an older release', async () => {
  const { server, address } = await serve()
  const client = new Client(address, credentials.createInsecure())
  try {
    const reply = await new Promise<RelayReply>((resolve, reject) => {
      const call = client.makeBidiStreamRequest(UNBOUND_METHOD.path, UNBOUND_METHOD.requestSerialize, UNBOUND_METHOD.responseDeserialize, new Metadata())
      call.on('data', resolve)
      call.on('error', reject)
      call.write(REQUEST)
    })
    assert.deepEqual(reply, REPLY)
  } finally {
    client.close()
    server.close()
  }
})
