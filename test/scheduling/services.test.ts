import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createAmount, SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

const createFleet = () => Array.from({ length: 12 }, (_, index) => createTarget(`t${index}`, { failureDomain: 'abc'[index % 3]!, rack: `r${index % 4}` }))
const getDomain = (id: string) => 'abc'[Number(id.slice(1)) % 3]!

function countTasksByKey (harness: SchedulerHarness, key: (targetId: string) => string): readonly number[] {
  const counts = new Map<string, number>()
  for (const targetId of harness.running.values()) counts.set(key(targetId), (counts.get(key(targetId)) ?? 0) + 1)
  return [...counts.values()].sort()
}

test('services: the tasks of a service are spread over failure domains, then racks, then targets', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet())
  harness.submit(createWork('g0-s', { kind: 'service', count: 6 }))
  assert.deepEqual(countTasksByKey(harness, getDomain), [2, 2, 2])
  assert.deepEqual(countTasksByKey(harness, (id) => `${getDomain(id)}${Number(id.slice(1)) % 4}`), [1, 1, 1, 1, 1, 1])
})

const evacuations = [
  { guards: 'a leaving target', event: { type: 'target-upserted', target: createTarget('t0', { state: 'leaving', rack: 'r0' }) }, left: (id: string) => id === 't0' },
  { guards: 'a domain that is out', event: { type: 'domain-changed', failureDomain: 'a', state: 'out' }, left: (id: string) => getDomain(id) === 'a' }
] as const

for (const { guards, event, left } of evacuations) {
  test(`services: tasks move away from ${guards}, and each is stopped only when capacity is reserved on another target`, () => {
    const harness = new SchedulerHarness([createTeam('sewing')], createFleet())
    harness.submit(createWork('g0-s', { kind: 'service', count: 12 }))
    harness.apply(event)
    let minRunning = 12
    for (let step = 0; step < 100; step += 1) {
      harness.advanceTime(100)
      minRunning = Math.min(minRunning, harness.running.size)
    }
    assert.equal(harness.running.size, 12)
    assert.ok([...harness.running.values()].every((targetId) => !left(targetId)))
    assert.equal(minRunning, 12, 'a stopped task starts on another target immediately')
  })
}

test('services: no task is stopped while no other target has free capacity for it', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t0'), createTarget('t1')])
  harness.submit(createWork('g0-r', { kind: 'service', count: 16 }))
  harness.apply({ type: 'target-upserted', target: createTarget('t0', { state: 'leaving' }) })
  harness.advanceTime(5000)
  assert.equal(harness.running.size, 16)
  assert.equal(harness.effects.some((effect) => effect.type === 'stop'), false)
})

test('profiles: batch work on a leaving target is moved immediately with the profile prompt, after a grace time with packing', () => {
  for (const [weighs, movedEarly] of [['prompt', true], ['packing', false]] as const) {
    const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t0'), createTarget('t1')], {}, weighs)
    harness.submit(createWork('g0-b', { kind: 'batch', count: 1 }))
    const targetId = harness.running.get('g0-b/0')!
    harness.apply({ type: 'target-upserted', target: createTarget(targetId, { state: 'leaving' }) })
    harness.advanceTime(2000)
    assert.equal(harness.running.get('g0-b/0') !== targetId, movedEarly, weighs)
    harness.advanceTime(31_000)
    assert.notEqual(harness.running.get('g0-b/0'), targetId, weighs)
  }
})

test('reclaim: a new team in a full group gets its share although no task ends, and the other team keeps its own', () => {
  const harness = new SchedulerHarness([createTeam('old'), createTeam('new')], createFleet())
  harness.submit(createWork('g0-old', { kind: 'batch', count: 200 }, { team: 'old' }))
  harness.advanceTime(1000)
  harness.submit(createWork('g0-new', { kind: 'batch', count: 200 }, { team: 'new' }))
  harness.advanceTime(60_000)
  assert.ok(Math.abs(harness.scheduler.usage('new').slots - 48) <= 2, `${harness.scheduler.usage('new').slots} of 96`)
  const reclaimed = harness.effects.filter((effect) => effect.type === 'stop').length
  assert.ok(reclaimed <= 52, `${reclaimed} tasks were stopped; more would mean that the teams preempt each other in turn`)
})

test('limits: when the grant falls below the usage, batch tasks are checkpointed until the usage fits', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet())
  harness.submit(createWork('g0-b', { kind: 'batch', count: 20 }))
  harness.advanceTime(200)
  harness.apply({ type: 'grant-changed', team: 'sewing', amount: createAmount(12) })
  harness.advanceTime(1000)
  assert.equal(harness.running.size, 20, 'a grant may lag behind after a takeover')
  harness.advanceTime(6000)
  assert.equal(harness.running.size, 12)
})

test('large tasks: a task that needs a whole target starts although small tasks always wait for the same capacity', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t0'), createTarget('t1'), createTarget('t2')])
  harness.submit(createWork('g0-small', { kind: 'batch', count: 50_000 }), createWork('g0-large', { kind: 'batch', count: 1 }, { resources: createAmount(8) }))
  for (let step = 0; step < 600 && harness.getRunningTasks('g0-large').length === 0; step += 1) {
    harness.advanceTime(100)
    for (const id of harness.getRunningTasks('g0-small').slice(0, 1)) harness.endTask(id)
  }
  assert.equal(harness.getRunningTasks('g0-large').length, 1)
})

test('services: a moving task does not start on a target whose capacity was reduced after the reservation', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t0'), createTarget('t1')])
  harness.submit(createWork('g0-s', { kind: 'service', count: 1 }))
  const targetId = harness.running.get('g0-s/0')!
  const other = targetId === 't0' ? 't1' : 't0'
  harness.apply({ type: 'target-upserted', target: createTarget(targetId, { state: 'leaving' }) })
  harness.advanceTime(100, false)
  assert.ok(harness.stopRequests.has('g0-s/0'))
  harness.apply({ type: 'target-upserted', target: createTarget(other, { capacity: { ...createAmount(0), connections: 60 } }) })
  harness.endStoppedTasks()
  assert.equal(harness.running.size, 0)
})

test('limits: recovered tasks of a team that has not received a grant yet keep running', () => {
  const harness = new SchedulerHarness([], [createTarget('t0')])
  harness.apply({ type: 'task-recovered', taskId: 'g0-b/0', work: createWork('g0-b', { kind: 'batch', count: 1 }), targetId: 't0', startedAt: 0 })
  harness.advanceTime(10_000)
  assert.equal(harness.effects.some((effect) => effect.type === 'stop'), false)
})

test('services: an urgent service also moves away from a leaving target', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t0'), createTarget('t1')])
  harness.submit(createWork('g0-s', { kind: 'service', count: 1 }, { urgent: true }))
  const targetId = harness.running.get('g0-s/0')!
  harness.apply({ type: 'target-upserted', target: createTarget(targetId, { state: 'leaving' }) })
  harness.advanceTime(500)
  assert.ok(harness.running.has('g0-s/0') && harness.running.get('g0-s/0') !== targetId)
})
