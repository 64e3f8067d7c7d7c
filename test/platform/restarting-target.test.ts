import assert from 'node:assert/strict'
import { once } from 'node:events'
import { connect, createServer } from 'node:net'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { WorkerCommands } from '../../platform/worker-commands.ts'
import { formatAnswer, RestartingTarget } from './restarting-target.ts'

const SETTLE_MS = 100
const TARGET = { id: 't1', incarnation: 1 }
const QUESTION = { epoch: 3, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 }

function countOpenSockets (): number {
  return process.getActiveResourcesInfo().filter((name) => name === 'TCPSocketWrap').length
}

// A connection whose end waits to be sent cannot be reset: it stayed open, and the process used a core for it until it was ended.
test('restarting target: guards against the failure that a connection that is closing outlives a crash with resets', async () => {
  const before = countOpenSockets()
  const target = await RestartingTarget.start()
  const commands = WorkerCommands.create()
  let crash: Promise<void> | undefined
  target.answer = (request, socket) => {
    socket.end(formatAnswer(request))
    crash = target.crash('reset')
    return undefined
  }
  await commands.list({ ...TARGET, address: target.address }, QUESTION)
  await crash
  commands.close()
  await wait(SETTLE_MS)
  assert.equal(countOpenSockets(), before)
})

// A connection of any process may get a port that nobody listens at: the target could not start again, and its test ran on for good.
test('restarting target: guards against the failure that it cannot restart because its port is in use for a connection', async () => {
  const target = await RestartingTarget.start()
  const [host, port] = target.address.split(':')
  const socket = connect({ host: host!, port: Number(port) })
  try {
    await once(socket, 'connect')
    assert.notEqual(socket.localAddress, host)
  } finally {
    socket.destroy()
    await target.close()
  }
})

test('restarting target: a restart that fails is reported', async () => {
  const target = await RestartingTarget.start()
  const [host, port] = target.address.split(':')
  await target.crash('closed')
  const other = createServer().listen(Number(port), host)
  try {
    await once(other, 'listening')
    await assert.rejects(target.restart(), { code: 'EADDRINUSE' })
  } finally {
    other.close()
  }
})
