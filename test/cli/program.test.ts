import assert from 'node:assert/strict'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { PassThrough } from 'node:stream'
import { after, afterEach, beforeEach, test } from 'node:test'
import type { Change } from '../../src/model/configuration.ts'
import { checkConfiguration } from '../../platform/check-configuration.ts'
import type { ProgramDependencies } from '../../src/cli/base-command.ts'
import { runProgram } from '../../src/cli/program.ts'
import { parseTeamKey, verifySecret } from '../../src/util/team-key.ts'
import { FakeServer } from './fake-server.ts'

const folder = mkdtempSync(join(tmpdir(), 'damaskfield-cli-'))
const file = join(folder, 'stock.damaskfield.json')
const limit = { cpuMillis: 8000, memoryMiB: 8192, accelerators: 0, slots: 8, connections: 0 }
const stock: Change = { kind: 'team', name: 'stock', value: { name: 'stock', organisation: 'felt', weight: 1, limit, waitingLimit: 10 } }
const felt: Change = { kind: 'organisation', name: 'felt', value: { name: 'felt', weight: 1 } }
const rival: Change = { kind: 'organisation', name: 'rival', value: { name: 'rival', weight: 1 } }
const out: Change = { kind: 'failureDomain', name: 'bole', value: { name: 'bole', state: 'out' } }
let server: FakeServer

const dependencies: ProgramDependencies = {
  startMember: async () => { throw new Error('the store did not answer') },
  runDemo: async ({ write }) => { write('demo'); return 0 },
  checkConfiguration
}

beforeEach(async () => {
  server = await FakeServer.start()
  server.publish('ops', [felt, stock])
  writeFileSync(file, JSON.stringify({ teams: [{ ...stock.value, weight: 2 }], queues: [{ name: 'orders', team: 'stock' }] }))
})
afterEach(async () => { await server.stop() })
after(() => rmSync(folder, { recursive: true }))

async function run (line: string, environment: Record<string, string> = {}, interruptSignal = new AbortController().signal) {
  const stdout = new PassThrough()
  const stderr = new PassThrough()
  const env = { DAMASKFIELD_SERVER: server.address, USER: 'ops', ...environment }
  const exitCode = await runProgram(line.split(' '), { stdin: new PassThrough(), stdout, stderr, env, colorDepth: 1, dependencies, interruptSignal })
  const text = String(stdout.read() ?? '')
  return { exitCode, text, errors: String(stderr.read() ?? ''), json: () => JSON.parse(text) }
}

test('publish: prints the changes, and --dry-run does not publish them', async () => {
  const dry = await run(`publish --dry-run ${file}`)
  assert.match(dry.text, /~ team stock: weight 1 -> 2\n\+ queue orders: access.type "team", access.team "stock"\n/)
  assert.equal(server.configuration.revision, 1)
  assert.equal((await run(`publish ${file} --key op`)).exitCode, 0)
  assert.equal(server.configuration.teams.get('stock')?.weight, 2)
  assert.equal(server.requests.at(-1)!.key, 'Bearer op')
  assert.match((await run(`publish ${file}`)).text, /nothing to change at revision 2/)
})

test('publish: a concurrent publication is reported as a conflict with its author, and is not retried', async () => {
  server.publishFaults.push({ type: 'race', changes: [rival] })
  const { exitCode, errors } = await run(`publish ${file}`)
  assert.equal(exitCode, 4)
  assert.match(errors, /revision 2 by rival/)
  assert.equal(server.configuration.revision, 2)
})

for (const fault of [{ type: 'break-after' }, { type: 'gateway' }] as const) {
  test(`publish: after the fault ${fault.type} the outcome is unknown, not failed`, async () => {
    server.publishFaults.push(fault)
    assert.equal((await run(`publish ${file}`)).exitCode, 5)
  })
}

test('rollback: publishes earlier content as a new revision and does not bring a failure domain back in', async () => {
  server.publish('ops', [out, { ...stock, value: { ...stock.value!, weight: 9 } }])
  assert.equal((await run('rollback 1')).exitCode, 0)
  assert.equal(server.configuration.revision, 3)
  assert.equal(server.configuration.teams.get('stock')?.weight, 1)
  assert.equal(server.configuration.failureDomains.get('bole')?.state, 'out')
  assert.equal((await run('rollback 9')).exitCode, 1)
})

test('rollback: an incomplete history is refused, so that entries that it does not contain are not removed', async () => {
  server.publish('ops', [rival])
  server.revisions.shift()
  const { exitCode, errors } = await run('rollback 1')
  assert.equal(exitCode, 1)
  assert.match(errors, /revision 1 is not in the history/)
})

test('domain out: does not fail when other entries change at the same time', async () => {
  server.publishFaults.push({ type: 'race', changes: [rival] }, { type: 'race', changes: [{ ...rival, value: null }] })
  assert.equal((await run('domain out bole')).exitCode, 0)
  assert.equal(server.configuration.failureDomains.get('bole')?.state, 'out')
  assert.match((await run('domain out bole')).text, /already so/)
})

test('domain in: does not overwrite a concurrent change of the same domain', async () => {
  server.publish('ops', [out])
  server.publishFaults.push({ type: 'race', changes: [{ kind: 'failureDomain', name: 'bole', value: null }] })
  assert.equal((await run('domain in bole')).exitCode, 4)
})

test('key give: the printed key matches the stored hash, no secret is sent or printed in errors, and withdrawing removes the key', async () => {
  const given = (await run('key give stock --json')).json()
  const presented = parseTeamKey(given.key)!
  assert.ok(verifySecret(presented.secret, server.configuration.keys.get(presented.id)!))
  assert.ok(!JSON.stringify(server.requests).includes(presented.secret))
  const mistaken = await run(`key withdraw ${given.key}`)
  assert.equal(mistaken.exitCode, 1)
  assert.ok(!mistaken.errors.includes(presented.secret))
  assert.equal((await run(`key withdraw ${given.id}`)).exitCode, 0)
  assert.equal(server.configuration.keys.size, 0)
})

test('host drain: refuses an unknown host and drains an existing one', async () => {
  assert.equal((await run('host drain h9')).exitCode, 1)
  assert.equal((await run('host drain t2')).exitCode, 1, 'a drain of a target id would have no effect')
  assert.equal((await run('host drain h2')).exitCode, 0)
  assert.match((await run('host list')).text, /h2 +t2 +bole +live +yes/)
  assert.equal((await run('host undrain h2')).exitCode, 0)
  assert.equal(server.configuration.drains.size, 0)
})

const outputCases = [
  { line: 'team list', expected: /stock +felt +1 .*50\.0% +25\.0% +3\nnot included: group 1/s },
  { line: 'team show stock', expected: /organisation +felt/ },
  { line: 'domain list', expected: /bole +in +2 +2/ },
  { line: 'queue list', expected: /^none\n$/ },
  { line: 'history', expected: /1 +1970-01-01T00:00:00.000Z +ops +organisation felt, team stock/ },
  { line: 'top --once', expected: /0 +entry-1 +4 +2 +0 +1 +0 +2 +0/ },
  { line: 'demo --seconds 1', expected: /demo\nthe demonstration has ended/ }
]

for (const { line, expected } of outputCases) {
  test(`${line}: prints the expected row`, async () => {
    const { exitCode, text } = await run(line)
    assert.equal(exitCode, 0)
    assert.match(text, expected)
  })
}

const failureCases = [
  { guards: 'a definite refusal', status: 429, body: { code: 'overloaded', verdict: 'not-run' }, exitCode: 1 },
  { guards: 'a request that may have run', status: 504, body: { code: 'outcome-unknown', verdict: 'may-have-run' }, exitCode: 5 },
  { guards: 'a request that ran and failed', status: 502, body: { code: 'failed', verdict: 'ran' }, exitCode: 1 },
  { guards: 'a load balancer without a server', status: 503, body: 'no server', exitCode: 5 },
  { guards: 'a success without a body', status: 200, body: undefined, exitCode: 5 }
]

for (const { guards, status, body, exitCode } of failureCases) {
  test(`submit: the exit code is right for ${guards}`, async () => {
    server.responses.set('POST /v1/requests', { status, body })
    const result = await run('submit --queue orders')
    assert.equal(result.exitCode, exitCode)
    assert.equal(/repeat with --idempotency-key/.test(result.errors), exitCode === 5)
  })
}

test('submit: sends the given options and prints the output', async () => {
  server.responses.set('POST /v1/requests', { status: 200, body: { work: 'g0-a', output: { metres: 3 } } })
  const { text } = await run('submit --queue orders --payload {"a":1} --cpu 500 --deadline 2000 --urgent --idempotency-key k1', { DAMASKFIELD_KEY: 'dk_x' })
  assert.deepEqual(JSON.parse(text), { metres: 3 })
  const { key, idempotencyKey, body } = server.requests[0]!
  assert.deepEqual([key, idempotencyKey], ['Bearer dk_x', 'k1'])
  assert.deepEqual(body, { queue: 'orders', family: 'orders', resources: { cpuMillis: 500, memoryMiB: 256, accelerators: 0, slots: 1, connections: 0 }, expectedMs: 0, urgent: true, idempotent: false, payload: { a: 1 }, timeoutMs: 2000 })
})

test('cancel and explain: escape names in the URL and control characters in the output', async () => {
  server.responses.set('GET /v1/tasks/g0-a/2/explain', { status: 200, body: { task: 'g0-a/2', state: 'waiting', reason: 'team-limit', detail: 'the team\u001b[2J uses its limit', decisions: [] } })
  server.responses.set('DELETE /v1/work', { status: 200, body: { cancelled: 7, missing: [] } })
  assert.equal((await run('cancel --team stock --queue a&b')).text, '7 cancelled\n')
  assert.equal(server.requests[0]!.url, '/v1/work?queue=a%26b&team=stock')
  assert.equal((await run('explain g0-a/2')).text, 'g0-a/2 is waiting: team-limit\nthe team?[2J uses its limit\n')
})

test('submit: a refusal names the largest amounts that fit and each invalid field', async () => {
  const errors = [{ code: 'out-of-range', file: 'body', pointer: '/resources/slots', found: '0', allowed: 'whole number from 1 to 9' }]
  server.responses.set('POST /v1/requests', { status: 422, body: { code: 'never-fits', title: 'too large', verdict: 'not-run', nearest: { cpuMillis: 1500, memoryMiB: 512, accelerators: 0, slots: 1, connections: 0 }, errors } })
  const { exitCode, errors: text } = await run('submit --queue orders')
  assert.equal(exitCode, 1)
  assert.match(text, /never-fits: too large; nearest shape that fits: 1.5 cores, 512 MiB, 1 slots \[not-run\]\nbody: \/resources\/slots: found 0/)
})

test('cancel: a group that did not respond makes the outcome unknown', async () => {
  server.responses.set('DELETE /v1/work', { status: 200, body: { cancelled: 7, missing: [2] } })
  const { exitCode, errors } = await run('cancel --team stock')
  assert.equal(exitCode, 5)
  assert.match(errors, /7 cancelled; group 2 did not answer/)
})

const usageErrors = [
  'cancel', 'cancel g0-a --team stock', 'status ../x', 'explain g0-a/x', 'submit', 'submit --queue q --kind job', 'submit --queue q --cpu -1',
  'submit --queue q --payload {', 'history --limit 0', 'unknown', 'check', 'key give stock --author a;b', 'check no-such-file.json', 'top --server ftp://x --once', `serve ${file}`, 'rollback x'
]

for (const line of usageErrors) {
  test(`usage: "${line.replace(folder, '')}" is invalid input and sends no request`, async () => {
    assert.equal((await run(line)).exitCode, 2)
    assert.deepEqual(server.requests, [])
  })
}

test('demo: an interruption ends a demonstration that never resolves', async () => {
  const { runDemo } = dependencies
  Object.assign(dependencies, { runDemo: async () => await new Promise(() => {}) })
  assert.equal((await run('demo', {}, AbortSignal.abort())).exitCode, 1)
  Object.assign(dependencies, { runDemo })
})

test('serve: an interruption stops the member and waits until it has left', async () => {
  const { startMember } = dependencies
  const steps: string[] = []
  const interruptController = new AbortController()
  let leave = () => {}
  const finished = new Promise<void>((resolve) => { leave = resolve })
  const stop = async () => {
    steps.push('stop asked')
    setImmediate(() => { steps.push('left'); leave() })
  }
  Object.assign(dependencies, { startMember: async () => { setImmediate(() => interruptController.abort()); return { stop, finished } } })
  const { exitCode, text } = await run('serve examples/abay-sump/entry-1.settings.json', {}, interruptController.signal)
  Object.assign(dependencies, { startMember })
  assert.deepEqual([exitCode, text, steps], [0, '', ['stop asked', 'left']])
})

test('serve: a member that cannot start is reported as a failure, not as invalid input', async () => {
  const { exitCode, errors } = await run('serve examples/abay-sump/entry-1.settings.json')
  assert.equal(exitCode, 1)
  assert.match(errors, /the store did not answer/)
})

test('an unreachable server has its own exit code', async () => {
  const { address } = server
  await server.stop()
  for (const line of ['team list', `publish ${file}`, 'cancel g0-a', 'submit --queue q']) {
    assert.equal((await run(line, { DAMASKFIELD_SERVER: address })).exitCode, 3)
  }
})

test('configuration check: guards against the failure that a script cannot tell errors from warnings, for both forms of a file', async () => {
  const now = join(folder, 'now.damaskfield.json')
  writeFileSync(now, JSON.stringify({ organisations: [felt.value], teams: [stock.value] }))
  writeFileSync(file, JSON.stringify({ organisations: [felt.value], teams: [{ ...stock.value, weight: 2 }] }))
  const changed = await run(`configuration check ${file} --in-force ${now} --json`)
  assert.deepEqual([changed.exitCode, changed.json().changes], [0, ['~ team stock: weight 1 -> 2']])
  const platform = join(folder, 'next.json')
  const codes: number[] = []
  for (const text of ['{"version":1}', '{"version":1,"tenants":[{"name":"a","weight":0,"maximum":{"cpu":1}}]}', '{"version":"1"}', '{']) {
    writeFileSync(platform, text)
    codes.push((await run(`configuration check ${platform}`)).exitCode)
  }
  assert.deepEqual(codes, [0, 1, 2, 2])
  assert.equal((await run('configuration check no-such-file.json')).exitCode, 2)
})
