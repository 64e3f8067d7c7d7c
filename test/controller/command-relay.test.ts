import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CommandRelay } from '../../src/controller/commands/command-relay.ts'
import { WITHHELD } from '../../src/ports/command-client.ts'
import type { CommandResponse } from '../../src/ports/command-client.ts'
import type { RelayReply, RelayedCommand } from '../../src/controller/commands/relay-message.ts'
import { LIST, LISTED, RecordingClient, SILENT_REPORTER, START, STOP, TARGET, settle } from './relay-harness.ts'

const NOW = 1_000_000

async function relayCommand (relayed: RelayedCommand, { validUntilMs = NOW + 500, latestTerm = 3, client = new RecordingClient() } = {}): Promise<{ readonly client: RecordingClient, readonly replies: readonly RelayReply[] }> {
  const replies: RelayReply[] = []
  const relay = CommandRelay.create({ commands: client, reporter: SILENT_REPORTER, getLatestTerm: () => latestTerm, now: () => NOW })
  relay.open((reply) => replies.push(reply)).handle({ sequence: 7, entries: [{ number: 4, relayed, validUntilMs }] })
  await settle()
  return { client, replies }
}

const start: RelayedCommand = { type: 'start', target: TARGET, command: START }
const cases: ReadonlyArray<{ readonly guards: string, readonly relayed: RelayedCommand, readonly options?: Parameters<typeof relayCommand>[1], readonly sent: readonly string[], readonly response: unknown }> = [
  { guards: 'sends a start and returns the response', relayed: start, sent: ['start t1 a.0.0.0 1'], response: { type: 'accepted', clockMs: 500 } },
  { guards: 'sends a stop', relayed: { type: 'stop', target: TARGET, command: STOP }, sent: ['stop t1 a.0.0.0 1'], response: { type: 'accepted', clockMs: 500 } },
  { guards: 'sends a throttle command', relayed: { type: 'throttle', target: TARGET, command: { ...STOP, percent: 50 } }, sent: ['throttle t1 a.0.0.0 1'], response: { type: 'accepted', clockMs: 500 } },
  { guards: 'sends a list request', relayed: { type: 'list', target: TARGET, command: LIST }, sent: ['list t1'], response: LISTED },
  { guards: 'that was suspended does not send a start whose time has passed', relayed: start, options: { validUntilMs: NOW - 1 }, sent: [], response: { type: 'unanswered', reason: 'too-late', sent: false } },
  { guards: 'that has seen a later term does not send a start of an earlier one', relayed: start, options: { latestTerm: 4 }, sent: [], response: { type: 'refused', reason: 'fenced', clockMs: undefined } },
  { guards: 'that has not read the leader record yet sends a start of a later term', relayed: start, options: { latestTerm: 0 }, sent: ['start t1 a.0.0.0 1'], response: { type: 'accepted', clockMs: 500 } }
]

for (const { guards, relayed, options, sent, response } of cases) {
  test(`relay: a member ${guards}`, async () => {
    const { client, replies } = await relayCommand(relayed, options)
    assert.deepEqual(client.calls, sent)
    assert.deepEqual(replies, [{ sequence: 7, responses: [{ number: 4, response }] }])
  })
}

const WITHHELD_START: CommandResponse = { type: 'unanswered', reason: WITHHELD, sent: false }
const waits: ReadonlyArray<{ readonly what: string, readonly answer: CommandResponse, readonly response: unknown }> = [
  { what: 'was not written', answer: WITHHELD_START, response: { type: 'unanswered', reason: 'too-late', sent: false } },
  { what: 'may have been written', answer: { type: 'unanswered', reason: 'broken' }, response: { type: 'unanswered', reason: 'too-late' } }
]

for (const { what, answer, response } of waits) {
  // A task waited for a start that its relay had withheld, as if the start could still be executed.
  test(`relay: guards against the failure that a start which became too late in its queue counts as sent, or as not sent, by mistake: it ${what}`, async () => {
    let now = NOW
    const client = new RecordingClient()
    client.start = async (_target, _command, mayBeSent) => {
      now += 1_000
      assert.equal(mayBeSent?.(), false)
      return answer
    }
    const replies: RelayReply[] = []
    const relay = CommandRelay.create({ commands: client, reporter: SILENT_REPORTER, getLatestTerm: () => 3, now: () => now })
    relay.open((reply) => replies.push(reply)).handle({ sequence: 7, entries: [{ number: 4, relayed: start, validUntilMs: NOW + 500 }] })
    await settle()
    assert.deepEqual(replies, [{ sequence: 7, responses: [{ number: 4, response }] }])
  })
}

test('relay: an unexpected error of one command is its response, and the others are sent', async () => {
  const client = new RecordingClient()
  client.start = () => Promise.reject(new Error('boom'))
  const { replies } = await relayCommand(start, { client })
  assert.deepEqual(replies[0]!.responses, [{ number: 4, response: { type: 'unanswered', reason: 'Error: boom' } }])
})

test('relay: a message without commands is answered at once, and nothing is sent after the stream is closed', async () => {
  const replies: RelayReply[] = []
  const relay = CommandRelay.create({ commands: new RecordingClient(), reporter: SILENT_REPORTER, getLatestTerm: () => 3, now: () => NOW })
  const session = relay.open((reply) => replies.push(reply))
  session.handle({ sequence: 1, entries: [] })
  await settle()
  assert.deepEqual(replies, [{ sequence: 1, responses: [] }])
  session.handle({ sequence: 2, entries: [] })
  session.close()
  await settle()
  assert.equal(replies.length, 1)
})
