import assert from 'node:assert/strict'
import { test } from 'node:test'
import fc from 'fast-check'
import { assertProperty } from '../properties/assert-property.ts'
import { applyRevision, EMPTY_CONFIGURATION } from '../../src/model/apply-revision.ts'
import type { Change, Configuration } from '../../src/model/configuration.ts'
import { computeChanges, checkChanges, checkServiceFile, collectServiceFiles, configurationFromJson, configurationToJson, describeChanges, EMPTY_SERVICE_FILE, formatServiceFile, computeRollbackChanges, SERVICE_FILE_LIMIT_BYTES, type ServiceFile } from '../../src/servicefiles/index.ts'

const LIMIT = { cpuMillis: 8000, memoryMiB: 8192, accelerators: 0, slots: 8, connections: 0 }
const BASE = {
  organisations: [{ name: 'felt' }],
  teams: [{ name: 'stock', organisation: 'felt', limit: { cpuMillis: 8000, memoryMiB: 8192, slots: 8 } }],
  queues: [{ name: 'orders', team: 'stock' }],
  services: [{ name: 'counter', queue: 'orders', count: 2, family: 'counter', resources: { cpuMillis: 1000, memoryMiB: 512, slots: 1 } }]
}

function collectContents (...contents: readonly unknown[]) {
  return collectServiceFiles(contents.map((content, index) => ({ file: `${index}.damaskfield.json`, text: typeof content === 'string' ? content : JSON.stringify(content) })))
}

const cases = [
  { guards: 'malformed JSON is reported with its file', files: [BASE, '{'], expected: [['1.damaskfield.json', 'broken-json', '']] },
  { guards: 'a file over the size limit is not parsed', files: [' '.repeat(SERVICE_FILE_LIMIT_BYTES + 1)], expected: [['0.damaskfield.json', 'too-large', '']] },
  { guards: 'an unknown field is refused', files: [{ queue: [] }], expected: [['0.damaskfield.json', 'unknown-field', '/queue']], nearest: 'queues' },
  { guards: 'a name declared in two files is refused', files: [BASE, { teams: BASE.teams }], expected: [['1.damaskfield.json', 'duplicate-name', '/teams/0/name']] },
  { guards: 'a profile in two files is refused', files: [{ profile: 'prompt' }, { profile: 'packing' }], expected: [['1.damaskfield.json', 'duplicate-name', '/profile']] },
  { guards: 'a queue of an unknown team is refused', files: [BASE, { queues: [{ name: 'night', team: 'stok' }] }], expected: [['1.damaskfield.json', 'unknown-reference', '/queues/0/team']], nearest: 'stock' },
  { guards: 'a service that exceeds the limit of its team is refused', files: [{ ...BASE, services: [{ ...BASE.services[0], count: 9 }] }], expected: [['0.damaskfield.json', 'inconsistent', '/services/0/count']] },
  { guards: 'a service with more tasks than the waitingLimit of its team is refused', files: [{ ...BASE, teams: [{ ...BASE.teams[0], waitingLimit: 1 }] }], expected: [['0.damaskfield.json', 'inconsistent', '/services/0/count']] },
  { guards: 'a negative limit is refused', files: [{ ...BASE, teams: [{ ...BASE.teams[0], limit: { ...LIMIT, slots: -1 } }] }], expected: [['0.damaskfield.json', 'out-of-range', '/teams/0/limit/slots']] },
  { guards: 'a weight of zero, which would starve a team, is refused', files: [{ organisations: [{ name: 'felt', weight: 0 }] }], expected: [['0.damaskfield.json', 'out-of-range', '/organisations/0/weight']] },
  { guards: 'all files are reported, not only the first', files: ['[', '{"profile": 1}'], expected: [['0.damaskfield.json', 'broken-json', ''], ['1.damaskfield.json', 'wrong-type', '/profile']] }
]

for (const entry of cases) {
  test(`collectServiceFiles: ${entry.guards}`, () => {
    const problems = collectContents(...entry.files)._unsafeUnwrapErr()
    assert.deepEqual(problems.map(({ file, code, pointer }) => [file, code, pointer]), entry.expected)
    if (entry.nearest !== undefined) assert.equal(problems[0]!.nearest, entry.nearest)
  })
}

function applyChanges (changes: readonly Change[], to: Configuration = EMPTY_CONFIGURATION): Configuration {
  return applyRevision(to, { revision: to.revision + 1, author: 'ops', at: 0, nonce: 'n', changes })
}

const CONTENT = collectContents(BASE)._unsafeUnwrap()
const IN_FORCE = applyChanges([...computeChanges(CONTENT, EMPTY_CONFIGURATION), { kind: 'key', name: 'abcd', value: { id: 'abcd', team: 'stock', salt: '00'.repeat(8), hash: '00'.repeat(8) } }])

test('computeChanges: publishing the same files again changes nothing', () => {
  assert.deepEqual(computeChanges(CONTENT, IN_FORCE, { prune: true }), [])
})

test('computeChanges: entries that are absent from the files are not removed without prune', () => {
  assert.deepEqual(computeChanges(EMPTY_SERVICE_FILE, IN_FORCE), [])
})

test('computeChanges: publishing does not restore a failure domain that operators have taken out', () => {
  const out = applyChanges([{ kind: 'failureDomain', name: 'bole', value: { name: 'bole', state: 'out' } }])
  const content: ServiceFile = { ...EMPTY_SERVICE_FILE, failureDomains: [{ name: 'bole', state: 'in' }] }
  assert.deepEqual(computeChanges(content, out), [])
  assert.equal(computeChanges(content, out, { domainStates: true }).length, 1)
})

test('computeChanges: pruning a team withdraws its keys and leaves no unresolved reference', () => {
  const changes = computeChanges(EMPTY_SERVICE_FILE, IN_FORCE, { prune: true })
  assert.deepEqual(changes.map(({ kind }) => kind), ['service', 'queue', 'key', 'team', 'organisation'])
  assert.ok(checkChanges(changes, IN_FORCE).isOk())
})

test('describeChanges: shows each changed field and no salt or hash', () => {
  const content: ServiceFile = { ...EMPTY_SERVICE_FILE, teams: [{ ...CONTENT.teams[0]!, weight: 3 }] }
  assert.deepEqual(describeChanges(computeChanges(content, IN_FORCE), IN_FORCE), ['~ team stock: weight 1 -> 3'])
  const key: Change = { kind: 'key', name: 'efgh', value: { id: 'efgh', team: 'stock', salt: 'aa', hash: 'bb' } }
  assert.deepEqual(describeChanges([key], IN_FORCE), ['+ key efgh: team "stock"'])
})

test('computeRollbackChanges: a withdrawn key stays withdrawn', () => {
  const withdrawn = applyChanges([{ kind: 'key', name: 'abcd', value: null }, { kind: 'queue', name: 'orders', value: null }, { kind: 'service', name: 'counter', value: null }], IN_FORCE)
  assert.deepEqual(computeRollbackChanges(IN_FORCE, withdrawn).map(({ kind }) => kind), ['queue', 'service'])
})

const invalidChanges = [
  { guards: 'a value under another name', change: { kind: 'organisation', name: 'felt', value: { name: 'wool', weight: 1 } } },
  { guards: 'an unknown kind', change: { kind: 'teams', name: 'x', value: null } },
  { guards: 'removing a team that a queue needs', change: { kind: 'team', name: 'stock', value: null } },
  { guards: 'a key with a hash that is not hexadecimal', change: { kind: 'key', name: 'abcd', value: { id: 'abcd', team: 'stock', salt: 'zz', hash: 'zz' } } },
  { guards: 'a change without a value', change: { kind: 'team', name: 'stock' } }
]

for (const { guards, change } of invalidChanges) {
  test(`checkChanges refuses ${guards}`, () => {
    assert.ok(checkChanges([change], IN_FORCE).isErr())
  })
}

test('configurationToJson: configurationFromJson restores the configuration, without the salt and hash of keys', () => {
  const json = JSON.stringify(configurationToJson(IN_FORCE))
  assert.ok(!json.includes('salt'))
  assert.deepEqual({ ...configurationFromJson(JSON.parse(json)), keys: IN_FORCE.keys }, IN_FORCE)
})

test('the checks do not throw for any text or value', () => {
  assertProperty(fc.property(fc.oneof(fc.string(), fc.json()), (text) => { collectContents(text) }))
  const entry = fc.record({ kind: fc.constantFrom('team', 'key', 'queue', 'drain', 'profile', 'x'), name: fc.string(), value: fc.jsonValue() })
  assertProperty(fc.property(fc.oneof(fc.jsonValue(), fc.array(entry)), (value) => { checkChanges(value, IN_FORCE) }))
  assertProperty(fc.property(fc.constantFrom(...Object.keys(BASE)), fc.jsonValue(), (name, value) => { collectContents({ ...BASE, [name]: value }) }))
})

const name = fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,20}$/)
const amount = fc.nat({ max: 10_000 })
const resources = fc.record({ cpuMillis: amount, memoryMiB: amount, accelerators: amount, slots: amount, connections: amount })
const weight = fc.integer({ min: 1, max: 9 })
const content = fc.record({
  organisations: fc.array(fc.record({ name, weight })),
  teams: fc.array(fc.record({ name, organisation: name, weight, limit: resources, waitingLimit: amount })),
  queues: fc.array(fc.record({ name, team: name, open: fc.boolean() })),
  services: fc.array(fc.record({ name, queue: name, count: amount, family: name, resources, payload: fc.jsonValue().map((value) => JSON.parse(JSON.stringify(value))) })),
  failureDomains: fc.array(fc.record({ name, state: fc.constantFrom('in', 'out') })),
  profile: fc.constantFrom('packing', 'prompt')
}, { noNullPrototype: true })

test('formatServiceFile: checkServiceFile returns the same content for the formatted text', () => {
  assertProperty(fc.property(content, (value) => {
    const checked = checkServiceFile(formatServiceFile(value as ServiceFile), 'f')._unsafeUnwrap()
    assert.deepEqual(JSON.parse(JSON.stringify(checked.content)), JSON.parse(JSON.stringify(value)))
  }))
})
