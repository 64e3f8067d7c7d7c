import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { KvServer } from '../../platform/standin/kv-server.ts'

type Call = { readonly method: 'GET' | 'POST' | 'DELETE', readonly path: string, readonly body?: unknown, readonly afterMs?: number }

type Case = {
  /** The sentence of the platform's page that the stand-in follows. */
  readonly sentence: string
  /** Applied in order to a store with the revision 1 for `a` and 2 for `servers/w1`. */
  readonly calls: readonly Call[]
  readonly status: number
  /** Fields of the last response. */
  readonly fields?: Readonly<Record<string, unknown>>
}

const TTL_MS = 1_000
const VALUE = Buffer.from('v').toString('base64')
const ITEM = { key: 'a', value: VALUE, revision: 1, created: 1, lease: 0 }

function read (path: string): Call {
  return { method: 'GET', path }
}

function post (path: string, body: unknown = {}, afterMs = 0): Call {
  return { method: 'POST', path, body, afterMs }
}

function transact (fields: { readonly precondition?: unknown, readonly puts?: unknown, readonly remove?: unknown }): Call {
  return post('/kv-txn', { precondition: [], puts: [], remove: [], ...fields })
}

function createPuts (count: number, value = VALUE): readonly unknown[] {
  return Array.from({ length: count }, (_, index) => ({ key: `many/${String(index).padStart(4, '0')}`, value }))
}

const CASES: readonly Case[] = [
  { sentence: '`GET /kv-key` with `key` in the query returns the item', calls: [read('/kv-key?key=a')], status: 200, fields: { ...ITEM, currentRev: 2 } },
  { sentence: 'or 404', calls: [read('/kv-key?key=b')], status: 404 },
  { sentence: 'returns `items` and `hasMore`; `currentRev`, the store\'s revision', calls: [read('/kv-range?prefix=a')], status: 200, fields: { items: [ITEM], hasMore: false, currentRev: 2 } },
  { sentence: 'at most about 500 items', calls: [...Array.from({ length: 16 }, (_, batch) => transact({ puts: createPuts(32).map((put) => ({ ...(put as object), key: `${batch}/${(put as { readonly key: string }).key}` })) })), read('/kv-range?prefix=')], status: 200, fields: { hasMore: true } },
  { sentence: 'or 1 MB', calls: [transact({ puts: createPuts(3, Buffer.alloc(600_000, 'v').toString('base64')) }), read('/kv-range?prefix=many/')], status: 200, fields: { hasMore: true } },
  { sentence: 'The next page begins after the key given in `after`', calls: [read('/kv-range?prefix=&after=a')], status: 200, fields: { items: [{ ...ITEM, key: 'servers/w1', revision: 2, created: 2 }] } },
  { sentence: '`revision` (its last change), `created` (its creation)', calls: [transact({ puts: [{ key: 'a', value: VALUE }] }), read('/kv-key?key=a')], status: 200, fields: { revision: 3, created: 1 } },
  { sentence: '`lease` (0: none)', calls: [post('/kv-lease', { ttlMs: TTL_MS }), transact({ puts: [{ key: 'b', value: VALUE, lease: 1 }] }), read('/kv-key?key=b')], status: 200, fields: { lease: 1, created: 3 } },
  { sentence: 'Each event is either an item as it was written', calls: [read('/kv-watch?prefix=a&after=0&waitMs=0')], status: 200, fields: { events: [ITEM], currentRev: 2 } },
  { sentence: 'or `key`, `revision` and `deleted`', calls: [transact({ remove: ['a'] }), read('/kv-watch?prefix=a&after=2&waitMs=0')], status: 200, fields: { events: [{ key: 'a', revision: 3, deleted: true }], currentRev: 3 } },
  { sentence: '`waitMs` (whole milliseconds', calls: [read('/kv-watch?prefix=a&after=2&waitMs=0.5')], status: 400 },
  { sentence: 'at most 30,000)', calls: [read('/kv-watch?prefix=a&after=2&waitMs=30001')], status: 400 },
  { sentence: 'accepts at most 32 entries', calls: [transact({ puts: createPuts(32), remove: ['a'] })], status: 400 },
  { sentence: 'a revision of 0 means that the key does not exist', calls: [transact({ precondition: [{ key: 'a', revision: 0 }] })], status: 412, fields: { items: [ITEM] } },
  { sentence: '412 with the `items` of `precondition` in their current state', calls: [transact({ precondition: [{ key: 'a', revision: 7 }, { key: 'b', revision: 8 }] })], status: 412, fields: { items: [ITEM] } },
  { sentence: '200 with `revision`', calls: [transact({ precondition: [{ key: 'a', revision: 1 }], puts: [{ key: 'b', value: VALUE }] })], status: 200, fields: { revision: 3 } },
  // The stand-in answered 412, so that a member took the end of its own lease for the change of another.
  { sentence: '404 means that no such lease exists', calls: [transact({ puts: [{ key: 'b', value: VALUE, lease: 9 }] })], status: 404 },
  { sentence: '`ttlMs` (from `minTtlMs`', calls: [post('/kv-lease', { ttlMs: 1 })], status: 200, fields: { ttlMs: TTL_MS } },
  { sentence: 'to ten minutes)', calls: [post('/kv-lease', { ttlMs: 700_000 })], status: 200, fields: { ttlMs: 600_000 } },
  { sentence: 'renews the lease (404: it has ended)', calls: [post('/kv-lease', { ttlMs: TTL_MS }), post('/kv-keep/1', undefined, TTL_MS + 50)], status: 404 },
  { sentence: 'its keys are removed when it ends', calls: [post('/kv-lease', { ttlMs: TTL_MS }), transact({ puts: [{ key: 'b', value: VALUE, lease: 1 }] }), { method: 'DELETE', path: '/kv-lease-end/1' }, read('/kv-key?key=b')], status: 404 },
  { sentence: '`key` (at most 200 bytes)', calls: [transact({ puts: [{ key: 'k'.repeat(201), value: VALUE }] })], status: 400 },
  { sentence: 'The system may not write keys under `op/`', calls: [transact({ puts: [{ key: 'op/config', value: VALUE }] })], status: 403 },
  { sentence: 'and `servers/` (403)', calls: [transact({ remove: ['servers/w1'] })], status: 403 }
]

for (const { sentence, calls, status, fields = {} } of CASES) {
  test(`stand-in store: ${sentence}`, async () => {
    await withServer(async (kv) => {
      let last: Answer = { status: 0, fields: {} }
      for (const call of calls) last = await send(kv, call)
      assert.deepEqual({ status: last.status, fields: pick(last.fields, Object.keys(fields)) }, { status, fields })
    })
  })
}

test('stand-in store: a 410 response means that this history is no longer available, and a waiting watch may be cut', async () => {
  await withServer(async (kv) => {
    const watch = send(kv, read('/kv-watch?prefix=a&after=1&waitMs=5000'))
    await wait(50)
    kv.dropHistory()
    assert.equal((await watch).status, 410)
    assert.equal((await send(kv, read('/kv-watch?prefix=a&after=2&waitMs=0'))).status, 200)
  })
})

for (const { pausesLeases, status } of [{ pausesLeases: true, status: 200 }, { pausesLeases: false, status: 404 }]) {
  test(`stand-in store: while it is down, leases ${pausesLeases ? 'pause' : 'expire'}`, async () => {
    await withServer(async (kv) => {
      await send(kv, post('/kv-lease', { ttlMs: TTL_MS }))
      kv.pausesLeases = pausesLeases
      kv.mode = 'busy'
      await wait(TTL_MS + 50)
      kv.mode = 'up'
      assert.equal((await send(kv, post('/kv-keep/1'))).status, status)
    })
  })
}

for (const refusal of [503, 429] as const) {
  test(`stand-in store: may reject some machines (${refusal}) while it serves the other machines`, async () => {
    await withServer(async (kv) => {
      const refused = await kv.openEndpoint()
      const served = await kv.openEndpoint()
      refused.refusal = refusal
      assert.equal((await send(refused, read('/kv-key?key=a'))).status, refusal)
      assert.equal((await send(served, read('/kv-key?key=a'))).status, 200)
      refused.refusal = undefined
      assert.equal((await send(refused, read('/kv-key?key=a'))).status, 200)
    })
  })
}

// A late grant that counted from the arrival of the call would end before its holder expects.
test('stand-in store: a lease that is granted late runs from then', async () => {
  await withServer(async (kv) => {
    kv.disturbance = async (_request, serve) => {
      await wait(TTL_MS)
      return serve()
    }
    await send(kv, post('/kv-lease', { ttlMs: TTL_MS }))
    kv.disturbance = undefined
    assert.equal((await send(kv, post('/kv-keep/1'))).status, 200)
  })
})

// A closed connection told the member at once that the response was lost.
test('stand-in store: a connection on which a response is lost returns nothing further', async () => {
  await withServer(async (kv) => {
    kv.responsesToLose = 1
    const lost = send(kv, transact({ puts: [{ key: 'b', value: VALUE }] })).then(() => 'answered', () => 'closed')
    assert.equal(await Promise.race([lost, wait(300, 'silent')]), 'silent')
    assert.equal((await send(kv, read('/kv-key?key=b'))).status, 200)
  })
})

type Answer = { readonly status: number, readonly fields: Readonly<Record<string, unknown>> }

async function send ({ address }: { readonly address: string }, { method, path, body, afterMs = 0 }: Call): Promise<Answer> {
  await wait(afterMs)
  const response = await request(`http://${address}${path}`, { method, body: body === undefined ? null : JSON.stringify(body) })
  const text = await response.body.text()
  return { status: response.statusCode, fields: text === '' ? {} : JSON.parse(text) }
}

async function withServer (play: (kv: KvServer) => Promise<void>): Promise<void> {
  const kv = await KvServer.listen()
  kv.put('a', 'v')
  kv.put('servers/w1', 'v')
  try {
    await play(kv)
  } finally {
    kv.close()
  }
}

function pick (fields: Readonly<Record<string, unknown>>, keys: readonly string[]): Readonly<Record<string, unknown>> {
  return Object.fromEntries(keys.map((key) => [key, fields[key]]))
}
