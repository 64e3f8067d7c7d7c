import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { decodeMessagePack, encodeMessagePack, isMessagePack } from '../../src/adapters/message-pack.ts'

const SEED = 20261207
const RUNS = 500

/** Messages as the codec of the earlier release has written them, in base64. */
const written: ReadonlyArray<{ readonly name: string, readonly bytes: string, readonly message: object }> = [
  { name: 'a hello', bytes: 'gqR0eXBlpWhlbGxvpHBlZXKEpm1lbWJlcqJtMadhZGRyZXNzrTEwLjAuMC4xOjc0MjCtZmFpbHVyZURvbWFpbqRlYXN0pWNvcmVzyz/1mZmZmZma', message: { type: 'hello', peer: { member: 'm1', address: '10.0.0.1:7420', failureDomain: 'east', cores: 1.35 } } },
  { name: 'a response to it', bytes: 'hKR0eXBlp3dlbGNvbWWlcGVlcnORhKZtZW1iZXKibTKnYWRkcmVzc60xMC4wLjAuMjo3NDIwrWZhaWx1cmVEb21haW6kd2VzdKVjb3JlcwKnd2FpdGluZ4Klc2hvcnQDpGxvbmfOAAERcKlvdmVybG9hZHOQ', message: { type: 'welcome', peers: [{ member: 'm2', address: '10.0.0.2:7420', failureDomain: 'west', cores: 2 }], waiting: { short: 3, long: 70_000 }, overloads: [] } },
  { name: 'a request to stand down', bytes: 'gqR0eXBlqnN0YW5kLWRvd26kdGVybc8AAAABAAAAAQ==', message: { type: 'stand-down', term: 4_294_967_297 } },
  { name: 'a response to it', bytes: 'gqR0eXBlqnN0b29kLWRvd26pc3RhbmREb3dug6R0eXBlp3N0b3BwZWSqcXVpZXRGb3JNc8tAKQAAAAAAALB1bmNvbmZpcm1lZEZvck1zzQEs', message: { type: 'stood-down', standDown: { type: 'stopped', quietForMs: 12.5, unconfirmedForMs: 300 } } },
  { name: 'a phase without a value', bytes: 'gaR0eXBlpXBoYXNl', message: { type: 'phase' } },
  { name: 'all kinds of numbers', bytes: 'gaRsaXN03AAWAH/MgMz/zQEAzf//zgABAADO/////88AAAABAAAAAP/g0N/QgNH/f9GAANL//3//0oAAAADT/////3/////LP7mZmZmZmZrAw8I=', message: { list: [0, 127, 128, 255, 256, 65_535, 65_536, 4_294_967_295, 4_294_967_296, -1, -32, -33, -128, -129, -32_768, -32_769, -2_147_483_648, -2_147_483_649, 0.1, null, true, false] } },
  { name: 'texts of all lengths', bytes: `haVlbXB0eaClc2hvcnS/${'eHh4'.repeat(10)}eKZtaWRkbGXZIHh4${'eHh4'.repeat(10)}pGxvbmfaASx5${'eXl5'.repeat(99)}eXmiw6mk8J+ntQ==`, message: { empty: '', short: 'x'.repeat(31), middle: 'x'.repeat(32), long: 'y'.repeat(300), é: '\u{1f9f5}' } },
  { name: 'many fields', bytes: '3gARomswAKJrMQGiazIComszA6JrNASiazUFoms2BqJrNweiazgIoms5CaNrMTAKo2sxMQujazEyDKNrMTMNo2sxNA6jazE1D6NrMTYQ', message: Object.fromEntries(Array.from({ length: 17 }, (_, index) => [`k${index}`, index])) },
  { name: 'many items', bytes: 'gaRsaXN03AARAAECAwQFBgcICQoLDA0ODxA=', message: { list: Array.from({ length: 17 }, (_, index) => index) } }
]

for (const { name, bytes, message } of written) {
  // The hello of a member of the earlier release was rejected, and with it all that its callers ask of the leader.
  test(`MessagePack: guards against the failure that a message of the earlier release is read differently: ${name}`, () => {
    assert.deepEqual(decodeMessagePack(Buffer.from(bytes, 'base64')), message)
    assert.equal(isMessagePack(Buffer.from(bytes, 'base64')), true)
  })
}

/** Texts that the earlier release has changed when it sent them. */
const changed = [
  { name: 'an unpaired surrogate in a short text', bytes: 'gqR0eXBlrWNhbmNlbC1zdG9yZWSiaWSlYe2wgGI=' },
  { name: 'one in a longer text', bytes: 'gqR0eXBlrWNhbmNlbC1zdG9yZWSiaWTZRWZlbHQgbW90aWYgZmVsdCBtb3RpZiBmZWx0IG1vdGlmIGZlbHQgbW90aWYgZmVsdCBtb3RpZiBmZWx0IG1vdGlmIO+/vQ==' }
]

for (const { name, bytes } of changed) {
  // A job was started with another payload than its caller had sent.
  test(`MessagePack: guards against the failure that a text is taken over that its sender has changed: ${name}`, () => {
    assert.throws(() => decodeMessagePack(Buffer.from(bytes, 'base64')))
  })
}

for (const text of ['\ufeffa', `\ufeff${'a'.repeat(300)}`, 'a\udc00b', `${'a'.repeat(300)}\ud83e`, 'a\ufffd']) {
  // A job was started with another payload than its caller had sent.
  test(`MessagePack: guards against the failure that a text is sent that the earlier release changes when it reads it: ${JSON.stringify(text).slice(0, 12)}`, () => {
    assert.throws(() => encodeMessagePack({ payload: text }), /changed/)
    assert.throws(() => encodeMessagePack({ [text]: 1 }), /changed/)
  })
}

// Undefined fields are left out, and values without one are null, as in JSON.
test('MessagePack: guards against the failure that a message arrives changed', () => {
  const text = fc.string({ unit: 'binary' }).filter((value) => !value.startsWith('\ufeff') && !value.includes('\ufffd'))
  const message = fc.dictionary(text, fc.oneof(text, fc.integer(), fc.double({ noNaN: true, noDefaultInfinity: true }).map((value) => value + 0), fc.boolean(), fc.constant(null), fc.array(text), fc.dictionary(text, fc.integer(), { noNullPrototype: true })), { noNullPrototype: true })
  fc.assert(fc.property(message, (value) => {
    const bytes = encodeMessagePack({ ...value, missing: undefined })
    assert.deepEqual(decodeMessagePack(bytes), { ...value })
    assert.equal(isMessagePack(bytes), true)
  }), { seed: SEED, numRuns: RUNS })
})

// Bytes that announce more than there are must not make the process wait or take up memory.
test('MessagePack: guards against the failure that malformed bytes end in anything but an error', () => {
  const heads = [[0xdf, 0xff, 0xff, 0xff, 0xff], [0xdd, 0xff, 0xff, 0xff, 0xff], [0xdb, 0xff, 0xff, 0xff, 0xff], [0x81, 0x01, 0x01], [0xc1], [], [0x80, 0x80]]
  for (const head of heads) assert.throws(() => decodeMessagePack(Buffer.from(head)), Error)
  fc.assert(fc.property(fc.uint8Array({ maxLength: 40 }), (bytes) => {
    try {
      decodeMessagePack(Buffer.from(bytes))
    } catch (error) {
      assert.ok(error instanceof Error)
    }
  }), { seed: SEED, numRuns: RUNS })
})
