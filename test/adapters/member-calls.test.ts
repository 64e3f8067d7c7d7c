import assert from 'node:assert/strict'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { MemberCallClient, MemberCallServer } from '../../src/adapters/grpc-member-calls.ts'

const TIMEOUT_MS = 200

test('member calls: the connection to a busy member that responds to some calls late stays open', async () => {
  const server = await MemberCallServer.listen({
    address: '127.0.0.1:0',
    onCall: async (call) => {
      if (call.type === 'phase') await wait(3 * TIMEOUT_MS)
      return { type: 'noted' }
    }
  })
  let connections = 0
  const relayed: Socket[] = []
  const relay = createServer((socket) => {
    connections += 1
    const peer = connect(server.port, '127.0.0.1')
    for (const end of [socket, peer]) relayed.push(end.on('error', () => {}))
    socket.pipe(peer).pipe(socket)
  })
  await new Promise<void>((resolve) => relay.listen(0, '127.0.0.1', resolve))
  const client = MemberCallClient.create()
  const address = `127.0.0.1:${(relay.address() as AddressInfo).port}`
  assert.deepEqual((await client.call(address, { type: 'stand-down', term: 1 }, 5 * TIMEOUT_MS))._unsafeUnwrap(), { type: 'noted' })
  assert.deepEqual((await client.call(address, { type: 'phase', id: 'a' }, TIMEOUT_MS))._unsafeUnwrapErr(), { reason: 'timeout' })
  assert.deepEqual((await client.call(address, { type: 'stand-down', term: 1 }, 5 * TIMEOUT_MS))._unsafeUnwrap(), { type: 'noted' })
  assert.equal(connections, 1)
  client.close()
  server.close()
  for (const socket of relayed) socket.destroy()
  relay.close()
})

test('member calls: an unresponsive connection is replaced by a new one', async () => {
  const sockets: Socket[] = []
  const silent = createServer((socket) => { sockets.push(socket.on('error', () => {})) })
  await new Promise<void>((resolve) => silent.listen(0, '127.0.0.1', resolve))
  const client = MemberCallClient.create()
  const address = `127.0.0.1:${(silent.address() as AddressInfo).port}`
  const connected: number[] = []
  for (let call = 0; call < 8; call += 1) {
    await client.call(address, { type: 'phase', id: 'a' }, TIMEOUT_MS)
    connected.push(sockets.length)
  }
  assert.ok(connected.at(-1)! > connected[0]!, `connections after each call: ${connected.join(', ')}`)
  client.close()
  for (const socket of sockets) socket.destroy()
  silent.close()
})

// A proxy would make calls to the store that their sender has given up.
test('member calls: guards against the failure that a member does not learn that its caller waits no longer', async () => {
  const awaited: boolean[] = []
  let ended = (): void => {}
  const handled = new Promise<void>((resolve) => { ended = resolve })
  const server = await MemberCallServer.listen({
    address: '127.0.0.1:0',
    onCall: async (_call, isAwaited) => {
      awaited.push(isAwaited())
      await wait(3 * TIMEOUT_MS)
      awaited.push(isAwaited())
      ended()
      return { type: 'noted' }
    }
  })
  const client = MemberCallClient.create()
  assert.deepEqual((await client.call(`127.0.0.1:${server.port}`, { type: 'phase', id: 'a' }, TIMEOUT_MS))._unsafeUnwrapErr(), { reason: 'timeout' })
  await handled
  assert.deepEqual(awaited, [true, false])
  client.close()
  server.close()
})
