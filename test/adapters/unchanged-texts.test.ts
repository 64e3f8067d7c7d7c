import assert from 'node:assert/strict'
import { test } from 'node:test'
import { MemberCallClient, MemberCallServer } from '../../src/adapters/grpc-member-calls.ts'
import { decodeRelayRequest, encodeRelayMessage } from '../../src/adapters/relay-codec.ts'
import type { MemberCall } from '../../src/controller/member-call.ts'
import { buildJob } from '../workflow/harness.ts'
import { TEXTS } from './texts.ts'

const TIMEOUT_MS = 5_000

for (const { name, text } of TEXTS) {
  // A job that was submitted at a member that doesn't lead was started with another payload than its caller had sent.
  test(`member calls: guards against the failure that an announced job arrives with another payload: ${name}`, async () => {
    const received: MemberCall[] = []
    const server = await MemberCallServer.listen({ address: '127.0.0.1:0', onCall: async (call) => { received.push(call); return { type: 'noted' } } })
    const client = MemberCallClient.create()
    try {
      const call: MemberCall = { type: 'job-stored', definition: { ...buildJob('a', { count: 2 }), payload: text } }
      assert.ok((await client.call(`127.0.0.1:${server.port}`, call, TIMEOUT_MS)).isOk())
      assert.deepEqual(received.map((item) => item.type === 'job-stored' ? item.definition.payload : ''), [text])
    } finally {
      client.close()
      server.close()
    }
  })

  // A ticket that is changed on its way makes targets refuse the start.
  test(`member calls: guards against the failure that a ticket arrives changed: ${name}`, async () => {
    const server = await MemberCallServer.listen({ address: '127.0.0.1:0', onCall: async () => ({ type: 'advice', answer: { type: 'advised', tickets: [{ target: 't1', ticket: text }], validityMs: 1_000 } }) })
    const client = MemberCallClient.create()
    try {
      const response = await client.call(`127.0.0.1:${server.port}`, { type: 'advise', step: 'a.0.0', targets: ['t1'], timeoutMs: TIMEOUT_MS }, TIMEOUT_MS)
      assert.deepEqual(response._unsafeUnwrap(), { type: 'advice', answer: { type: 'advised', tickets: [{ target: 't1', ticket: text }], validityMs: 1_000 } })
    } finally {
      client.close()
      server.close()
    }
  })

  // A relayed start with another payload or checkpoint runs something else, or from another place.
  test(`relay: guards against the failure that a relayed start arrives with another payload or checkpoint: ${name}`, () => {
    const request = { sequence: 1, entries: [{ number: 1, validUntilMs: 5, relayed: { type: 'start' as const, target: { id: 't1', address: 'a:1' }, command: { task: 'a.0.0.0', run: 1, payload: text, leaseUntilMs: 5, epoch: 1, checkpoint: text, ticket: text } } }] }
    assert.deepEqual(decodeRelayRequest(encodeRelayMessage(request)), request)
  })
}
