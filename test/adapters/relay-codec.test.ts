import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decodeRelayReply, decodeRelayRequest, encodeRelayMessage } from '../../src/adapters/relay-codec.ts'
import type { CommandClient } from '../../src/ports/command-client.ts'
import { CommandRelay } from '../../src/controller/commands/command-relay.ts'

const SEED = 20261204
const RUNS = 500

/** JSON values whose objects often have the field names of the messages. */
const arbitraryJson = fc.letrec((tie) => ({
  value: fc.oneof({ depthSize: 'small' }, fc.constantFrom(null, true, 0, -1, 1e300, '', 'start', 'list', 'listed'), fc.array(tie('value'), { maxLength: 3 }), tie('object')),
  object: fc.dictionary(fc.constantFrom('sequence', 'entries', 'responses', 'number', 'relayed', 'response', 'type', 'target', 'command', 'listing', 'id', 'epoch'), tie('value'), { maxKeys: 6 })
})).object

const decoders = [
  { name: 'request', decode: decodeRelayRequest },
  { name: 'reply', decode: decodeRelayReply }
]

for (const { name, decode } of decoders) {
  test(`relay codec: a ${name} that is malformed is an error, whatever it contains`, () => {
    fc.assert(fc.property(fc.oneof(arbitraryJson.map((value) => JSON.stringify(value)), fc.string()), (text) => {
      try {
        decode(Buffer.from(text))
      } catch (error) {
        assert.ok(error instanceof Error)
      }
    }), { seed: SEED, numRuns: RUNS })
  })
}

test('relay codec: what is decoded never makes a relay throw', async () => {
  const commands = { start: async () => ({ type: 'accepted' }), stop: async () => ({ type: 'accepted' }), throttle: async () => ({ type: 'accepted' }), list: async () => ({ type: 'refused' }) } as unknown as CommandClient
  const relay = CommandRelay.create({ commands, reporter: { log: () => {}, count: () => {}, observe: () => {} }, getLatestTerm: () => 0, now: () => 0 })
  const entry = fc.record({ number: fc.integer(), validUntilMs: fc.integer(), relayed: fc.record({ type: fc.constantFrom('start', 'stop', 'throttle', 'list'), target: fc.record({ id: fc.string(), address: fc.string() }), command: fc.record({ epoch: fc.integer(), task: fc.anything() }) }) })
  await fc.assert(fc.asyncProperty(fc.record({ sequence: fc.integer(), entries: fc.array(entry, { maxLength: 4 }) }), async (message) => {
    const session = relay.open(() => {})
    session.handle(decodeRelayRequest(Buffer.from(JSON.stringify(message))))
    session.close()
  }), { seed: SEED, numRuns: RUNS })
})

// A task waited for a start that certainly was not sent, because the leader was not told.
test('relay codec: guards against the failure that the leader does not learn that a command was not sent', () => {
  const reply = { sequence: 1, responses: [{ number: 4, response: { type: 'unanswered', reason: 'timeout', sent: false } as const }] }
  assert.deepEqual(decodeRelayReply(encodeRelayMessage(reply)), reply)
})
