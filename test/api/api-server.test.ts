import assert from 'node:assert/strict'
import { after, before, test } from 'node:test'
import { ok } from 'neverthrow'
import { request } from 'undici'
import { ApiServer } from '../../src/api/api-server.ts'
import { EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import type { SubmissionResponse } from '../../src/model/group-request.ts'
import { Callers } from '../../src/runtime/callers.ts'
import type { MemberEvent } from '../../src/runtime/loop.ts'
import { KeyVerifier } from '../../src/util/key-verifier.ts'
import { hashOperatorKey } from '../../src/util/team-key.ts'

const OPERATOR = 'operator-key'
const LIMIT_BYTES = 2_000
const RESOURCES = { slots: 1 }

let nextResponse: SubmissionResponse = { type: 'succeeded', output: 1 }
const events: MemberEvent[] = []
const callers: Callers = Callers.create((event) => {
  events.push(event)
  if (event.type === 'caller-submitted') setImmediate(() => callers.resolveSubmission({ type: 'answer-caller', nonce: event.nonce, work: 'g0-n1', response: nextResponse }))
})
const server = ApiServer.create({
  callers,
  keyVerifier: KeyVerifier.create(),
  getConfiguration: () => EMPTY_CONFIGURATION,
  isReady: () => false,
  isAlive: () => true,
  formatMetrics: () => '',
  readHistory: async () => ok([]),
  groups: 1,
  getOwner: () => undefined,
  bodyLimitBytes: LIMIT_BYTES,
  operatorKeyHash: hashOperatorKey(OPERATOR)
})
let address = ''

before(async () => { address = `http://127.0.0.1:${await server.listen('127.0.0.1', 0)}` })
after(async () => await server.close())

async function post (path: string, body: string | Buffer, headers: Readonly<Record<string, string>> = {}): Promise<{ readonly status: number, readonly type: string, readonly retryAfter: string, readonly body: Record<string, unknown> }> {
  const response = await request(`${address}${path}`, { method: 'POST', body, headers: { connection: 'close', ...headers } })
  const parsed = await response.body.json() as Record<string, unknown>
  return { status: response.statusCode, type: String(response.headers['content-type']), retryAfter: String(response.headers['retry-after']), body: parsed }
}

const valid = { queue: 'q', resources: RESOURCES }
const invalidRequests: readonly { readonly guards: string, readonly path: string, readonly body: string | Buffer, readonly status: number, readonly code: string, readonly headers?: Readonly<Record<string, string>> }[] = [
  { guards: 'broken JSON', path: '/v1/requests', body: '{"queue":', status: 400, code: 'invalid' },
  { guards: 'a body that is not an object', path: '/v1/requests', body: '[]', status: 400, code: 'invalid' },
  { guards: 'an unknown field', path: '/v1/requests', body: JSON.stringify({ ...valid, quue: 1 }), status: 400, code: 'invalid' },
  { guards: 'a missing queue', path: '/v1/jobs', body: JSON.stringify({ resources: RESOURCES, kind: 'batch' }), status: 400, code: 'invalid' },
  { guards: 'a negative amount', path: '/v1/requests', body: JSON.stringify({ ...valid, resources: { slots: -1 } }), status: 400, code: 'invalid' },
  { guards: 'an excessive number of tasks', path: '/v1/jobs', body: JSON.stringify({ ...valid, kind: 'gang', count: 1e12 }), status: 400, code: 'invalid' },
  { guards: 'a repeated field', path: '/v1/requests', body: '{"queue":"a","queue":"b","resources":{"slots":1}}', status: 400, code: 'invalid' },
  { guards: 'a body over the limit', path: '/v1/requests', body: JSON.stringify({ ...valid, payload: 'x'.repeat(LIMIT_BYTES) }), status: 413, code: 'too-large' },
  { guards: 'a payload that is not UTF-8, which would arrive changed,', path: '/v1/requests', body: Buffer.from(JSON.stringify({ ...valid, payload: 'caf\u00e9' }), 'latin1'), status: 400, code: 'invalid' },
  { guards: 'an idempotency key with spaces', path: '/v1/requests', body: JSON.stringify(valid), headers: { 'idempotency-key': 'a b' }, status: 400, code: 'invalid' },
  { guards: 'an unknown path', path: '/v1/nothing', body: '', status: 404, code: 'not-found' },
  { guards: 'a publication without a key', path: '/v1/configuration', body: '{}', status: 401, code: 'key-missing' },
  { guards: 'a publication with a wrong key', path: '/v1/configuration', body: '{}', headers: { authorization: 'Bearer x' }, status: 403, code: 'key-rejected' },
  { guards: 'a publication with an empty change', path: '/v1/configuration', body: '{"author":"a","changes":[null]}', headers: { authorization: `Bearer ${OPERATOR}` }, status: 422, code: 'invalid-configuration' },
  { guards: 'a publication of an unknown kind', path: '/v1/configuration', body: '{"author":"a","changes":[{"kind":"x","name":"y","value":null}]}', headers: { authorization: `Bearer ${OPERATOR}` }, status: 422, code: 'invalid-configuration' }
]

for (const entry of invalidRequests) {
  test(`API server: ${entry.guards} is refused with a problem document and never dispatched`, async () => {
    events.length = 0
    const result = await post(entry.path, entry.body, entry.headers)
    assert.deepEqual([result.status, result.body.code, result.body.verdict], [entry.status, entry.code, 'not-run'])
    assert.equal(result.type, 'application/problem+json')
    assert.deepEqual(events, [])
  })
}

const responseCases: readonly { readonly guards: string, readonly response: SubmissionResponse, readonly status: number, readonly verdict: string | undefined, readonly retryAfter?: string }[] = [
  { guards: 'the complete output reaches the caller', response: { type: 'succeeded', output: { metres: 3 } }, status: 200, verdict: undefined },
  { guards: 'failed work is distinguished from a refusal', response: { type: 'failed', reason: 'exit code 3', verdict: 'ran' }, status: 502, verdict: 'ran' },
  { guards: 'an unknown outcome is not reported as not run', response: { type: 'refused', refusal: { reason: 'outcome-unknown', detail: 'x' }, verdict: 'may-have-run' }, status: 504, verdict: 'may-have-run' },
  { guards: 'a refusal because of overload has a Retry-After header', response: { type: 'refused', refusal: { reason: 'overloaded', retryAfterMs: 1_500 }, verdict: 'not-run' }, status: 429, verdict: 'not-run', retryAfter: '2' }
]

for (const entry of responseCases) {
  test(`API server: ${entry.guards}`, async () => {
    nextResponse = entry.response
    const result = await post('/v1/requests', JSON.stringify(valid))
    assert.deepEqual([result.status, result.body.verdict, result.body.work], [entry.status, entry.verdict, 'g0-n1'])
    assert.equal(result.retryAfter, entry.retryAfter ?? 'undefined')
    if (entry.response.type === 'succeeded') assert.deepEqual(result.body.output, entry.response.output)
  })
}

test('API server: the member is notified when a caller disconnects', async () => {
  events.length = 0
  const waiting = callers.submit({ suffix: 's', hasIdempotencyKey: false, credential: { type: 'none' }, submission: { kind: 'request', queue: 'q', count: 1, family: 'q', resources: { cpuMillis: 0, memoryMiB: 0, accelerators: 0, slots: 1, connections: 0 }, expectedMs: 0, urgent: false, idempotent: false, payload: null, timeoutMs: 1 } })
  waiting.abandon()
  assert.deepEqual(events.map((event) => event.type), ['caller-submitted', 'caller-gone'])
})
