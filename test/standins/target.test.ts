import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { TaskAttempt } from '../../src/model/work.ts'
import type { TargetResponse, TargetCall } from '../../src/ports/target-client.ts'
import { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, createWork } from './fixtures.ts'

type SyncResponse = Extract<TargetResponse, { type: 'sync' }>

const OWNER = { group: 0, epoch: 1, lease: 1 }

function createAdoptedTarget (options: { usageLagMs?: number, checkpoints?: Map<string, number> } = {}): InMemoryTarget {
  const target = InMemoryTarget.create({ capacity: CAPACITY, ...options })
  target.call(0, { type: 'adopt', ...OWNER, leaseMs: 1_000 })
  return target
}

function createStart (taskId: string, payload: unknown, attempt = 1): TargetCall {
  return { type: 'start', ...OWNER, taskId, attempt, work: createWork(taskId.split('/')[0]!, payload) }
}

function sync (target: InMemoryTarget, now: number, acknowledged: TaskAttempt[] = []): SyncResponse {
  const result = target.call(now, { type: 'sync', ...OWNER, leaseMs: 1_000, acknowledged, after: 0, waitMs: 0 })
  assert.ok(result !== 'waiting' && result.isOk() && result.value.type === 'sync')
  return result.value
}

function createControl (taskId: string, action: 'checkpoint' | 'throttle' | 'stop'): TargetCall {
  return { type: 'control', ...OWNER, taskId, action }
}

test('an expired task lease stops each task at its expiry, and does not change the result of a task that ended before', () => {
  const target = createAdoptedTarget()
  target.call(0, createStart('g0-a/0', { runMs: 900 }))
  target.call(0, createStart('g0-b/0', { runMs: 1_100 }))
  const refused = target.call(5_000, createStart('g0-c/0', {}))
  assert.ok(refused !== 'waiting' && refused.isErr() && refused.error.reason === 'unknown-lease')
  const again = target.call(5_000, { type: 'adopt', ...OWNER, lease: 2, leaseMs: 1_000 })
  assert.ok(again !== 'waiting' && again.isOk() && again.value.type === 'adopt')
  assert.deepEqual(again.value.running, [])
  assert.deepEqual(again.value.ended.map((task) => task.outcome.type), ['succeeded', 'stopped'])
  assert.deepEqual(target.executions.map((run) => run.endedAt), [900, 1_000])
})

test('a late copy of an adopt neither extends a task lease nor restores an expired one', () => {
  const target = createAdoptedTarget()
  target.call(0, createStart('g0-a/0', { runMs: 5_000 }))
  const repeated = target.call(900, { type: 'adopt', ...OWNER, leaseMs: 1_000 })
  assert.ok(repeated !== 'waiting' && repeated.isOk())
  const late = target.call(1_500, { type: 'adopt', ...OWNER, leaseMs: 1_000 })
  assert.ok(late !== 'waiting' && late.isErr() && late.error.reason === 'unknown-lease')
  assert.equal(target.executions[0]!.endedAt, 1_000)
})

test('a repeated start does not run the task again, neither while it runs nor before or after the acknowledgement', () => {
  const target = createAdoptedTarget()
  for (const now of [0, 10]) {
    const running = target.call(now, createStart('g0-a/0', { runMs: 20 }))
    assert.ok(running !== 'waiting' && running.isOk() && running.value.type === 'start' && running.value.started)
  }
  const cases = [{ now: 30, acknowledged: [] }, { now: 40, acknowledged: [{ taskId: 'g0-a/0', attempt: 1 }] }]
  for (const { now, acknowledged } of cases) {
    sync(target, now, acknowledged)
    const again = target.call(now, createStart('g0-a/0', { runMs: 20 }))
    assert.deepEqual(again !== 'waiting' && again._unsafeUnwrap(), { type: 'start', started: false, refusal: 'duplicate-ended' })
  }
  assert.equal(target.executions.length, 1)
})

test('the acknowledgement of an earlier attempt does not remove the result of a newer one', () => {
  const target = createAdoptedTarget()
  target.call(0, createStart('g0-a/0', { runMs: 10 }))
  target.call(20, createStart('g0-a/0', { runMs: 10 }, 2))
  assert.deepEqual(sync(target, 40, [{ taskId: 'g0-a/0', attempt: 1 }]).ended.map(({ attempt }) => attempt), [2])
})

test('a later attempt does not run at the same time as an earlier one', () => {
  const target = createAdoptedTarget()
  target.call(0, createStart('g0-a/0', { runMs: 500 }))
  const laterAttempt = target.call(10, createStart('g0-a/0', { runMs: 500 }, 2))
  assert.deepEqual(laterAttempt !== 'waiting' && laterAttempt._unsafeUnwrap(), { type: 'start', started: false, refusal: 'no-room' })
  target.call(20, createControl('g0-a/0', 'stop'))
  target.call(30, createStart('g0-a/0', { runMs: 500 }, 2))
  assert.deepEqual(target.executions.map((run) => [run.attempt, run.startedAt, run.endedAt]), [[1, 0, 20], [2, 30, undefined]])
})

test('usage is reported after the lag with the actual amounts, and a throttle limits it to the declared amounts', () => {
  const target = createAdoptedTarget({ usageLagMs: 100 })
  target.call(0, createStart('g0-a/0', { runMs: 900, usageFactor: 3 }))
  assert.deepEqual(sync(target, 50).usage, [])
  assert.equal(sync(target, 100).usage[0]!.resources.cpuMillis, 6_000)
  target.call(300, createControl('g0-a/0', 'throttle'))
  assert.equal(sync(target, 350).usage[0]!.resources.cpuMillis, 6_000)
  assert.equal(sync(target, 400).usage[0]!.resources.cpuMillis, 2_000)
  sync(target, 1_300)
  sync(target, 2_100)
  assert.equal(target.executions[0]!.endedAt, 2_100, 'the remaining 600 ms take three times as long')
})

test('a checkpointed task continues on another target', () => {
  const checkpoints = new Map<string, number>()
  const [source, destination] = [createAdoptedTarget({ checkpoints }), createAdoptedTarget({ checkpoints })]
  source.call(0, createStart('g0-a/0', { runMs: 500 }))
  source.call(400, createControl('g0-a/0', 'checkpoint'))
  assert.deepEqual(sync(source, 400).ended[0]!.outcome, { type: 'stopped', checkpointed: true })
  destination.call(450, createStart('g0-a/0', { runMs: 500 }, 2))
  destination.advance(550)
  assert.equal(destination.executions[0]!.endedAt, 550)
})

test('a failing target fails each task at once, a leaving one refuses starts, and a restarted one loses its state', () => {
  const target = createAdoptedTarget()
  target.setFailing(true)
  target.call(0, createStart('g0-a/0', { runMs: 500 }))
  assert.deepEqual(sync(target, 0).ended[0]!.outcome, { type: 'failed', reason: 'host-fault' })
  assert.equal(target.usedResources.slots, 0, 'an ended task must release its slot')
  target.setFailing(false)
  target.call(0, createStart('g0-b/0', { runMs: 500 }))
  target.setLeaving(true)
  const refused = target.call(0, createStart('g0-c/0', {}))
  assert.deepEqual(refused !== 'waiting' && refused._unsafeUnwrap(), { type: 'start', started: false, refusal: 'leaving' })
  target.restart(100)
  assert.equal(target.executions[1]!.endedAt, 100)
  const adopted = target.call(130, { type: 'adopt', ...OWNER, group: 1, leaseMs: 1_000 })
  assert.ok(adopted !== 'waiting' && adopted.isOk() && adopted.value.type === 'adopt')
  assert.equal(adopted.value.upMs, 30, 'upMs must show the owner that older results are lost')
  const afterRestart = target.call(100, createControl('g0-b/0', 'stop'))
  assert.ok(afterRestart !== 'waiting' && afterRestart.isErr() && afterRestart.error.reason === 'unknown-lease')
})

test('a service runs until it is stopped', () => {
  const target = createAdoptedTarget()
  target.call(0, { type: 'start', ...OWNER, taskId: 'g0-s/0', attempt: 1, work: createWork('g0-s', { runMs: 5 }, { kind: 'service', count: 1 }) })
  assert.equal(sync(target, 900).running, 1)
  target.call(950, createControl('g0-s/0', 'stop'))
  assert.equal(sync(target, 960).running, 0)
})
