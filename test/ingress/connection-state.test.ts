import assert from 'node:assert/strict'
import { test } from 'node:test'
import { parseSettings } from '../../platform/settings.ts'
import { createMemberSettings } from '../../platform/standin/member-settings.ts'
import { Budget } from '../../src/ingress/budget.ts'
import { BodyBuffer } from '../../src/ingress/body-buffer.ts'
import { chooseVictim, findOverdue } from '../../src/ingress/connection-state.ts'
import type { ConnectionState, Need } from '../../src/ingress/connection-state.ts'
import { computeLimits } from '../../src/ingress/ingress-limits.ts'
import { DEFAULT_INGRESS_SETTINGS } from '../../src/ingress/ingress-settings.ts'
import { findBoundary } from '../../src/ingress/request-boundary.ts'

const HOST = { memoryBytes: 250_000_000, descriptors: 4_100 }
const LIMITS = computeLimits(DEFAULT_INGRESS_SETTINGS, HOST)
type Phase = ConnectionState['phase']

function state (phase: Phase, sinceMs: number, heldBytes = 0, unreadBytes = 0): ConnectionState {
  return { phase, sinceMs, heldBytes, unreadBytes }
}

const victims: ReadonlyArray<{ readonly guards: string, readonly need: Need, readonly states: readonly ConnectionState[], readonly expected: number }> = [
  { guards: 'a newer body is given up before the oldest', need: 'bytes', states: [state('receiving', 9, 10), state('receiving', 5, 1), state('receiving', 7, 99)], expected: 1 },
  { guards: 'an unread response is given up before an unfinished body', need: 'bytes', states: [state('unread', 1, 0, 999), state('receiving', 9, 1)], expected: 1 },
  { guards: 'a little unread response is given up before a large one', need: 'bytes', states: [state('unread', 1, 0, 10), state('unread', 9, 0, 20)], expected: 1 },
  { guards: 'a connection that holds nothing is given up for memory', need: 'bytes', states: [state('receiving', 1), state('idle', 1), state('unused', 1)], expected: -1 },
  { guards: 'a request that is served is given up for another request', need: 'request', states: [state('serving', 1, 50), state('unread', 1)], expected: -1 },
  { guards: 'a response that nobody reads keeps its place', need: 'request', states: [state('serving', 1), state('unread', 9, 0, 5)], expected: 1 },
  { guards: 'an idle caller is given up before one that never sent a request', need: 'descriptor', states: [state('idle', 1), state('unused', 9), state('unread', 1, 0, 9)], expected: 1 },
  { guards: 'a recent caller is given up before one that is long idle', need: 'descriptor', states: [state('idle', 9), state('idle', 4)], expected: 1 },
  { guards: 'a request that is served is given up for a descriptor', need: 'descriptor', states: [state('serving', 1)], expected: -1 }
]

for (const { guards, need, states, expected } of victims) {
  test(`ingress, victim: guards against the failure that ${guards}`, () => {
    assert.equal(states.indexOf(chooseVictim(states, (candidate) => candidate, need)!), expected)
  })
}

const ages: ReadonlyArray<{ readonly guards: string, readonly phase: Phase, readonly ageMs: number, readonly stoppingMs?: number, readonly expected: string | undefined }> = [
  { guards: 'a caller that is idle for a minute loses its connection', phase: 'idle', ageMs: 60_000, expected: undefined },
  { guards: 'idle connections stay for ever', phase: 'idle', ageMs: 75_001, expected: 'idle' },
  { guards: 'connections without a request stay for ever', phase: 'unused', ageMs: 75_001, expected: 'idle' },
  { guards: 'a body that is slowed five times on a link silent for 9 s is given up', phase: 'receiving', ageMs: 9_000 + 5 * 3_000, expected: undefined },
  { guards: 'an endless request stays for ever', phase: 'receiving', ageMs: 30_001, expected: 'request-timeout' },
  { guards: 'a response that nobody reads stays for ever', phase: 'unread', ageMs: 60_001, expected: 'response-timeout' },
  { guards: 'a request that is served is given up for its age', phase: 'serving', ageMs: 1e9, expected: undefined },
  { guards: 'a stop breaks off a request that is served', phase: 'serving', ageMs: 9_000, stoppingMs: 9_000, expected: undefined },
  { guards: 'a stop breaks off a request that is arriving at once', phase: 'receiving', ageMs: 1_000, stoppingMs: 1_000, expected: undefined },
  { guards: 'an unfinished request keeps the server from stopping', phase: 'receiving', ageMs: 1_600, stoppingMs: 1_600, expected: 'stopping' },
  { guards: 'an unread response keeps the server from stopping', phase: 'unread', ageMs: 1_600, stoppingMs: 1_600, expected: 'stopping' },
  { guards: 'a caller that never closes its side keeps a closed connection', phase: 'lingering', ageMs: 2_001, expected: 'lingering' }
]

for (const { guards, phase, ageMs, stoppingMs, expected } of ages) {
  test(`ingress, times: guards against the failure that ${guards}`, () => {
    assert.equal(findOverdue(state(phase, 0), LIMITS, ageMs, stoppingMs === undefined ? undefined : ageMs - stoppingMs), expected)
  })
}

test('ingress, limits: guards against the failure that the smallest host gives callers more than it has, or too little for ordinary ones', () => {
  assert.deepEqual([LIMITS.maxConnections, LIMITS.heldBytes, LIMITS.organisationRequests], [1_000, 25_000_000, 300])
  assert.ok(LIMITS.organisationBytes >= 40 * 262_144, 'forty bodies of the largest size')
})

const descriptorLimits = [
  { descriptors: 4_100, expected: 1_000 },
  { descriptors: 2_000, expected: 1_000 },
  { descriptors: 1_024, expected: 512 },
  { descriptors: 100, expected: 50 },
  { descriptors: 10, expected: 8 }
]
for (const { descriptors, expected } of descriptorLimits) {
  test(`ingress, limits: guards against the failure that ordinary callers displace each other where the operating system tells few descriptors: ${descriptors}`, () => {
    assert.equal(computeLimits(DEFAULT_INGRESS_SETTINGS, { ...HOST, descriptors }).maxConnections, expected)
  })
}

test('platform settings: guards against the failure that the limits of the host count in place of those of the process', () => {
  const settings = parseSettings(JSON.stringify({ ...createMemberSettings({ name: 'm1', host: '127.0.0.1', failureDomain: 'east', storeAddress: '127.0.0.1:1', advisorAddress: '127.0.0.1:2', cores: 1 }) as object, limits: { memoryMb: 250, fileDescriptors: 4_100 } }))
  assert.deepEqual(settings._unsafeUnwrap().resources, { memoryBytes: 250_000_000, descriptors: 4_100 })
})

test('ingress, budget: guards against the failure that one organisation takes everything, or that what has ended still counts', () => {
  const budget = Budget.create()
  const limits = { ...LIMITS, maxRequests: 4, organisationRequests: 2, heldBytes: 100, organisationBytes: 50 }
  for (const [organisation, bytes, requests] of [['a', 51, 3], [undefined, 40, 0], ['b', 1, 1]] as const) budget.add(organisation, bytes, requests)
  assert.deepEqual(['a', 'b', undefined].map((name) => budget.findRequestExcess(name, limits)), ['organisation-requests', undefined, undefined])
  assert.deepEqual(['a', 'b', undefined].map((name) => budget.findByteExcess(name, limits)), ['organisation-bytes', undefined, undefined])
  assert.equal(budget.findRequestExcess('b', limits, 0.5), 'requests')
  budget.add('b', 20, 1)
  assert.deepEqual([budget.findRequestExcess('b', limits), budget.findByteExcess('b', limits)], ['requests', 'bytes'])
  budget.add('a', -51, -3)
  assert.deepEqual([budget.findRequestExcess('a', limits), budget.findByteExcess('a', limits), budget.bytes], [undefined, undefined, 61])
})

const boundaries = [
  { guards: 'two requests are passed on together', text: 'GET / HTTP/1.1\r\n\r\nGET /', expected: 18 },
  { guards: 'requests with bare line feeds are passed on together', text: 'GET / HTTP/1.1\n\nGET /', expected: 16 },
  { guards: 'headers are cut', text: 'GET / HTTP/1.1\r\nA: b\r\nC', expected: 23 },
  { guards: 'an empty line at the end is overlooked', text: 'a\r\n\r\n', expected: 5 }
]

for (const { guards, text, expected } of boundaries) {
  test(`ingress, boundary: guards against the failure that ${guards}`, () => assert.equal(findBoundary(Buffer.from(text)), expected))
}

test('ingress, body: guards against the failure that a byte takes more than its place, or that a body grows past its limit', () => {
  const buffer = BodyBuffer.create(10_000)
  for (let index = 0; index < 10_000; index += 1) assert.ok(buffer.append(Buffer.from('x')))
  assert.equal(buffer.append(Buffer.from('x')), false)
  assert.deepEqual([buffer.capacity, buffer.toBytes().toString()], [10_000, 'x'.repeat(10_000)])
})
