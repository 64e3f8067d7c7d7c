import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { MemberProcess, queryState } from './process-harness.ts'

const OCTET = 30 + process.pid % 100

/** Between these times after the stop signal the process does not run; it would exit within this span, in milliseconds. */
const SUSPENSION_MS = { from: 2_000, until: 3_200 } as const

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

// A process that had not run for a while accepted a connection, ran its timers before it read from it, and exited.
test('platform member: guards against the failure that a process which was held up at the end of its stop exits with a request unread', async () => {
  const member = await MemberProcess.start(OCTET)
  try {
    await member.waitUntilReady()
    const idle = await member.connect()
    assert.match(await queryState(idle), /^HTTP\/1.1 410/)
    member.process.signal('SIGTERM')
    await wait(SUSPENSION_MS.from)
    member.process.signal('SIGSTOP')
    const responses = [queryState(idle), queryState(await member.connect())]
    await wait(SUSPENSION_MS.until - SUSPENSION_MS.from)
    member.process.signal('SIGCONT')
    assert.deepEqual((await Promise.all(responses)).map((line) => line.slice(0, 12)), ['HTTP/1.1 410', 'HTTP/1.1 410'])
    assert.equal(await member.process.waitForExit(), 0)
  } finally {
    await member.close()
  }
})
