import assert from 'node:assert/strict'
import { test } from 'node:test'
import { InMemoryTarget } from '../../src/standins/target.ts'
import type { Work } from '../../src/model/work.ts'
import { CAPACITY, CONFIGURATION, GroupHarness, ONE_SLOT, createRequest, createTarget } from './group-harness.ts'

const GRANT = { cpuMillis: 10_000, memoryMiB: 10_000, accelerators: 0, slots: 10, connections: 10 }

function createTargets (...ids: readonly string[]): ReadonlyMap<string, InMemoryTarget> {
  return new Map(ids.map((id) => [id, InMemoryTarget.create({ capacity: CAPACITY })]))
}

function describeResponse (harness: GroupHarness, work: string): string {
  const response = harness.responses.get(work)
  return response?.type === 'refused' ? `${response.refusal.reason} ${response.verdict}` : String(response?.type)
}

function countStarts (harness: GroupHarness, target: string): number {
  return harness.calls.filter(({ target: id, call }) => id === target && call.type === 'start').length
}

test('group: a request runs on a target and its caller gets its own output', () => {
  const harness = GroupHarness.create(createTargets('t1'), 1, [])
  harness.advance(500)
  harness.grant(GRANT)
  harness.submit(createRequest('g0-na'))
  harness.advance(500)
  assert.deepEqual(harness.responses.get('g0-na'), { type: 'succeeded', output: 'g0-na' })
})

const unusableTargets = [
  { condition: 'a leaving target', change: (harness: GroupHarness) => harness.listHosts([{ ...createTarget('t1'), state: 'leaving' }]) },
  { condition: 'a target that is no longer listed', change: (harness: GroupHarness) => harness.listHosts([]) },
  {
    condition: 'a target in a failure domain that is out',
    change: (harness: GroupHarness) => harness.apply({ type: 'configuration-applied', now: harness.now, configuration: { ...CONFIGURATION, revision: 2, failureDomains: new Map([['bole', { name: 'bole', state: 'out' as const }]]) } })
  }
]

for (const { condition, change } of unusableTargets) {
  test(`group: a start without a response is not repeated on ${condition}`, () => {
    const harness = GroupHarness.create(createTargets('t1'), 1, [])
    harness.advance(500)
    harness.grant(GRANT)
    harness.unresponsive.add('t1')
    harness.submit(createRequest('g0-na'))
    change(harness)
    const startsBefore = countStarts(harness, 't1')
    harness.advance(3_000)
    assert.equal(startsBefore, 1)
    assert.equal(countStarts(harness, 't1'), startsBefore)
  })
}

test('group: what a previous owner may run on a target that has not listed its tasks counts against the grant', () => {
  const harness = GroupHarness.create(createTargets('t1', 't2'), 2, ['t1', 't2'], ['t2'])
  harness.advance(3_000)
  harness.grant(GRANT)
  assert.equal(harness.usage().slots, CAPACITY.slots)
  for (let index = 0; index < 6; index += 1) harness.submit(createRequest(`g0-n${index}`, { payload: { runMs: 60_000 } }))
  harness.advance(1_000)
  assert.equal(countStarts(harness, 't1'), GRANT.slots - CAPACITY.slots)
  harness.advance(30_000)
  assert.equal(countStarts(harness, 't1'), 6)
})

const HOUR_MS = 3_600_000
const recoveryCases: readonly { readonly title: string, readonly work: Partial<Work> & { readonly id: string }, readonly resumed: boolean, readonly restartAgeMs: number, readonly expected: string }[] = [
  { title: 'a resumed request that no target has seen runs', work: { id: 'g0-na', idempotent: false }, resumed: true, restartAgeMs: HOUR_MS, expected: 'succeeded' },
  { title: 'a resumed request does not run again when a target may have lost its result', work: { id: 'g0-na', idempotent: false }, resumed: true, restartAgeMs: 0, expected: 'outcome-unknown may-have-run' },
  { title: 'a request with a repeated key does not run again when a target may have lost its result', work: { id: 'g0-ka', idempotent: false }, resumed: false, restartAgeMs: 0, expected: 'outcome-unknown may-have-run' },
  { title: 'a request whose key was issued after the restart of the target runs', work: { id: 'g0-ka', idempotent: false, keyIssuedAt: 100_000 }, resumed: false, restartAgeMs: 90_000, expected: 'succeeded' },
  { title: 'new work without a key runs', work: { id: 'g0-na', idempotent: false }, resumed: false, restartAgeMs: 0, expected: 'succeeded' },
  { title: 'a resumed idempotent request past its deadline is not refused as not-run', work: { id: 'g0-na', kind: 'request', deadlineAt: 1 }, resumed: true, restartAgeMs: HOUR_MS, expected: 'deadline-passed may-have-run' }
]

for (const recoveryCase of recoveryCases) {
  test(`group after a change of owner: ${recoveryCase.title}`, () => {
    const target = InMemoryTarget.create({ capacity: CAPACITY, startedAt: 100_000 - recoveryCase.restartAgeMs })
    const harness = GroupHarness.create(new Map([['t1', target]]), 2, ['t1'])
    harness.advance(500)
    harness.grant(GRANT)
    harness.submit(createRequest(recoveryCase.work.id, { submittedAt: 99_000, ...recoveryCase.work }), recoveryCase.resumed)
    harness.advance(1_000)
    assert.equal(describeResponse(harness, recoveryCase.work.id), recoveryCase.expected)
  })
}

test('group after a change of owner: a result kept by its target is sent to the caller, and the request does not run again', () => {
  const target = InMemoryTarget.create({ capacity: CAPACITY })
  const work = createRequest('g0-na', { idempotent: false })
  target.call(99_000, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
  target.call(99_000, { type: 'start', group: 0, epoch: 1, lease: 1, taskId: 'g0-na/0', attempt: 1, work })
  const harness = GroupHarness.create(new Map([['t1', target]]), 2, ['t1'])
  harness.advance(500)
  harness.grant({ ...GRANT, ...ONE_SLOT })
  harness.submit(work, true)
  harness.advance(500)
  assert.deepEqual(harness.responses.get('g0-na'), { type: 'succeeded', output: 'g0-na' })
  assert.equal(target.executions.length, 1)
})

test('group after a change of owner: a target that lists its tasks late gets no more work than its free capacity allows', () => {
  const target = InMemoryTarget.create({ capacity: CAPACITY })
  target.call(99_900, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
  for (let index = 0; index < 6; index += 1) {
    const work = createRequest(`g0-n${index}`, { payload: { runMs: 60_000 } })
    target.call(99_900, { type: 'start', group: 0, epoch: 1, lease: 1, taskId: `${work.id}/0`, attempt: 1, work })
  }
  const harness = GroupHarness.create(new Map([['t1', target]]), 2, ['t1'], ['t1'])
  harness.advance(3_000)
  harness.grant({ ...GRANT, cpuMillis: 100_000, memoryMiB: 100_000, slots: 100, connections: 100 })
  for (let index = 6; index < 12; index += 1) harness.submit(createRequest(`g0-n${index}`, { payload: { runMs: 60_000 } }))
  harness.unresponsive.clear()
  harness.advance(2_000)
  assert.equal(countStarts(harness, 't1'), CAPACITY.slots - 6)
})

test('group: a service that the configuration defines runs, and only a published revision without it ends it', () => {
  const target = InMemoryTarget.create({ capacity: CAPACITY })
  const harness = GroupHarness.create(new Map([['t1', target]]), 1, [])
  harness.advance(500)
  harness.grant(GRANT)
  const service = { name: 'desk', queue: 'q', count: 2, family: 'desk', resources: ONE_SLOT, payload: {} }
  harness.apply({ type: 'configuration-applied', now: harness.now, configuration: { ...CONFIGURATION, revision: 2, services: new Map([['desk', service]]) } })
  harness.advance(500)
  const countRunning = (): number => target.executions.filter(({ endedAt }) => endedAt === undefined).length
  assert.equal(countRunning(), 2)
  harness.apply({ type: 'group-requested', now: harness.now, from: 'm1', nonce: 'n', request: { type: 'cancel-matching', team: 'a' } })
  harness.advance(2_000)
  assert.equal(countRunning(), 2)
  harness.apply({ type: 'configuration-applied', now: harness.now, configuration: { ...CONFIGURATION, revision: 3 } })
  harness.advance(10_000)
  assert.equal(countRunning(), 0)
})

const MAX_STARTS = 5

// The same task crashed target after target, because a run that was lost in a restart of its target was not counted.
test('group: a task under which its targets restart again and again is given up before its sixth start', () => {
  const targets = new Map(['t1', 't2', 't3'].map((id) => [id, InMemoryTarget.create({ capacity: CAPACITY })]))
  const harness = GroupHarness.create(targets, 1, [])
  harness.advance(500)
  harness.grant({ ...GRANT, ...ONE_SLOT })
  harness.submit(createRequest('g0-b', { payload: { runMs: 600_000 } }))
  const seen = new Map<string, number>()
  for (let step = 0; step < 600; step += 1) {
    harness.advance(500)
    for (const [id, target] of targets) {
      if (target.executions.length === (seen.get(id) ?? 0)) continue
      seen.set(id, target.executions.length)
      target.restart(harness.now)
    }
  }
  const starts = [...targets.values()].reduce((sum, { executions }) => sum + executions.length, 0)
  assert.ok(starts > 1 && starts <= MAX_STARTS, `${starts} starts`)
})
