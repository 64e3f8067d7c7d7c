import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LruCache } from '../../src/util/lru-cache.ts'
import { KeyVerifier } from '../../src/util/key-verifier.ts'
import { createTeamKey, isOperatorKey, hashOperatorKey, parseTeamKey, redactKeys, verifySecret } from '../../src/util/team-key.ts'
import { parseIdempotencyKeyTime } from '../../src/util/idempotency-key.ts'
import { createUuidV7 } from '../../src/util/uuid-v7.ts'

const { text, key } = createTeamKey('stock')
const presented = parseTeamKey(text)!
const otherPresented = parseTeamKey(createTeamKey('stock').text)!

test('createTeamKey: the key is verified only with its own secret, and the stored part does not contain the secret', () => {
  assert.ok(verifySecret(presented.secret, key))
  assert.ok(!verifySecret(otherPresented.secret, key))
  assert.ok(!JSON.stringify(key).includes(presented.secret))
})

const malformedKeys = ['', 'dk_', 'dk_abcd_short', text.slice(0, -1), `${text}x`, text.toUpperCase(), `${text}\n`, 'dk_' + 'a'.repeat(100_000)]

for (const entry of malformedKeys) {
  test(`parseTeamKey refuses ${JSON.stringify(entry.slice(0, 12))} of length ${entry.length}`, () => {
    assert.equal(parseTeamKey(entry), undefined)
  })
}

test('redactKeys: the secrets of all keys in a text are replaced', () => {
  assert.equal(redactKeys(`a ${text} b ${text}`), `a dk_${key.id}_[secret] b dk_${key.id}_[secret]`)
})

test('KeyVerifier: a cached result is not used after the stored key is replaced', async () => {
  const verifier = KeyVerifier.create()
  assert.equal(verifier.getCached(presented, key), undefined)
  assert.equal(await verifier.verify(presented, key), 'valid')
  assert.equal(verifier.getCached(presented, key), 'valid')
  const replaced = { ...key, salt: '00'.repeat(16) }
  assert.equal(verifier.getCached(presented, replaced), undefined)
  assert.equal(await verifier.verify(presented, replaced), 'wrong')
  assert.equal(await verifier.verify({ id: key.id, secret: otherPresented.secret }, key), 'wrong')
  assert.equal(await verifier.verify(presented, { ...key, hash: '' }), 'wrong')
})

test('KeyVerifier: a flood of wrong keys is refused and does not grow the cache', async () => {
  const verifier = KeyVerifier.create({ maxCachedResults: 2, maxConcurrent: 1, maxQueued: 3 })
  const results = await Promise.all(Array.from({ length: 8 }, async (_, index) => await verifier.verify({ id: key.id, secret: `wrong-${index}` }, key)))
  assert.deepEqual(results, [...Array(4).fill('wrong'), ...Array(4).fill('busy')])
  assert.equal(verifier.cachedCount, 2)
})

test('KeyVerifier: concurrent checks of the same key share one computation', async () => {
  const verifier = KeyVerifier.create({ maxConcurrent: 1, maxQueued: 1 })
  const results = await Promise.all(Array.from({ length: 8 }, async () => await verifier.verify(presented, key)))
  assert.deepEqual(new Set(results), new Set(['valid']))
})

test('LruCache: the least recently used entry is evicted', () => {
  const map = LruCache.create<string, number>(2)
  map.set('a', 1)
  map.set('b', 2)
  map.get('a')
  map.set('c', 3)
  assert.deepEqual([map.get('a'), map.get('b'), map.get('c')], [1, undefined, 3])
})

test('isOperatorKey: only the key with the hash from the settings is accepted', () => {
  assert.ok(isOperatorKey('secret', hashOperatorKey('secret')))
  assert.ok(!isOperatorKey('Secret', hashOperatorKey('secret')))
  assert.ok(!isOperatorKey('secret', ''))
})

test('createUuidV7: version, variant and time are at the positions of RFC 9562', () => {
  assert.equal(createUuidV7(0x017f22e279b0, new Uint8Array(10).fill(0xff)), '017f22e2-79b0-7fff-bfff-ffffffffffff')
})

const keyTimeCases = [
  { guards: 'the example of RFC 9562', key: '017F22E2-79B0-7CC3-98C4-DC0C0C07398F', expected: 1645557742000 },
  { guards: 'the example of the ULID specification', key: '01ARZ3NDEKTSV4RRFFQ69G5FAV', expected: 1469922850259 },
  { guards: 'a UUID of version 4, which has no time', key: '017f22e2-79b0-4cc3-98c4-dc0c0c07398f', expected: undefined },
  { guards: 'a key of the caller', key: 'order-17', expected: undefined }
]

for (const { guards, key: text, expected } of keyTimeCases) {
  test(`parseIdempotencyKeyTime: ${guards}`, () => {
    assert.equal(parseIdempotencyKeyTime(text), expected)
  })
}

test('parseIdempotencyKeyTime: returns the time of a key that createUuidV7 created', () => {
  assert.equal(parseIdempotencyKeyTime(createUuidV7(1_700_000_000_123)), 1_700_000_000_123)
})
