import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import fc from 'fast-check'
import { assertProperty } from '../properties/assert-property.ts'
import { formatProblem } from '../../src/model/problem.ts'
import { checkSettings, formatSettings, SETTINGS_FILE_LIMIT_BYTES, SETTINGS_TABLE, settingsPage, type Settings } from '../../src/settings/index.ts'

const MINIMAL = {
  member: { id: 'entry-1', failureDomain: 'bole' },
  peers: { advertise: '10.0.0.1:8090' },
  store: { address: 'http://127.0.0.1:7001' },
  hostList: { address: 'http://127.0.0.1:7002' },
  operatorKeyHash: 'a'.repeat(64)
}

function formatWithField (pointer: string, value: unknown): string {
  const copy = structuredClone(MINIMAL) as Record<string, unknown>
  const segments = pointer.slice(1).split('/')
  let parent = copy
  for (const segment of segments.slice(0, -1)) parent = (parent[segment] ??= {}) as Record<string, unknown>
  parent[segments.at(-1)!] = value
  return JSON.stringify(copy, null, 1)
}

const cases = [
  { guards: 'malformed JSON is reported with its line', text: '{\n "member": {\n  oops', expected: [['broken-json', '', 3]] },
  { guards: 'an empty file is refused', text: '', expected: [['broken-json', '', 1]] },
  { guards: 'a file over the size limit is not parsed', text: ' '.repeat(SETTINGS_FILE_LIMIT_BYTES + 1), expected: [['too-large', '', undefined]] },
  { guards: 'deep nesting does not exhaust the call stack', text: '['.repeat(100_000), expected: [['broken-json', '', 1]] },
  { guards: 'a list instead of an object is refused', text: '[]', expected: [['wrong-type', '', 1]] },
  { guards: 'a repeated field is reported instead of replacing the first one', text: JSON.stringify(MINIMAL).replace('{', '{"groups":2,\n"groups":3,'), expected: [['duplicate-key', '/groups', 2]] },
  { guards: 'for a mistyped field the nearest field is suggested', text: formatWithField('/timings/syncWaitMS', 5), expected: [['unknown-field', '/timings/syncWaitMS', 17]], nearest: 'syncWaitMs' },
  { guards: 'a field of Object.prototype is unknown', text: formatWithField('/constructor', 1), expected: [['unknown-field', '/constructor', 16]] },
  { guards: 'a wrong type is refused', text: formatWithField('/groups', '4'), expected: [['wrong-type', '/groups', 16]] },
  { guards: 'a value out of range is refused', text: formatWithField('/groups', 0), expected: [['out-of-range', '/groups', 16]] },
  { guards: 'a number of groups that is not an integer is refused', text: formatWithField('/groups', 1.5), expected: [['out-of-range', '/groups', 16]] },
  { guards: 'a port above 65535 is refused', text: formatWithField('/callers/listen', '127.0.0.1:70000'), expected: [['not-allowed', '/callers/listen', 17]] },
  { guards: 'for a mistyped choice the nearest option is suggested', text: formatWithField('/log/level', 'wran'), expected: [['not-allowed', '/log/level', 17]], nearest: 'warn' },
  { guards: 'a promise shorter than two heartbeats is refused', text: formatWithField('/timings/heartbeatIntervalMs', 1600), expected: [['inconsistent', '/timings/renewalPromiseMs', undefined], ['inconsistent', '/timings/freshnessWindowMs', undefined]] },
  { guards: 'an incomplete set of TLS files is refused', text: formatWithField('/tls/keyFile', 'a.pem'), expected: [['inconsistent', '/tls', 16]] },
  { guards: 'a repeated seed is refused', text: formatWithField('/peers/seeds', [{ id: 'b', address: '10.0.0.2:1' }, { id: 'b', address: '10.0.0.3:1' }]), expected: [['inconsistent', '/peers/seeds', 8]] },
  { guards: 'every missing field is reported', text: '{}', expected: ['/member/id', '/member/failureDomain', '/peers/advertise', '/store/address', '/hostList/address', '/operatorKeyHash'].map((pointer) => ['missing-field', pointer, pointer === '/operatorKeyHash' ? 1 : undefined]) }
] as const

for (const entry of cases) {
  test(`checkSettings: ${entry.guards}`, () => {
    const problems = checkSettings(entry.text, 's.json')._unsafeUnwrapErr()
    assert.deepEqual(problems.map(({ code, pointer, line }) => [code, pointer, line]), entry.expected)
    if ('nearest' in entry) assert.equal(problems[0]!.nearest, entry.nearest)
    for (const problem of problems) assert.match(formatProblem(problem), /^s\.json.*found .+; allowed: .+/)
  })
}

test('checkSettings: absent settings have the defaults of the table', () => {
  const settings = checkSettings(JSON.stringify(MINIMAL), 's.json')._unsafeUnwrap()
  assert.equal(settings.timings.taskLeaseMs, 20_000)
  assert.equal(settings.limits.bodyBytes, 1_048_576)
  assert.deepEqual(settings.tls, {})
})

test('checkSettings: does not throw for any text', () => {
  const pieces = fc.array(fc.constantFrom('{', '}', '[', ']', '"a"', ':', ',', '1e', '\\', '\n', 'null', '"__proto__"')).map((list) => list.join(''))
  assertProperty(fc.property(fc.oneof(fc.string({ unit: 'binary' }), fc.json(), pieces), (text) => {
    checkSettings(text, 's.json')
  }))
})

test('checkSettings: does not throw for any value of any setting', () => {
  assertProperty(fc.property(fc.constantFrom(...Object.keys(SETTINGS_TABLE)), fc.jsonValue(), (pointer, value) => {
    checkSettings(formatWithField(pointer, value), 's.json')
  }))
})

test('formatSettings: checkSettings returns the same settings for the formatted text', () => {
  const base = checkSettings(JSON.stringify(MINIMAL), 's.json')._unsafeUnwrap()
  assertProperty(fc.property(fc.integer({ min: 1, max: 1024 }), fc.integer({ min: 20_000, max: 600_000 }), fc.double({ min: 0, max: 50, noNaN: true }), (groups, taskLeaseMs, urgentReservePercent) => {
    const settings: Settings = { ...base, groups, timings: { ...base.timings, taskLeaseMs }, limits: { ...base.limits, urgentReservePercent: urgentReservePercent + 0 } }
    assert.deepEqual(checkSettings(formatSettings(settings), 's.json')._unsafeUnwrap(), settings)
  }))
})

test('settingsPage: the page in docs is up to date', () => {
  assert.equal(readFileSync('docs/settings.md', 'utf8'), settingsPage())
})
