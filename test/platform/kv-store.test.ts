import assert from 'node:assert/strict'
import { test } from 'node:test'
import { HttpClient } from '../../platform/http-client.ts'
import { KvStore } from '../../platform/kv-store.ts'
import { JsonServer } from '../../platform/standin/json-server.ts'
import type { StoreCall } from '../../src/ports/store.ts'

const READ = { type: 'read', prefix: 'jobs/' } as const
const WATCH = { type: 'watch', prefixes: ['jobs/'], afterVersion: 7, waitMs: 0 } as const

const malformed: ReadonlyArray<{ readonly scenario: string, readonly call: StoreCall, readonly body: unknown }> = [
  { scenario: 'a read without items', call: READ, body: { currentRev: 8 } },
  { scenario: 'a read without a revision', call: READ, body: { items: [] } },
  { scenario: 'a watch without events', call: WATCH, body: { currentRev: 8 } },
  { scenario: 'a watch without a revision', call: WATCH, body: { events: [] } },
  { scenario: 'an empty body', call: READ, body: undefined }
]

for (const { scenario, call, body } of malformed) {
  // A malformed response was taken for an empty store: no job was known, and callers were told that theirs did not exist.
  test(`key-value store: guards against the failure that a malformed response looks like an empty store: ${scenario}`, async () => {
    const server = await JsonServer.listen(async () => ({ status: 200, body }))
    const client = HttpClient.create(server.address, 1)
    try {
      const response = await KvStore.create(client).call(call)
      assert.deepEqual(response.isErr() ? response.error.reason : response.value, 'malformed-answer')
    } finally {
      client.close()
      server.close()
    }
  })
}
