import assert from 'node:assert/strict'
import { test } from 'node:test'
import { InMemoryTarget } from '../../src/standins/target.ts'
import type { Work } from '../../src/model/work.ts'
import { CAPACITY, CONFIGURATION, GroupHarness, ONE_SLOT, requestOf, targetOf } from './group-harness.ts'

const GRANT = { cpuMillis: 10_000, memoryMiB: 10_000, accelerators: 0, slots: 10, connections: 10 }

function fleet (...ids: readonly string[]): ReadonlyMap<string, InMemoryTarget> {
  return new Map(ids.map((id) => [id, InMemoryTarget.create({ capacity: CAPACITY })]))
}

function verdictOf (harness: GroupHarness, work: string): string {
  const answer = harness.answers.get(work)
  return answer?.type === 'refused' ? `${answer.refusal.reason} ${answer.verdict}` : String(answer?.type)
}

function starts (harness: GroupHarness, target: string): number {
  return harness.calls.filter(({ target: id, call }) => id === target && call.type === 'start').length
}

test('group: a request runs on a target and its caller gets its own output', () => {
  const harness = GroupHarness.create(fleet('t1'), 1, [])
  harness.run(500)
  harness.grant(GRANT)
  harness.submit(requestOf('g0-na'))
  harness.run(500)
  assert.deepEqual(harness.answers.get('g0-na'), { type: 'succeeded', output: 'g0-na' })
})

const unusable = [
  { guards: 'a leaving target', change: (harness: GroupHarness) => harness.list([{ ...targetOf('t1'), state: 'leaving' }]) },
  { guards: 'a target that is no longer listed', change: (harness: GroupHarness) => harness.list([]) },
  {
    guards: 'a target in a failure domain that is out',
    change: (harness: GroupHarness) => harness.apply({ type: 'configuration-applied', now: harness.now, configuration: { ...CONFIGURATION, revision: 2, failureDomains: new Map([['bole', { name: 'bole', state: 'out' as const }]]) } })
  }
]

for (const { guards, change } of unusable) {
  test(`group: a start without an answer is not repeated on ${guards}`, () => {
    const harness = GroupHarness.create(fleet('t1'), 1, [])
    harness.run(500)
    harness.grant(GRANT)
    harness.silent.add('t1')
    harness.submit(requestOf('g0-na'))
    change(harness)
    const before = starts(harness, 't1')
    harness.run(3_000)
    assert.equal(before, 1)
    assert.equal(starts(harness, 't1'), before)
  })
}

test('group: what an earlier owner may run on a target that is not listed counts against the grant', () => {
  const harness = GroupHarness.create(fleet('t1', 't2'), 2, ['t1', 't2'], ['t2'])
  harness.run(3_000)
  harness.grant(GRANT)
  assert.equal(harness.usage().slots, CAPACITY.slots)
  for (let index = 0; index < 6; index += 1) harness.submit(requestOf(`g0-n${index}`, { payload: { runMs: 60_000 } }))
  harness.run(1_000)
  assert.equal(starts(harness, 't1'), GRANT.slots - CAPACITY.slots)
  harness.run(30_000)
  assert.equal(starts(harness, 't1'), 6)
})

const HOUR_MS = 3_600_000
const recovered: readonly { readonly guards: string, readonly work: Partial<Work> & { readonly id: string }, readonly resumed: boolean, readonly restartedMsAgo: number, readonly expected: string }[] = [
  { guards: 'a resumed request that no target has seen runs', work: { id: 'g0-na', idempotent: false }, resumed: true, restartedMsAgo: HOUR_MS, expected: 'succeeded' },
  { guards: 'a resumed request does not run again when a target may have forgotten it', work: { id: 'g0-na', idempotent: false }, resumed: true, restartedMsAgo: 0, expected: 'outcome-unknown may-have-run' },
  { guards: 'a repeated key does not run again when a target may have forgotten it', work: { id: 'g0-ka', idempotent: false }, resumed: false, restartedMsAgo: 0, expected: 'outcome-unknown may-have-run' },
  { guards: 'a key issued after the restart of the target runs', work: { id: 'g0-ka', idempotent: false, keyIssuedAt: 100_000 }, resumed: false, restartedMsAgo: 90_000, expected: 'succeeded' },
  { guards: 'new work without a key runs', work: { id: 'g0-na', idempotent: false }, resumed: false, restartedMsAgo: 0, expected: 'succeeded' },
  { guards: 'a resumed idempotent request past its deadline is not called not-run', work: { id: 'g0-na', kind: 'request', deadlineAt: 1 }, resumed: true, restartedMsAgo: HOUR_MS, expected: 'deadline-passed may-have-run' }
]

for (const entry of recovered) {
  test(`group after a change of owner: ${entry.guards}`, () => {
    const target = InMemoryTarget.create({ capacity: CAPACITY, startedAt: 100_000 - entry.restartedMsAgo })
    const harness = GroupHarness.create(new Map([['t1', target]]), 2, ['t1'])
    harness.run(500)
    harness.grant(GRANT)
    harness.submit(requestOf(entry.work.id, { submittedAt: 99_000, ...entry.work }), entry.resumed)
    harness.run(1_000)
    assert.equal(verdictOf(harness, entry.work.id), entry.expected)
  })
}

test('group after a change of owner: a result kept by its target is given to the caller, and nothing runs twice', () => {
  const target = InMemoryTarget.create({ capacity: CAPACITY })
  const work = requestOf('g0-na', { idempotent: false })
  target.call(99_000, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
  target.call(99_000, { type: 'start', group: 0, epoch: 1, lease: 1, taskId: 'g0-na/0', attempt: 1, work })
  const harness = GroupHarness.create(new Map([['t1', target]]), 2, ['t1'])
  harness.run(500)
  harness.grant({ ...GRANT, ...ONE_SLOT })
  harness.submit(work, true)
  harness.run(500)
  assert.deepEqual(harness.answers.get('g0-na'), { type: 'succeeded', output: 'g0-na' })
  assert.equal(target.executions.length, 1)
})

test('group after a change of owner: a target that is listed late gets no more work than it has room for', () => {
  const target = InMemoryTarget.create({ capacity: CAPACITY })
  target.call(99_900, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
  for (let index = 0; index < 6; index += 1) {
    const work = requestOf(`g0-n${index}`, { payload: { runMs: 60_000 } })
    target.call(99_900, { type: 'start', group: 0, epoch: 1, lease: 1, taskId: `${work.id}/0`, attempt: 1, work })
  }
  const harness = GroupHarness.create(new Map([['t1', target]]), 2, ['t1'], ['t1'])
  harness.run(3_000)
  harness.grant({ ...GRANT, cpuMillis: 100_000, memoryMiB: 100_000, slots: 100, connections: 100 })
  for (let index = 6; index < 12; index += 1) harness.submit(requestOf(`g0-n${index}`, { payload: { runMs: 60_000 } }))
  harness.silent.clear()
  harness.run(2_000)
  assert.equal(starts(harness, 't1'), CAPACITY.slots - 6)
})

test('group: a service that the configuration defines runs, and only a publication ends it', () => {
  const target = InMemoryTarget.create({ capacity: CAPACITY })
  const harness = GroupHarness.create(new Map([['t1', target]]), 1, [])
  harness.run(500)
  harness.grant(GRANT)
  const service = { name: 'desk', queue: 'q', count: 2, family: 'desk', resources: ONE_SLOT, payload: {} }
  harness.apply({ type: 'configuration-applied', now: harness.now, configuration: { ...CONFIGURATION, revision: 2, services: new Map([['desk', service]]) } })
  harness.run(500)
  const running = (): number => target.executions.filter(({ endedAt }) => endedAt === undefined).length
  assert.equal(running(), 2)
  harness.apply({ type: 'group-requested', now: harness.now, from: 'm1', nonce: 'n', request: { type: 'cancel-matching', team: 'a' } })
  harness.run(2_000)
  assert.equal(running(), 2)
  harness.apply({ type: 'configuration-applied', now: harness.now, configuration: { ...CONFIGURATION, revision: 3 } })
  harness.run(10_000)
  assert.equal(running(), 0)
})
