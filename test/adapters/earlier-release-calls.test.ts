import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Client, Metadata, Server, ServerCredentials, credentials } from '@grpc/grpc-js'
import type { ServerUnaryCall, sendUnaryData } from '@grpc/grpc-js'
import { MemberCallClient, MemberCallServer } from '../../src/adapters/grpc-member-calls.ts'
import type { RejectedCall } from '../../src/adapters/grpc-member-calls.ts'
import { decodeMessage, encodeMessage } from '../../src/adapters/message-codec.ts'
import { decodeMessagePack, encodeMessagePack, isMessagePack } from '../../src/adapters/message-pack.ts'
import type { MemberCall, MemberResponse } from '../../src/controller/member-call.ts'
import { buildJob } from '../workflow/harness.ts'
import { TEXTS } from './texts.ts'

const TIMEOUT_MS = 5_000
const HOST = '127.0.0.1'
const PEER = { member: 'm1', address: 'm1:1', failureDomain: 'east', cores: 1.35 }
const WELCOME: MemberResponse = { type: 'welcome', peers: [PEER], waiting: { short: 3 }, overloads: [] }

/** How members of each release read and write calls. */
const RELEASES = {
  'one with MessagePack': { encode: encodeMessagePack, decode: decodeStrictly },
  'one with JSON': { encode: encodeMessage, decode: decodeMessage }
} as const

/** As the codec of the earlier release, which takes the first byte of JSON for a number. */
function decodeStrictly (bytes: Buffer): unknown {
  if (!isMessagePack(bytes)) throw new RangeError('Extra 40 of 41 byte(s) found at buffer[1]')
  return decodeMessagePack(bytes)
}

function createMethod ({ encode, decode }: typeof RELEASES[keyof typeof RELEASES]): { readonly path: string, readonly requestStream: false, readonly responseStream: false, readonly requestSerialize: (call: MemberCall) => Buffer, readonly requestDeserialize: (bytes: Buffer) => MemberCall, readonly responseSerialize: (response: MemberResponse) => Buffer, readonly responseDeserialize: (bytes: Buffer) => MemberResponse } {
  return {
    path: '/damaskfield.Member/Call',
    requestStream: false,
    responseStream: false,
    requestSerialize: encode,
    requestDeserialize: (bytes) => decode(bytes) as MemberCall,
    responseSerialize: encode,
    responseDeserialize: (bytes) => decode(bytes) as MemberResponse
  }
}

/** Serves calls as a member of a release does; `port` 0 for a free one. */
async function serveAs (release: keyof typeof RELEASES, received: MemberCall[], port = 0): Promise<{ readonly port: number, readonly close: () => void }> {
  const server = new Server()
  server.addService({ call: createMethod(RELEASES[release]) }, {
    call: ({ request }: ServerUnaryCall<MemberCall, MemberResponse>, respond: sendUnaryData<MemberResponse>) => {
      received.push(request)
      respond(null, WELCOME)
    }
  })
  const bound = await new Promise<number>((resolve, reject) => server.bindAsync(`${HOST}:${port}`, ServerCredentials.createInsecure(), (error, listening) => error === null ? resolve(listening) : reject(error)))
  return { port: bound, close: () => server.forceShutdown() }
}

const releases = Object.keys(RELEASES) as ReadonlyArray<keyof typeof RELEASES>

for (const release of releases) {
  // In a rolling replacement, each call was rejected and callers got 503 for the number of waiting jobs.
  test(`member calls: guards against the failure that a member of an earlier release can't be called: ${release}`, async () => {
    const received: MemberCall[] = []
    const server = await serveAs(release, received)
    const client = MemberCallClient.create({ onRejected: (rejected) => assert.fail(JSON.stringify(rejected)) })
    const calls: readonly MemberCall[] = [{ type: 'hello', peer: PEER }, { type: 'stand-down', term: 7 }, { type: 'confirm-term', term: 7 }, { type: 'cancel-stored', id: 'a1' }]
    try {
      for (const call of calls) assert.deepEqual((await client.call(`${HOST}:${server.port}`, call, TIMEOUT_MS))._unsafeUnwrap(), WELCOME)
      assert.deepEqual(received, calls)
    } finally {
      client.close()
      server.close()
    }
  })

  // The leader of the new release didn't know of the others, and they not of the jobs that wait.
  test(`member calls: guards against the failure that a member of an earlier release can't call: ${release}`, async () => {
    const received: MemberCall[] = []
    const server = await MemberCallServer.listen({ address: `${HOST}:0`, onCall: async (call) => { received.push(call); return WELCOME }, onUnreadableCall: (reason) => assert.fail(reason) })
    const client = new Client(`${HOST}:${server.port}`, credentials.createInsecure())
    const method = createMethod(RELEASES[release])
    const call: MemberCall = { type: 'hello', peer: PEER }
    try {
      const response = await new Promise((resolve, reject) => client.makeUnaryRequest(method.path, method.requestSerialize, method.responseDeserialize, call, new Metadata(), { deadline: Date.now() + TIMEOUT_MS }, (error, value) => error === null ? resolve(value) : reject(error)))
      assert.deepEqual(response, WELCOME)
      assert.deepEqual(received, [call])
    } finally {
      client.close()
      server.close()
    }
  })
}

for (const { name, text } of TEXTS) {
  // A job was started with another payload than its caller had sent; what isn't announced is read from the store.
  test(`member calls: guards against the failure that a leader of an earlier release gets an announced job with another payload: ${name}`, async () => {
    const received: MemberCall[] = []
    const server = await serveAs('one with MessagePack', received)
    const rejections: RejectedCall[] = []
    const client = MemberCallClient.create({ onRejected: (rejected) => rejections.push(rejected) })
    const call: MemberCall = { type: 'job-stored', definition: { ...buildJob('a', { count: 2 }), payload: text } }
    const isUnchanged = !/\p{Surrogate}/u.test(text) && !text.startsWith('\ufeff')
    try {
      for (let attempt = 0; attempt < 2; attempt += 1) assert.equal((await client.call(`${HOST}:${server.port}`, call, TIMEOUT_MS)).isOk(), isUnchanged)
      assert.deepEqual(received.map((item) => item.type === 'job-stored' ? item.definition.payload : ''), isUnchanged ? [text, text] : [])
      assert.deepEqual(rejections.map(({ type }) => type), isUnchanged ? [] : ['job-stored'], 'a rejection is told once')
    } finally {
      client.close()
      server.close()
    }
  })
}

// A call with a text that the codec of the member before can't pass was sent in no other one.
test('member calls: guards against the failure that the codec of a member outlives it', async () => {
  const received: MemberCall[] = []
  const before = await serveAs('one with MessagePack', received)
  const address = `${HOST}:${before.port}`
  const client = MemberCallClient.create()
  const call: MemberCall = { type: 'cancel-stored', id: `\ufeff${'a'.repeat(300)}` }
  try {
    assert.ok((await client.call(address, { type: 'phase', id: 'a1' }, TIMEOUT_MS)).isOk())
    before.close()
    const after = await serveAs('one with JSON', received, before.port)
    try {
      const deadline = Date.now() + TIMEOUT_MS
      while ((await client.call(address, call, TIMEOUT_MS)).isErr() && Date.now() < deadline) await new Promise((resolve) => setTimeout(resolve, 50))
      assert.deepEqual(received.at(-1), call)
    } finally {
      after.close()
    }
  } finally {
    client.close()
  }
})

// Nothing was logged, neither by the member that called nor by the one that was called.
test('member calls: guards against the failure that a call that can\'t be read leaves no trace', async () => {
  const reasons: string[] = []
  const server = await MemberCallServer.listen({ address: `${HOST}:0`, onCall: async () => WELCOME, onUnreadableCall: (reason) => reasons.push(reason) })
  const client = new Client(`${HOST}:${server.port}`, credentials.createInsecure())
  try {
    await new Promise<void>((resolve, reject) => client.makeUnaryRequest('/damaskfield.Member/Call', (bytes: Buffer) => bytes, (bytes) => bytes, Buffer.from([0xc1]), new Metadata(), (error) => error === null ? reject(new Error('answered')) : resolve()))
    assert.equal(reasons.length, 1)
  } finally {
    client.close()
    server.close()
  }
})
