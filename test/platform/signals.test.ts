import assert from 'node:assert/strict'
import { rmSync } from 'node:fs'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { MemberProcess, queryState } from './process-harness.ts'

const OCTET = 130 + process.pid % 100
const SIGNAL_DELIVERY_MS = 200

// The settings file was being replaced when the process was told to read it: the error ended the process.
test('platform process: guards against the failure that a settings file that cannot be read ends the process', async () => {
  const member = await MemberProcess.start(OCTET)
  try {
    await member.waitUntilReady()
    rmSync(member.settingsPath)
    member.process.signal('SIGHUP')
    await wait(SIGNAL_DELIVERY_MS)
    assert.match(await queryState(await member.connect()), /^HTTP\/1.1 410/)
  } finally {
    await member.close()
  }
})
