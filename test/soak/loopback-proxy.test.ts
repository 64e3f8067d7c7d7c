import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { LoopbackProxy } from '../../soak/loopback-proxy.ts'
import { computeRetransmissionDelay } from '../../soak/proxied-stream.ts'
import type { LinkState } from '../../soak/proxied-stream.ts'

/** `opened`: when the connection was opened. `closed`: whether its sender closes it while the link is disturbed. */
type Case = { readonly state: LinkState, readonly opened: 'before' | 'meanwhile', readonly closed: boolean, readonly received: string }

const DISTURBED_MS = 250
/** Longer than from the end of the disturbance to the next retransmission. */
const RETRANSMITTED_MS = 500

const CASES: readonly Case[] = [
  { state: 'held', opened: 'before', closed: false, received: 'ab' },
  // The kernel goes on sending what a closed socket has accepted.
  { state: 'held', opened: 'before', closed: true, received: 'ab' },
  { state: 'held', opened: 'meanwhile', closed: false, received: 'ab' },
  // Without an answer to its first packet a connection never sends any bytes.
  { state: 'held', opened: 'meanwhile', closed: true, received: '' },
  { state: 'silent', opened: 'before', closed: false, received: '' },
  { state: 'silent', opened: 'before', closed: true, received: '' },
  { state: 'reset', opened: 'before', closed: false, received: '' },
  { state: 'refused', opened: 'before', closed: false, received: '' },
  { state: 'dark', opened: 'before', closed: false, received: '' },
  { state: 'dark', opened: 'before', closed: true, received: '' },
  { state: 'dark', opened: 'meanwhile', closed: false, received: '' }
]

for (const { state, opened, closed, received } of CASES) {
  test(`loopback proxy: ${received === '' ? 'loses' : 'delivers later'} what is sent while a link is ${state}, on a connection opened ${opened}${closed ? ' and closed by its sender' : ''}`, async () => {
    let text = ''
    const server = createServer((socket) => socket.on('data', (bytes) => { text += bytes.toString() }).on('error', () => {}))
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const link = await LoopbackProxy.listen(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    const openSocket = async (): Promise<Socket> => {
      const socket = connect(Number(link.address.split(':')[1]), '127.0.0.1').on('error', () => {})
      await once(socket, 'connect')
      return socket
    }
    const earlier = opened === 'before' ? await openSocket() : undefined
    // The proxy must have accepted the connection before its link is disturbed.
    await wait(20)
    link.setState(state)
    const client = earlier ?? await openSocket()
    client.write('a')
    await wait(DISTURBED_MS / 2)
    if (closed) client.end('b')
    else client.write('b')
    await wait(DISTURBED_MS / 2)
    assert.equal(text, '')
    link.setState('open')
    await wait(RETRANSMITTED_MS)
    client.destroy()
    link.close()
    server.close()
    assert.equal(text, received)
  })
}

for (const { state, closedMeanwhile } of [{ state: 'open', closedMeanwhile: true }, { state: 'held', closedMeanwhile: false }, { state: 'dark', closedMeanwhile: false }] as const) {
  // A member that learns at once that a worker has crashed behind a cut knows more than the network can tell.
  test(`loopback proxy: the end of a target is seen ${closedMeanwhile ? 'at once' : 'after the heal'} while its link is ${state}`, async () => {
    const server = createServer((socket) => socket.on('error', () => {}))
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const link = await LoopbackProxy.listen(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    const client = connect(Number(link.address.split(':')[1]), '127.0.0.1').on('error', () => {}).resume()
    let isClosed = false
    client.on('close', () => { isClosed = true })
    await once(client, 'connect')
    await wait(20)
    link.setState(state)
    link.closeTargetSides()
    await wait(DISTURBED_MS)
    assert.equal(isClosed, closedMeanwhile)
    link.setState('open')
    await wait(RETRANSMITTED_MS)
    assert.equal(isClosed, true)
    link.close()
    server.close()
  })
}

type Abandoned = { readonly state: LinkState, readonly sends: boolean, readonly seen: 'while disturbed' | 'after the heal' | 'never' }

const ABANDONED: readonly Abandoned[] = [
  { state: 'open', sends: true, seen: 'while disturbed' },
  { state: 'open', sends: false, seen: 'never' },
  { state: 'silent', sends: true, seen: 'after the heal' },
  { state: 'held', sends: true, seen: 'after the heal' },
  { state: 'dark', sends: true, seen: 'after the heal' },
  { state: 'dark', sends: false, seen: 'never' }
]

for (const { state, sends, seen } of ABANDONED) {
  // A proxy that closes the client's side with the target's hides a restart from nobody, unlike a host that loses its power.
  test(`loopback proxy: a client ${sends ? 'that sends something' : 'that sends nothing'} on a connection of an earlier process learns of its end ${seen} while its link is ${state}`, async () => {
    const server = createServer((socket) => socket.pipe(socket).on('error', () => {}))
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const link = await LoopbackProxy.listen(`127.0.0.1:${(server.address() as AddressInfo).port}`)
    let end: string | undefined
    const client = connect(Number(link.address.split(':')[1]), '127.0.0.1').on('error', ({ code }: NodeJS.ErrnoException) => { end = code }).resume()
    await once(client, 'connect')
    await wait(20)
    link.abandonConnections()
    link.setState(state)
    await wait(DISTURBED_MS / 2)
    assert.equal(end, undefined)
    if (sends) client.write('a')
    await wait(DISTURBED_MS / 2)
    assert.equal(end, seen === 'while disturbed' ? 'ECONNRESET' : undefined)
    link.setState('open')
    await wait(RETRANSMITTED_MS)
    assert.deepEqual([end, client.destroyed], seen === 'never' ? [undefined, false] : ['ECONNRESET', true])
    const next = connect(Number(link.address.split(':')[1]), '127.0.0.1').on('error', () => {})
    next.write('b')
    assert.equal(String(await once(next, 'data')), 'b')
    next.destroy()
    client.destroy()
    link.close()
    server.close()
  })
}

for (const { state, goesOn } of [{ state: 'refused', goesOn: false }, { state: 'refuses-new', goesOn: true }] as const) {
  // A member that is refused a connection knows that no process listens, which no other state may tell it.
  test(`loopback proxy: connections are refused while a link is ${state}, and set up at the same address afterwards; earlier ones ${goesOn ? 'go on' : 'end'}`, async () => {
    const server = createServer((socket) => socket.pipe(socket).on('error', () => {}))
    await once(server.listen(0, '127.0.0.1'), 'listening')
    const link = await LoopbackProxy.listen(`127.0.0.1:${(server.address() as AddressInfo).port}`, '127.0.0.2')
    const [host, port] = link.address.split(':')
    const tryConnection = (): Promise<string> => new Promise((resolve) => {
      const socket = connect(Number(port), host).on('error', (error: NodeJS.ErrnoException) => resolve(error.code!)).on('connect', () => {
        socket.destroy()
        resolve('connected')
      })
    })
    const earlier = connect(Number(port), host).on('error', () => {})
    await once(earlier, 'connect')
    await wait(20)
    link.setState(state)
    assert.equal(await tryConnection(), 'ECONNREFUSED')
    const echo = new Promise((resolve) => earlier.on('data', () => resolve(true)).on('close', () => resolve(false)))
    earlier.write('a')
    assert.equal(await echo, goesOn)
    link.setState('open')
    assert.equal(await tryConnection(), 'connected')
    earlier.destroy()
    link.close()
    server.close()
  })
}

for (const { elapsedMs, delayMs } of [{ elapsedMs: 0, delayMs: 200 }, { elapsedMs: 500, delayMs: 100 }, { elapsedMs: 5_500, delayMs: 700 }]) {
  test(`loopback proxy: bytes held for ${elapsedMs} ms are delivered ${delayMs} ms later`, () => {
    assert.equal(computeRetransmissionDelay(elapsedMs), delayMs)
  })
}
