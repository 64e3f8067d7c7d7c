import assert from 'node:assert/strict'
import { test } from 'node:test'
import { checkConfiguration } from '../../platform/check-configuration.ts'
import type { ConfigurationReport } from '../../src/servicefiles/index.ts'

const ROUTE = { name: 'stock', host: 'a.example', prefix: '/stock/', service: 'kit', priority: 0, maxAttempts: 2, stretch: 1.5, targetLatencyMs: 250, public: false }
const TENANT = { name: 'zuu', apiKeys: ['secret-1'], weight: 1, maximum: { cpu: 64_000, memMb: 0, gpu: 0 } }
const VALID = { version: 7, routes: [ROUTE], services: [{ name: 'kit', rejectsOverload: false, spare: false }], tenants: [TENANT], limits: { maxBodyBytes: 262_144 } }

function check (value: unknown, inForce?: unknown): ConfigurationReport {
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return checkConfiguration({ file: 'next.json', text }, inForce === undefined ? undefined : { file: 'now.json', text: JSON.stringify(inForce) })
}

type Expected = { readonly errors?: readonly string[], readonly warnings?: readonly RegExp[], readonly changes?: readonly RegExp[] }

const cases: ReadonlyArray<{ readonly guards: string, readonly next: unknown, readonly inForce?: unknown, readonly expected: Expected }> = [
  { guards: 'a valid configuration has findings', next: VALID, expected: {} },
  { guards: 'broken JSON has no place', next: '{\n"version": 1,\n}', expected: { errors: ['broken-json  3 -'] } },
  { guards: 'a misspelled field is ignored', next: { ...VALID, routes: [{ ...ROUTE, priorty: 1, priority: undefined }] }, expected: { errors: ['unknown-field /routes/0/priorty 1 priority'] } },
  { guards: 'a field for another reader is an error', next: { ...VALID, comment: 'spring' }, expected: { warnings: [/^\/comment: unknown field/] } },
  { guards: 'a route without a host is left out silently', next: { ...VALID, routes: [{ ...ROUTE, host: undefined }] }, expected: { errors: ['missing-field /routes/0/host 1 -'] } },
  { guards: 'a number in quotes becomes its default', next: { ...VALID, routes: [{ ...ROUTE, maxAttempts: '4' }] }, expected: { errors: ['wrong-type /routes/0/maxAttempts 1 -'] } },
  { guards: 'a key at the wrong place is shown', next: { ...VALID, tenants: [{ ...TENANT, apiKeys: 'secret-1' }] }, expected: { errors: ['wrong-type /tenants/0/apiKeys 1 -'] } },
  { guards: 'two queues have one name', next: { ...VALID, routes: [ROUTE, { ...ROUTE, prefix: '/other/' }] }, expected: { errors: ['duplicate-name /routes/1/name 1 -'] } },
  { guards: 'a queue with an equal prefix is never used', next: { ...VALID, routes: [ROUTE, { ...ROUTE, name: 'b', host: 'A.example' }] }, expected: { warnings: [/^\/routes\/1: queue "b" is never used: "stock"/] } },
  { guards: 'a longer prefix takes jobs of a shorter one', next: { ...VALID, routes: [ROUTE, { ...ROUTE, name: 'b', prefix: '/stock/a1' }] }, expected: { warnings: [/^\/routes\/0: .* begin with "a1".* "b"/] } },
  { guards: 'a longer prefix that takes no jobs is reported', next: { ...VALID, routes: [ROUTE, { ...ROUTE, name: 'b', prefix: '/stock/urgent/' }] }, expected: {} },
  { guards: 'a queue whose pool nothing serves is accepted', next: { ...VALID, routes: [{ ...ROUTE, service: 'kti' }] }, expected: { warnings: [/no service is named "kti"; did you mean "kit"/] } },
  { guards: 'a key of two organisations is accepted, or shown', next: { ...VALID, tenants: [TENANT, { ...TENANT, name: 'abay' }] }, expected: { warnings: [/^\/tenants\/0: key 0 of "zuu" never matches: "abay" has it too$/] } },
  { guards: 'a weight of 0 with a maximum is accepted', next: { ...VALID, tenants: [{ ...TENANT, weight: 0 }] }, expected: { warnings: [/weight of 0/] } },
  { guards: 'an objective below the shortest chain is accepted', next: { ...VALID, routes: [{ ...ROUTE, stretch: 0.5, targetLatencyMs: 0 }] }, expected: { warnings: [/objective of queue "stock" is below/] } },
  { guards: 'an older version is sent, which members ignore', next: VALID, inForce: VALID, expected: { errors: ['out-of-range /version 1 -'] } },
  { guards: 'an invalid file in force is compared', next: VALID, inForce: { routes: 1 }, expected: { errors: ['wrong-type /routes 1 -', 'missing-field /version 1 -'] } },
  {
    guards: 'a difference, or its effect on running work, is not listed',
    next: { ...VALID, routes: [{ ...ROUTE, priority: 2 }], tenants: [{ ...TENANT, apiKeys: ['secret-2', 'secret-3'], weight: 2 }, { ...TENANT, name: 'new', apiKeys: [] }] },
    inForce: { ...VALID, version: 6, routes: [ROUTE, { ...ROUTE, name: 'old', prefix: '/old/' }], limits: {} },
    expected: { changes: [/^- queue old \(its jobs go on/, /^~ queue stock: priority 0 -> 2 \(waiting tasks/, /^\+ organisation new: weight 1, /, /^~ organisation zuu: weight 1 -> 2 \(/, /^~ organisation zuu: keys 2 added, 1 removed/] }
  }
]

for (const { guards, next, inForce, expected: { errors = [], warnings = [], changes = [] } } of cases) {
  test(`configuration check: guards against the failure that ${guards}`, () => {
    const report = check(next, inForce)
    assert.deepEqual(report.errors.map(({ code, pointer, line, nearest }) => `${code} ${pointer} ${line ?? '-'} ${nearest ?? '-'}`).sort(), [...errors].sort())
    const messages = report.warnings.map(({ pointer, message }) => `${pointer}: ${message}`)
    assert.equal(messages.length, warnings.length, messages.join('\n'))
    for (const [index, pattern] of warnings.entries()) assert.match(messages[index]!, pattern)
    assert.equal(report.changes.length, changes.length, report.changes.join('\n'))
    for (const [index, pattern] of changes.entries()) assert.match(report.changes[index]!, pattern)
    assert.ok(!JSON.stringify(report).includes('secret'))
  })
}
