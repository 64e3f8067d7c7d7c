import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'

const PRELOAD = new URL('../../soak/refuse-connections.mjs', import.meta.url).href
const HOST = '127.0.0.2'
/** Listens, keeps one connection to the given port, over which it sends its own port every 50 ms, and opens another one each time. */
const PROGRAM = `const net = require('node:net'); const port = Number(process.argv[1])
const server = require('node:http').createServer().listen(0, '${HOST}', () => {
  const kept = net.connect(port, '${HOST}')
  setInterval(() => { kept.write(server.address()?.port + '\\n'); net.connect(port, '${HOST}').on('error', () => {}) }, 50)
})`

// A leader that ended, or still reached everything, would show nothing about one that lives behind links that refuse.
test('refuse connections: a process that gets the signal refuses and gets connections no more, and goes on over the one that it has', async () => {
  const sockets: Socket[] = []
  const target = createServer((socket) => sockets.push(socket.on('error', () => {})))
  await once(target.listen(0, HOST), 'listening')
  const child = spawn(process.execPath, ['--import', PRELOAD, '-e', PROGRAM, String((target.address() as AddressInfo).port)], { stdio: 'inherit' })
  try {
    const [kept] = await once(target, 'connection') as [Socket]
    const [line] = await once(kept, 'data') as [Buffer]
    const port = Number.parseInt(line.toString())
    const earlier = connect(port, HOST).on('error', () => {}).resume()
    await once(earlier, 'connect')
    await wait(100)
    child.kill('SIGUSR2')
    await once(earlier, 'close')
    await assert.rejects(once(connect(port, HOST), 'connect'), { code: 'ECONNREFUSED' })
    const count = sockets.length
    await wait(200)
    await once(kept, 'data')
    assert.ok(count > 1 && sockets.length === count, `${sockets.length} connections, ${count} before the signal`)
  } finally {
    child.kill('SIGKILL')
    target.close()
  }
})
