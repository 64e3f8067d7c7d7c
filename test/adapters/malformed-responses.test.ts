import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { isHostListing, isStoreResponse, isTargetResponse } from '../../src/adapters/response-guards.ts'
import { HttpHostList } from '../../src/adapters/http-host-list.ts'
import { HttpStore } from '../../src/adapters/http-store.ts'
import { HttpTargetClient } from '../../src/adapters/http-target-client.ts'
import type { StoreResponse, StoreCall } from '../../src/ports/store.ts'
import type { TargetResponse, TargetCall } from '../../src/ports/target-client.ts'
import { createTarget, createWork } from '../standins/fixtures.ts'
import { createRefusedAddress, serveBytes } from './raw-server.ts'

const TRANSACT: StoreCall = { type: 'transact', compares: [], puts: [{ key: 'a', value: '1' }], deletes: [] }
const START: TargetCall = { type: 'start', group: 0, epoch: 1, lease: 1, taskId: 'g0-a/0', attempt: 1, work: createWork('g0-a', {}) }

function formatHttpResponse (body: string, status = '200 OK', length = Buffer.byteLength(body)): string {
  return `HTTP/1.1 ${status}\r\ncontent-length: ${length}\r\nconnection: close\r\n\r\n${body}`
}

const CASES = [
  { guards: 'no JSON', bytes: formatHttpResponse('<html>'), reason: 'malformed-answer' },
  { guards: 'no body', bytes: formatHttpResponse(''), reason: 'malformed-answer' },
  { guards: 'another shape', bytes: formatHttpResponse('{"answer":{"type":"transact","committed":"yes"}}'), reason: 'malformed-answer' },
  { guards: 'the response to a call of another type', bytes: formatHttpResponse('{"answer":{"type":"renew-lease","alive":true}}'), reason: 'malformed-answer' },
  { guards: 'a type that cannot be turned into a string', bytes: formatHttpResponse('{"answer":{"type":{"toString":1}}}'), reason: 'malformed-answer' },
  { guards: 'an unknown status', bytes: formatHttpResponse('{}', '500 Internal Server Error'), reason: 'malformed-answer' },
  { guards: 'bytes that are not HTTP', bytes: 'SSH-2.0-x\r\n\r\n', reason: 'malformed-answer' },
  { guards: 'an oversized response', bytes: formatHttpResponse(`"${'x'.repeat(17_000_000)}"`), reason: 'malformed-answer' },
  { guards: 'a truncated response', bytes: formatHttpResponse('{"answer":', '200 OK', 1_000), reason: 'unavailable' },
  { guards: 'a connection that closes without a response', bytes: '', reason: 'unavailable' }
]

for (const { guards, bytes, reason } of CASES) {
  test(`a malformed response is returned as a failure with an unknown outcome, not thrown: ${guards}`, async () => {
    const server = await serveBytes(bytes)
    const address = `http://${server.address}`
    const [store, client, hosts] = [HttpStore.create({ address }), HttpTargetClient.create(), HttpHostList.create({ address })]
    const results = [await store.call(TRANSACT), await client.call(createTarget('a', address), START), await hosts.read()]
    for (const adapter of [store, client, hosts]) adapter.close()
    await server.close()
    const verdicts = [{ verdict: 'may-have-applied' }, { verdict: 'may-have-run' }, {}]
    assert.deepEqual(results.map((result) => result._unsafeUnwrapErr()), verdicts.map((verdict) => ({ reason, ...verdict })))
  })
}

test('a call that fails because of a refused connection or a malformed address has no effect', async () => {
  const client = HttpTargetClient.create()
  for (const address of [`http://${await createRefusedAddress()}`, 'nonsense', 'file:///etc', 'http://']) {
    const store = HttpStore.create({ address })
    assert.deepEqual((await store.call(TRANSACT))._unsafeUnwrapErr(), { reason: 'unavailable', verdict: 'not-applied' })
    assert.deepEqual((await client.call(createTarget('a', address), START))._unsafeUnwrapErr(), { reason: 'unavailable', verdict: 'not-run' })
    store.close()
  }
  client.close()
})

const TASK = { taskId: 'g0-a/0', attempt: 1, work: createWork('g0-a', {}) }
const ENTRY = { key: 'a', value: '1', version: 1 }
const STORE_RESPONSES: StoreResponse[] = [
  { type: 'read', entries: [ENTRY], more: false, version: 1 },
  { type: 'transact', committed: false, current: [ENTRY], version: 1 },
  { type: 'grant-lease', lease: 'lease-1' },
  { type: 'renew-lease', alive: true },
  { type: 'watch', changes: [{ type: 'put', entry: ENTRY }, { type: 'deleted', key: 'a', version: 2 }], version: 2, compacted: false }
]
const TARGET_RESPONSES: TargetResponse[] = [
  { type: 'adopt', running: [{ ...TASK, startedAt: 1 }], ended: [{ ...TASK, outcome: { type: 'stopped', checkpointed: true } }], sequence: 1, upMs: 5, capacity: TASK.work.resources },
  { type: 'sync', ended: [{ ...TASK, outcome: { type: 'failed', reason: 'x' } }], sequence: 1, usage: [{ taskId: 'g0-a/0', resources: TASK.work.resources }], running: 0 },
  { type: 'start', started: true },
  { type: 'control', found: true }
]
/** Returns all copies of a JSON value in which one field is missing at any depth. The payload is kept, because it may be missing. */
function copiesWithoutOneField (value: unknown): unknown[] {
  if (typeof value !== 'object' || value === null) return []
  return Object.entries(value).flatMap(([name, field]) => {
    const changed = copiesWithoutOneField(field).map((copy) => Array.isArray(value) ? value.with(Number(name), copy) : { ...value, [name]: copy })
    return Array.isArray(value) || name === 'payload' ? changed : [...changed, { ...value, [name]: undefined }]
  })
}

const GUARD_CASES = [
  ...STORE_RESPONSES.map((response) => ({ response, guard: isStoreResponse })),
  ...TARGET_RESPONSES.map((response) => ({ response, guard: isTargetResponse })),
  { response: { targets: [createTarget('a', 'http://127.0.0.1:1')], ageMs: 5 }, guard: isHostListing }
]

for (const { response, guard } of GUARD_CASES) {
  test(`a response without any one of its fields is rejected: ${'type' in response ? response.type : 'host list'}`, () => {
    assert.equal(guard(response), true)
    const copies = copiesWithoutOneField(response)
    assert.ok(copies.length > 0)
    assert.deepEqual(copies.filter((copy) => guard(copy)), [])
  })
}

test('guards never throw (property)', () => {
  fc.assert(fc.property(fc.jsonValue(), fc.constantFrom('type', 'kind', 'answer'), (value, name) => {
    for (const guard of [isStoreResponse, isTargetResponse, isHostListing]) {
      assert.equal(guard({ [name]: value }), false)
      assert.equal(typeof guard(value), 'boolean')
    }
  }), { seed: 11 })
})
