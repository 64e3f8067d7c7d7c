import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { MemberProcess, queryState } from './process-harness.ts'

const OCTET = 30 + process.pid % 100
// A caller's request was pending when the platform repeated the stop signal: the process exited at once.
test('platform member: guards against the failure that a second stop signal breaks off the pending requests', async () => {
  const member = await MemberProcess.start(OCTET)
  try {
    await member.waitUntilReady()
    const socket = await member.connect()
    member.kv.mode = 'silent'
    const response = queryState(socket)
    await wait(200)
    member.process.signal('SIGTERM')
    await wait(200)
    member.process.signal('SIGTERM')
    assert.equal(await response, 'HTTP/1.1 503 Service Unavailable')
    assert.equal(await member.process.waitForExit(), 0)
  } finally {
    await member.close()
  }
})
