import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CommandLoad } from '../../src/controller/commands/command-load.ts'

test('command load: counts what was sent, sent again and not answered since the last call', () => {
  const load = CommandLoad.create()
  for (let sent = 0; sent < 3; sent += 1) load.recordSent()
  load.recordResent()
  load.recordResponse({ type: 'unanswered' })
  load.recordResponse({ type: 'accepted' })
  load.recordResponse({ type: 'refused' })
  assert.deepEqual(load.take(), { sent: 3, resent: 1, unanswered: 1 })
  assert.deepEqual(load.take(), { sent: 0, resent: 0, unanswered: 0 })
})
