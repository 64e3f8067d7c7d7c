import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createAmount, SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

const createFleet = (count: number) => Array.from({ length: count }, (_, index) => createTarget(`t${index}`, { failureDomain: 'ab'[index % 2]! }))

/** Ends a few one-slot tasks in each tick, which others replace, so that capacity for large tasks does not become free by chance. */
function replaceSmallTasks (harness: SchedulerHarness, durationMs: number): void {
  for (const until = harness.now + durationMs; harness.now < until;) {
    harness.advanceTime(100)
    const smallTasks = harness.getRunningTasks('g0-small')
    for (const id of smallTasks.slice(0, 2)) harness.endTask(id)
  }
}

test('gang reservation: a gang starts although small tasks always wait for the same capacity', () => {
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('dyeing')], createFleet(4))
  harness.submit(createWork('g0-small', { kind: 'batch', count: 50_000 }, { team: 'dyeing', idempotent: true }))
  harness.submit(createWork('g0-gang', { kind: 'gang', count: 4 }, { resources: createAmount(4) }))
  replaceSmallTasks(harness, 20_000)
  assert.equal(harness.getRunningTasks('g0-gang').length, 4)
})

test('gang reservation: two gangs that each need more than half of the group do not deadlock but run one after the other', () => {
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('dyeing')], createFleet(4))
  harness.submit(createWork('g0-small', { kind: 'batch', count: 32 }, { team: 'dyeing' }))
  harness.submit(createWork('g0-ga', { kind: 'gang', count: 20 }), createWork('g0-gb', { kind: 'gang', count: 20 }, { team: 'dyeing' }))
  const seen = new Set<string>()
  for (let step = 0; step < 600 && seen.size < 2; step += 1) {
    replaceSmallTasks(harness, 100)
    for (const name of ['g0-ga', 'g0-gb']) {
      const members = harness.getRunningTasks(name)
      assert.ok(members.length === 0 || members.length === 20, `${members.length} of ${name} run`)
      if (members.length === 20) seen.add(name)
      for (const id of members) harness.endTask(id)
    }
  }
  assert.equal(seen.size, 2)
})

test('gang reservation: it expires when the gang cannot get capacity for all its tasks, and other work uses the claimed capacity', () => {
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('dyeing')], createFleet(2), {}, 'prompt')
  harness.submit(createWork('g0-stay', { kind: 'request', deadlineAt: 1e9 }, { team: 'dyeing', idempotent: false }))
  harness.submit(createWork('g0-gang', { kind: 'gang', count: 2 }, { resources: createAmount(8) }))
  harness.advanceTime(3000)
  for (let index = 0; index < 8; index += 1) harness.submit(createWork(`g0-b${index}`, { kind: 'request', deadlineAt: 1e9 }, { team: 'dyeing', idempotent: false }))
  const counted = (reason: string) => harness.effects.some((effect) => effect.type === 'count' && effect.counter === 'gang-reservation' && effect.reason === reason)
  assert.ok(counted('begun'))
  harness.advanceTime(20_000)
  assert.ok(counted('expired'))
  assert.equal(harness.getRunningTasks('g0-b').length, 8)
  assert.equal(harness.getRunningTasks('g0-gang').length, 0)
})

test('gang reservation: short tasks are backfilled into the claimed capacity', () => {
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('dyeing')], createFleet(2))
  for (let index = 0; index < 6; index += 1) {
    harness.submit(createWork(`g0-s${index}`, { kind: 'batch', count: 1 }, { team: 'dyeing', family: 'short' }))
    harness.now += 100
    harness.endTask(`g0-s${index}/0`)
  }
  harness.submit(createWork('g0-stay', { kind: 'request', deadlineAt: 1e9 }, { team: 'dyeing', idempotent: false }))
  harness.submit(createWork('g0-gang', { kind: 'gang', count: 2 }, { resources: createAmount(8) }))
  harness.advanceTime(2000)
  harness.submit(createWork('g0-fill', { kind: 'batch', count: 30 }, { team: 'dyeing', family: 'short' }))
  harness.advanceTime(2000)
  const filled = harness.effects.filter((effect) => effect.type === 'count' && effect.counter === 'backfilled').length
  assert.ok(filled > 0, 'nothing was backfilled')
  harness.endTask('g0-stay/0')
  for (let step = 0; step < 50 && harness.getRunningTasks('g0-gang').length === 0; step += 1) {
    harness.advanceTime(100)
    for (const id of harness.getRunningTasks('g0-fill')) harness.endTask(id)
  }
  assert.equal(harness.getRunningTasks('g0-gang').length, 2, 'backfilled tasks do not prevent the gang from starting')
})

test('gang: when one task must run again, a checkpoint of the others is requested and all start again together', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(2))
  harness.submit(createWork('g0-gang', { kind: 'gang', count: 6 }))
  harness.endTask('g0-gang/2', 'lost', true)
  assert.equal(harness.stopRequests.size, 5)
  harness.advanceTime(5000)
  assert.equal(harness.getRunningTasks('g0-gang').length, 6)
})

test('gang: a cancelled gang releases its claimed capacity', () => {
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('dyeing')], createFleet(2))
  harness.submit(createWork('g0-stay', { kind: 'request', deadlineAt: 1e9 }, { team: 'dyeing', idempotent: false }))
  harness.submit(createWork('g0-gang', { kind: 'gang', count: 2 }, { resources: createAmount(8) }))
  harness.advanceTime(3000)
  harness.apply({ type: 'work-cancelled', work: 'g0-gang' })
  harness.submit(createWork('g0-b', { kind: 'batch', count: 15 }, { team: 'dyeing' }))
  harness.advanceTime(500)
  assert.equal(harness.getRunningTasks('g0-b').length, 15)
})

test('gang reservation: nothing is backfilled while preempted tasks still run in the claimed capacity', () => {
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('dyeing')], createFleet(1))
  for (let index = 0; index < 6; index += 1) {
    harness.submit(createWork(`g0-s${index}`, { kind: 'batch', count: 1 }, { team: 'dyeing', family: 'short' }))
    harness.now += 100
    harness.endTask(`g0-s${index}/0`)
  }
  harness.submit(createWork('g0-b', { kind: 'batch', count: 8 }, { team: 'dyeing', family: 'long' }))
  harness.submit(createWork('g0-gang', { kind: 'gang', count: 2 }, { resources: createAmount(2) }))
  harness.advanceTime(2000, false)
  harness.submit(createWork('g0-fill', { kind: 'batch', count: 4 }, { team: 'dyeing', family: 'short' }))
  harness.advanceTime(3000, false)
  assert.ok(harness.stopRequests.size > 0, 'some tasks are being preempted')
  assert.equal(harness.running.size, 8)
})
