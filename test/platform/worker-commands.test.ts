import assert from 'node:assert/strict'
import { test } from 'node:test'
import { JsonServer } from '../../platform/standin/json-server.ts'
import { WorkerCommands } from '../../platform/worker-commands.ts'

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
