import assert from 'node:assert/strict'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { test } from 'node:test'
import { CallerRoutes } from '../../platform/caller-routes.ts'
import { parseJob } from '../../platform/job-body.ts'
import { parseConfiguration } from '../../platform/operator-configuration.ts'
import { parseSettings } from '../../platform/settings.ts'
import { parseWorkerEntry } from '../../platform/worker-entry.ts'

const JOB_HEADER = { id: '00000000000000aa', queue: 'q', organisation: 'o' }

const invalidJobs = [
  { scenario: 'invalid JSON', body: '{', problem: /not a JSON object/ },
  { scenario: 'no spec', body: '{"steps":[{"count":1}]}', problem: /spec/ },
  { scenario: 'a spec that is too long', body: JSON.stringify({ spec: 'x'.repeat(4_001), steps: [{ count: 1 }] }), problem: /spec/ },
  { scenario: 'no steps', body: '{"spec":"a","steps":[]}', problem: /steps/ },
  { scenario: 'a step without tasks', body: '{"spec":"a","steps":[{"count":0}]}', problem: /step 0/ },
  { scenario: 'steps that together have too many tasks', body: JSON.stringify({ spec: 'a', steps: Array.from({ length: 11 }, () => ({ count: 10_000 })) }), problem: /tasks/ },
  { scenario: 'a step that depends on itself', body: '{"spec":"a","steps":[{"count":1,"after":[0]}]}', problem: /step 0/ }
]

for (const { scenario, body, problem } of invalidJobs) {
  test(`platform: a job with ${scenario} is rejected with a message about it`, () => {
    const job = parseJob(body, JOB_HEADER)
    assert.ok(job.isErr())
    assert.match(job.error, problem)
  })
}

const WORKER_ENTRY = { service: 'kit', address: '10.0.0.1:80', zone: 'east', state: 'ready', capacity: { cpu: 1, memMb: 1 }, labels: ['a', 'r1'], born: 5 }

const workerEntries = [
  { scenario: 'all required fields', changes: {}, usable: true },
  { scenario: 'an unknown state', changes: { state: 'odd' }, usable: false },
  { scenario: 'an address of the wrong type', changes: { address: 7 }, usable: false },
  { scenario: 'an address that is not host:port', changes: { address: 'http://x/' }, usable: false },
  { scenario: 'no capacity', changes: { capacity: undefined }, usable: false },
  { scenario: 'no failure domain', changes: { zone: undefined }, usable: false }
]

for (const { scenario, changes, usable } of workerEntries) {
  test(`platform: a worker entry with ${scenario} ${usable ? 'is accepted' : 'is ignored'}`, () => {
    assert.equal(parseWorkerEntry('servers/i-1', JSON.stringify({ ...WORKER_ENTRY, ...changes })) !== undefined, usable)
  })
}

test('platform: a worker entry and a configuration that are not JSON are ignored', () => {
  assert.equal(parseWorkerEntry('servers/i-1', '\u0000\u0001'), undefined)
  assert.equal(parseConfiguration('\u0000'), undefined)
})

test('platform: a path belongs to the queue with the longest matching prefix, and only a job id may follow the prefix', () => {
  const route = (name: string, prefix: string) => ({ name, host: 'A.example', prefix, service: 'kit' })
  const routes = CallerRoutes.create(parseConfiguration(JSON.stringify({ version: 1, routes: [route('short', '/a/'), route('long', '/a/b/')], tenants: [] }))!)
  assert.equal(routes.find('a.example:80', '/a/b/00000000000000aa')?.queue.name, 'long')
  assert.equal(routes.find('a.example', '/a/00000000000000aa')?.queue.name, 'short')
  assert.equal(routes.find('a.example', '/a/')?.job, undefined)
  assert.equal(routes.find('a.example', '/a/nonsense'), undefined)
  assert.equal(routes.find('b.example', '/a/'), undefined)
})

const invalidSettings = [
  { scenario: 'invalid JSON', text: 'node: a', problem: /JSON/ },
  { scenario: 'no caller address', text: '{"node":"a"}', problem: /listen\.front/ },
  { scenario: 'no store address', text: JSON.stringify({ node: 'a', ipAddress: '10.0.0.1', internalPorts: [1, 2], listen: { front: '10.0.0.1:1', ready: '10.0.0.1:2' } }), problem: /platform\.address/ }
]

for (const { scenario, text, problem } of invalidSettings) {
  test(`platform: settings with ${scenario} are rejected with a message about it`, () => {
    const parsed = parseSettings(text)
    assert.ok(parsed.isErr())
    assert.match(parsed.error, problem)
  })
}

test('platform: names of the platform\'s API do not occur in src', () => {
  const words = /fencingToken|ackCursor|run-start(?!ed)|run-stop|mayMiss|kv-txn|kv-watch|memMb|allOrNothing|requirements['"]|antiAffinity|DAMASKFIELD_SETTINGS/
  const found = readdirSync('src', { recursive: true }).map((name) => join('src', String(name)))
    .filter((name) => name.endsWith('.ts') && words.test(readFileSync(name, 'utf8')))
  assert.deepEqual(found, [])
})
