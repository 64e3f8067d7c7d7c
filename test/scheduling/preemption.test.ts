import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createAmount, SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

const URGENT_WORK = { urgent: true, team: 'alarms', family: 'page' }

function getStops (harness: SchedulerHarness) {
  return harness.effects.flatMap((effect) => effect.type === 'stop' ? [effect] : [])
}

function createFullGroup (changes: Parameters<typeof createWork>[2], kind: 'batch' | 'request' = 'batch'): SchedulerHarness {
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('alarms')], [createTarget('t1'), createTarget('t2', { failureDomain: 'b' })])
  for (let index = 0; index < 16; index += 1) {
    harness.now += 1000
    harness.submit(createWork(`g0-w${index}`, kind === 'batch' ? { kind, count: 1 } : { kind, deadlineAt: 1e9 }, changes))
  }
  harness.advanceTime(1000)
  return harness
}

test('urgent: a request starts in a full group after a checkpoint of batch work, which runs again later', () => {
  const harness = createFullGroup({ idempotent: false })
  harness.submit(createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK))
  harness.advanceTime(200)
  assert.deepEqual(getStops(harness).map(({ mode, cause }) => [mode, cause]), [['checkpoint', 'urgent-work']])
  assert.ok(harness.running.has('g0-u/0'))
  harness.endTask('g0-u/0')
  assert.equal(harness.getRunningTasks('g0-w').length, 16)
})

test('urgent: requests that are not idempotent are never stopped for urgent work', () => {
  const harness = createFullGroup({ idempotent: false }, 'request')
  harness.submit(createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK))
  harness.advanceTime(20_000)
  assert.deepEqual(getStops(harness), [])
  harness.endTask('g0-w3/0')
  assert.ok(harness.running.has('g0-u/0'), 'starts as soon as capacity becomes free')
})

test('urgent: the task that loses the least work is preempted', () => {
  const harness = createFullGroup({ idempotent: true }, 'request')
  harness.submit(createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK))
  harness.advanceTime(200)
  assert.deepEqual(getStops(harness).map(({ taskId }) => taskId), ['g0-w15/0'])
})

test('urgent: only idempotent work is stopped without a checkpoint when it makes none in time', () => {
  for (const idempotent of [true, false]) {
    const harness = createFullGroup({ idempotent })
    harness.submit(createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK))
    harness.advanceTime(6000, false)
    assert.equal(getStops(harness).some(({ mode }) => mode === 'stop'), idempotent)
  }
})

test('urgent: nothing starts in the claimed capacity before the preempted task has ended', () => {
  const harness = createFullGroup({})
  harness.submit(createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK), createWork('g0-late', { kind: 'batch', count: 4 }))
  harness.advanceTime(1000, false)
  assert.equal(harness.running.size, 16)
  assert.equal(harness.scheduler.explain('g0-u/0')?.reason, 'room-reserved')
})

test('urgent: many requests of a team above its share do not preempt tasks of a team within its share', () => {
  const harness = createFullGroup({})
  harness.submit(...Array.from({ length: 40 }, (_, index) => createWork(`g0-u${index}`, { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK)))
  harness.advanceTime(10_000)
  assert.ok(harness.getRunningTasks('g0-u').length >= 7, `${harness.getRunningTasks('g0-u').length}: gets its own half`)
  assert.ok(harness.getRunningTasks('g0-w').length >= 7, `${harness.getRunningTasks('g0-w').length}: the other team keeps its half`)
})

test('urgent: a team that has used up its grant preempts its own batch work', () => {
  const harness = new SchedulerHarness([createTeam('alarms', { limit: createAmount(3) })], [createTarget('t1')])
  harness.submit(createWork('g0-b', { kind: 'batch', count: 5 }, { team: 'alarms' }), createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK))
  harness.endStoppedTasks()
  assert.ok(harness.running.has('g0-u/0'))
  assert.equal(harness.getRunningTasks('g0-b').length, 2)
})

test('urgent reserve: urgent work starts without preemption although batch work waits for all capacity', () => {
  const fleet = Array.from({ length: 30 }, (_, index) => createTarget(`t${index}`))
  const harness = new SchedulerHarness([createTeam('sewing'), createTeam('alarms')], fleet, {}, 'prompt')
  harness.submit(createWork('g0-b', { kind: 'batch', count: 1000 }, { resources: createAmount(1, 2000) }))
  harness.advanceTime(1000)
  harness.submit(createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK))
  assert.ok(harness.running.has('g0-u/0'))
  assert.deepEqual(getStops(harness), [])
})

test('urgent: a task that makes no checkpoint and may not be stopped without one keeps running, and is preempted only once', () => {
  const harness = createFullGroup({ idempotent: false })
  harness.submit(createWork('g0-u', { kind: 'request', deadlineAt: 1e9 }, URGENT_WORK))
  harness.advanceTime(30_000, false)
  const asked = getStops(harness).map(({ taskId }) => taskId)
  assert.ok(asked.length >= 2, 'other tasks are preempted after the first')
  assert.equal(new Set(asked).size, asked.length)
  assert.equal(harness.scheduler.explain(asked[0]!)?.decisions.at(-1)?.decision, 'left-running')
})
