import assert from 'node:assert/strict'
import { spawnSync } from 'node:child_process'
import { closeSync, constants, openSync, rmSync, writeSync } from 'node:fs'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { HeldSignals } from '../../platform/held-signals.ts'
import { MemberProcess, queryState } from './process-harness.ts'

const OCTET = 130 + process.pid % 100
const POLL_INTERVAL_MS = 10
const SIGNAL_DELIVERY_MS = 200
const PIPE_TIMEOUT_MS = 30_000

/** Waits until a process opens the pipe to read its settings, and returns the file descriptor to write them. */
async function waitForReader (path: string): Promise<number> {
  const deadline = performance.now() + PIPE_TIMEOUT_MS
  for (;;) {
    try {
      return openSync(path, constants.O_WRONLY | constants.O_NONBLOCK)
    } catch (error) {
      if (performance.now() > deadline) throw error
      await wait(POLL_INTERVAL_MS)
    }
  }
}

// The settings file was announced as changed while the process started: the signal ended the process.
test('platform process: guards against the failure that a signal for changed settings ends a process that is starting', async () => {
  let settings = ''
  const member = await MemberProcess.start(OCTET, (path, text) => {
    settings = text
    spawnSync('mkfifo', [path])
  })
  try {
    // The process waits here for its settings.
    const pipe = await waitForReader(member.settingsPath)
    member.process.signal('SIGHUP')
    await wait(SIGNAL_DELIVERY_MS)
    if (member.process.isRunning) writeSync(pipe, settings)
    closeSync(pipe)
    rmSync(member.settingsPath)
    await member.waitUntilReady()
  } finally {
    await member.close()
  }
})

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

test('held signals: a signal that arrives before its handler is set is handled once, and later ones at once', async () => {
  const signals = HeldSignals.hold(['SIGUSR2'])
  let handled = 0
  process.kill(process.pid, 'SIGUSR2')
  await wait(SIGNAL_DELIVERY_MS)
  signals.handle('SIGUSR2', () => { handled += 1 })
  assert.equal(handled, 1)
  process.kill(process.pid, 'SIGUSR2')
  await wait(SIGNAL_DELIVERY_MS)
  assert.equal(handled, 2)
})
