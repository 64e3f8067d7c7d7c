import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { resetSocket } from '../../soak/reset-socket.ts'

const SETTLE_MS = 100

const cases: ReadonlyArray<{ readonly state: string, readonly prepare: (socket: Socket) => void, readonly error: string | undefined }> = [
  { state: 'is open', prepare: () => {}, error: 'ECONNRESET' },
  { state: 'has an end that waits to be sent', prepare: (socket) => socket.end('a'), error: undefined }
]

for (const { state, prepare, error } of cases) {
  // The proxy of the soak kept such a connection, and a core was busy with it as soon as its other side had closed.
  test(`reset socket: guards against the failure that a connection stays open which ${state}`, async () => {
    const server = createServer()
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const client = connect((server.address() as AddressInfo).port, '127.0.0.1').resume()
    const [[socket]] = await Promise.all([once(server, 'connection') as Promise<[Socket]>, once(client, 'connect')])
    let seen: string | undefined
    client.on('error', (failure: NodeJS.ErrnoException) => { seen = failure.code })
    const closed = new Promise((resolve) => client.once('close', resolve))
    prepare(socket)
    resetSocket(socket)
    await closed
    server.close()
    await wait(SETTLE_MS)
    assert.equal(seen, error)
    assert.ok(!process.getActiveResourcesInfo().includes('TCPSocketWrap'))
  })
}
