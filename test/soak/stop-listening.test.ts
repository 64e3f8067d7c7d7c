import assert from 'node:assert/strict'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { connect } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'

const PRELOAD = new URL('../../soak/stop-listening.mjs', import.meta.url).href
const HOST = '127.0.0.2'
/** Prints its port, and a text on each interval as a sign that it runs on. */
const PROGRAM = `require('node:http').createServer().listen(0, '${HOST}', function () { console.log(this.address().port) }); setInterval(() => console.log('runs'), 50)`

// A process that ended, or that still accepted connections, would show nothing about a leader that lives behind links that refuse.
test('stop listening: a process that gets the signal ends its connections, refuses new ones and runs on', async () => {
  const child = spawn(process.execPath, ['--import', PRELOAD, '-e', PROGRAM], { stdio: ['ignore', 'pipe', 'inherit'] })
  try {
    const [line] = await once(child.stdout, 'data') as [Buffer]
    const port = Number.parseInt(line.toString())
    const earlier = connect(port, HOST).on('error', () => {}).resume()
    await once(earlier, 'connect')
    await wait(50)
    child.kill('SIGUSR2')
    await once(earlier, 'close')
    await assert.rejects(once(connect(port, HOST), 'connect'), { code: 'ECONNREFUSED' })
    await once(child.stdout, 'data')
    assert.equal(child.exitCode, null)
  } finally {
    child.kill('SIGKILL')
  }
})
