import assert from 'node:assert/strict'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'
import { test } from 'node:test'
import { JsonServer } from '../../platform/standin/json-server.ts'
import { WorkerCommands } from '../../platform/worker-commands.ts'
import type { CommandResponse, CommandTarget } from '../../src/ports/command-client.ts'

const START = { task: 'a.0.0.0', run: 1, payload: '', leaseUntilMs: 1, epoch: 1, checkpoint: '', ticket: undefined }

const refusals = [
  { status: 400, body: {}, reason: 'invalid' },
  { status: 404, body: {}, reason: 'invalid' },
  { status: 409, body: { reason: 'odd' }, reason: 'invalid' },
  { status: 429, body: {}, reason: 'unhealthy' },
  { status: 503, body: {}, reason: 'unhealthy' },
  { status: 408, body: {}, reason: 'failed' },
  { status: 500, body: {}, reason: 'failed' },
  { status: 504, body: {}, reason: 'failed' }
]

for (const { status, body, reason } of refusals) {
  test(`worker commands: status ${status} to a start is taken as ${reason}`, async () => {
    const server = await JsonServer.listen(async () => ({ status, body }))
    const commands = WorkerCommands.create()
    try {
      assert.deepEqual(await commands.start({ id: 'i-1', address: server.address }, START), { type: 'refused', reason, clockMs: undefined })
    } finally {
      commands.close()
      server.close()
    }
  })
}

const CONNECTIONS = 4

/** Longer than a command may wait, in milliseconds. */
const HELD_MS = 1_500

type Send = (commands: WorkerCommands, target: CommandTarget) => Promise<CommandResponse>

const sendOne: Send = (commands, target) => commands.start(target, START)

/** All connections wait for lists when the start is sent. */
const sendBesideLists: Send = async (commands, target) => {
  const lists = Array.from({ length: CONNECTIONS }, () => commands.list(target, { epoch: 1, acknowledged: 0, leaseUntilMs: undefined, waitMs: HELD_MS }))
  const response = await commands.start(target, START)
  await Promise.all(lists)
  return response
}

const failures: ReadonlyArray<{ readonly what: string, readonly worker: 'closed' | 'silent' | 'breaking', readonly send: Send, readonly expected: CommandResponse }> = [
  { what: 'the connection is refused', worker: 'closed', send: sendOne, expected: { type: 'unanswered', reason: 'no-listener', sent: false } },
  { what: 'no connection is free in time', worker: 'silent', send: sendBesideLists, expected: { type: 'unanswered', reason: 'timeout', sent: false } },
  { what: 'it may not be sent any more', worker: 'silent', send: (commands, target) => commands.start(target, START, () => false), expected: { type: 'unanswered', reason: 'withheld', sent: false } },
  { what: 'a stop finds no listener', worker: 'closed', send: (commands, target) => commands.stop(target, { task: 'a.0.0.0', run: 1, epoch: 1 }), expected: { type: 'unanswered', reason: 'no-listener', sent: false } },
  { what: 'the worker does not answer what it has got', worker: 'silent', send: sendOne, expected: { type: 'unanswered', reason: 'timeout' } },
  { what: 'the worker closes the connection instead of an answer', worker: 'breaking', send: sendOne, expected: { type: 'unanswered', reason: 'broken' } }
]

for (const { what, worker, send, expected } of failures) {
  // LOST: a task waited up to 12 s for a start that its worker had certainly not got, or TWICE if it does not wait for one that it may have got.
  test(`worker commands: guards against the failure that a command without an answer counts as sent, or as not sent, by mistake: ${what}`, async () => {
    const sockets = new Set<Socket>()
    const server = createServer((socket) => {
      sockets.add(socket.on('error', () => {}))
      if (worker === 'breaking') socket.on('data', () => socket.destroy())
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const { port } = server.address() as AddressInfo
    if (worker === 'closed') await new Promise((resolve) => server.close(resolve))
    const commands = WorkerCommands.create()
    try {
      assert.deepEqual(await send(commands, { id: 'i-1', address: `127.0.0.1:${port}` }), expected)
    } finally {
      commands.close()
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  })
}
