import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { TaskAttempt } from '../../src/model/work.ts'
import type { TargetResponse, TargetCall } from '../../src/ports/target-client.ts'
import { InMemoryTarget } from '../../src/standins/target.ts'
import { CAPACITY, workOf } from './fixtures.ts'

type Answered = Extract<TargetResponse, { type: 'sync' }>

const OWNER = { group: 0, epoch: 1, lease: 1 }

function adoptedTarget (options: { usageLagMs?: number, checkpoints?: Map<string, number> } = {}): InMemoryTarget {
  const target = InMemoryTarget.create({ capacity: CAPACITY, ...options })
  target.call(0, { type: 'adopt', ...OWNER, leaseMs: 1_000 })
  return target
}

function start (taskId: string, payload: unknown, attempt = 1): TargetCall {
  return { type: 'start', ...OWNER, taskId, attempt, work: workOf(taskId.split('/')[0]!, payload) }
}

function sync (target: InMemoryTarget, now: number, acknowledged: TaskAttempt[] = []): Answered {
  const result = target.call(now, { type: 'sync', ...OWNER, leaseMs: 1_000, acknowledged, after: 0, waitMs: 0 })
  assert.ok(result !== 'waiting' && result.isOk() && result.value.type === 'sync')
  return result.value
}

function control (taskId: string, action: 'checkpoint' | 'throttle' | 'stop'): TargetCall {
  return { type: 'control', ...OWNER, taskId, action }
}

test('a lapsed task lease stops every task at the lapse, but a task that ended before keeps its result', () => {
  const target = adoptedTarget()
  target.call(0, start('g0-a/0', { runMs: 900 }))
  target.call(0, start('g0-b/0', { runMs: 1_100 }))
  const refused = target.call(5_000, start('g0-c/0', {}))
  assert.ok(refused !== 'waiting' && refused.isErr() && refused.error.reason === 'unknown-lease')
  const again = target.call(5_000, { type: 'adopt', ...OWNER, lease: 2, leaseMs: 1_000 })
  assert.ok(again !== 'waiting' && again.isOk() && again.value.type === 'adopt')
  assert.deepEqual(again.value.running, [])
  assert.deepEqual(again.value.ended.map((task) => task.outcome.type), ['succeeded', 'stopped'])
  assert.deepEqual(target.executions.map((run) => run.endedAt), [900, 1_000])
})

test('a late copy of an adopt neither extends nor revives a task lease', () => {
  const target = adoptedTarget()
  target.call(0, start('g0-a/0', { runMs: 5_000 }))
  const repeated = target.call(900, { type: 'adopt', ...OWNER, leaseMs: 1_000 })
  assert.ok(repeated !== 'waiting' && repeated.isOk())
  const late = target.call(1_500, { type: 'adopt', ...OWNER, leaseMs: 1_000 })
  assert.ok(late !== 'waiting' && late.isErr() && late.error.reason === 'unknown-lease')
  assert.equal(target.executions[0]!.endedAt, 1_000)
})

test('a start sent again does not run twice, while it runs, when ended and after its acknowledgement', () => {
  const target = adoptedTarget()
  for (const now of [0, 10]) {
    const running = target.call(now, start('g0-a/0', { runMs: 20 }))
    assert.ok(running !== 'waiting' && running.isOk() && running.value.type === 'start' && running.value.started)
  }
  const cases = [{ now: 30, acknowledged: [] }, { now: 40, acknowledged: [{ taskId: 'g0-a/0', attempt: 1 }] }]
  for (const { now, acknowledged } of cases) {
    sync(target, now, acknowledged)
    const again = target.call(now, start('g0-a/0', { runMs: 20 }))
    assert.deepEqual(again !== 'waiting' && again._unsafeUnwrap(), { type: 'start', started: false, refusal: 'duplicate-ended' })
  }
  assert.equal(target.executions.length, 1)
})

test('the acknowledgement of an earlier attempt does not drop the result of a newer one', () => {
  const target = adoptedTarget()
  target.call(0, start('g0-a/0', { runMs: 10 }))
  target.call(20, start('g0-a/0', { runMs: 10 }, 2))
  assert.deepEqual(sync(target, 40, [{ taskId: 'g0-a/0', attempt: 1 }]).ended.map(({ attempt }) => attempt), [2])
})

test('a later attempt does not run beside an earlier one', () => {
  const target = adoptedTarget()
  target.call(0, start('g0-a/0', { runMs: 500 }))
  const beside = target.call(10, start('g0-a/0', { runMs: 500 }, 2))
  assert.deepEqual(beside !== 'waiting' && beside._unsafeUnwrap(), { type: 'start', started: false, refusal: 'no-room' })
  target.call(20, control('g0-a/0', 'stop'))
  target.call(30, start('g0-a/0', { runMs: 500 }, 2))
  assert.deepEqual(target.executions.map((run) => [run.attempt, run.startedAt, run.endedAt]), [[1, 0, 20], [2, 30, undefined]])
})

test('usage is reported late, with the real amounts, and a throttle limits it', () => {
  const target = adoptedTarget({ usageLagMs: 100 })
  target.call(0, start('g0-a/0', { runMs: 900, usageFactor: 3 }))
  assert.deepEqual(sync(target, 50).usage, [])
  assert.equal(sync(target, 100).usage[0]!.resources.cpuMillis, 6_000)
  target.call(300, control('g0-a/0', 'throttle'))
  assert.equal(sync(target, 350).usage[0]!.resources.cpuMillis, 6_000)
  assert.equal(sync(target, 400).usage[0]!.resources.cpuMillis, 2_000)
  sync(target, 1_300)
  sync(target, 2_100)
  assert.equal(target.executions[0]!.endedAt, 2_100, 'the remaining 600 ms take three times as long')
})

test('a checkpointed task continues on another target', () => {
  const checkpoints = new Map<string, number>()
  const [one, two] = [adoptedTarget({ checkpoints }), adoptedTarget({ checkpoints })]
  one.call(0, start('g0-a/0', { runMs: 500 }))
  one.call(400, control('g0-a/0', 'checkpoint'))
  assert.deepEqual(sync(one, 400).ended[0]!.outcome, { type: 'stopped', checkpointed: true })
  two.call(450, start('g0-a/0', { runMs: 500 }, 2))
  two.advance(550)
  assert.equal(two.executions[0]!.endedAt, 550)
})

test('a failing target fails each task at once, a leaving one refuses starts, a restarted one forgets all', () => {
  const target = adoptedTarget()
  target.setFailing(true)
  target.call(0, start('g0-a/0', { runMs: 500 }))
  assert.deepEqual(sync(target, 0).ended[0]!.outcome, { type: 'failed', reason: 'host-fault' })
  assert.equal(target.usedResources.slots, 0, 'an ended task gives its slot back')
  target.setFailing(false)
  target.call(0, start('g0-b/0', { runMs: 500 }))
  target.setLeaving(true)
  const refused = target.call(0, start('g0-c/0', {}))
  assert.deepEqual(refused !== 'waiting' && refused._unsafeUnwrap(), { type: 'start', started: false, refusal: 'leaving' })
  target.restart(100)
  assert.equal(target.executions[1]!.endedAt, 100)
  const adopted = target.call(130, { type: 'adopt', ...OWNER, group: 1, leaseMs: 1_000 })
  assert.ok(adopted !== 'waiting' && adopted.isOk() && adopted.value.type === 'adopt')
  assert.equal(adopted.value.upMs, 30, 'an owner must learn that older results are lost')
  const forgotten = target.call(100, control('g0-b/0', 'stop'))
  assert.ok(forgotten !== 'waiting' && forgotten.isErr() && forgotten.error.reason === 'unknown-lease')
})

test('a service runs until it is stopped', () => {
  const target = adoptedTarget()
  target.call(0, { type: 'start', ...OWNER, taskId: 'g0-s/0', attempt: 1, work: workOf('g0-s', { runMs: 5 }, { kind: 'service', count: 1 }) })
  assert.equal(sync(target, 900).running, 1)
  target.call(950, control('g0-s/0', 'stop'))
  assert.equal(sync(target, 960).running, 0)
})
