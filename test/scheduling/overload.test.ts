import assert from 'node:assert/strict'
import { test } from 'node:test'
import { SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

test('waiting limit: requests of a team above its limit are refused with a retry time, and another team is not delayed', () => {
  const harness = new SchedulerHarness([createTeam('sewing', { waitingLimit: 10 }), createTeam('dyeing')], [createTarget('t1')])
  for (let index = 0; index < 30; index += 1) harness.submit(createWork(`g0-r${index}`, { kind: 'request', deadlineAt: 1e9 }))
  const refusals = harness.effects.flatMap((effect) => effect.type === 'reject' ? [effect.refusal] : [])
  assert.equal(refusals.length, 12)
  assert.ok(refusals.every((refusal) => refusal.reason === 'overloaded' && refusal.retryAfterMs > 0))
  harness.submit(createWork('g0-d', { kind: 'request', deadlineAt: 1e9 }, { team: 'dyeing' }))
  harness.endTask('g0-r0/0')
  assert.ok(harness.running.has('g0-d/0'), 'the team below its share is next')
})

test('waiting limit: recovered work, which was accepted before, is not refused', () => {
  const harness = new SchedulerHarness([createTeam('sewing', { waitingLimit: 2 })], [])
  harness.apply({ type: 'work-submitted', work: createWork('g0-b', { kind: 'batch', count: 5 }), remaining: [0, 1, 2, 3, 4] })
  assert.equal(harness.getRejectionReason('g0-b'), undefined)
  assert.equal(harness.scheduler.summary(0, 1, true).waiting, 5)
})

test('shedding: a waiting request is refused when its deadline has passed, and does not start afterwards', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t1')])
  harness.submit(createWork('g0-b', { kind: 'batch', count: 8 }), createWork('g0-r', { kind: 'request', deadlineAt: 3000 }))
  harness.advanceTime(3500)
  assert.equal(harness.getRejectionReason('g0-r'), 'deadline-passed')
  harness.endTask('g0-b/0')
  assert.equal(harness.running.has('g0-r/0'), false)
  assert.equal(harness.scheduler.summary(0, 1, true).waiting, 0)
})

test('shedding: a late request that may have run before is given up; it is not refused as if it never ran', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t1')])
  harness.submit(createWork('g0-r', { kind: 'request', deadlineAt: 3000 }))
  harness.apply({ type: 'target-upserted', target: createTarget('t1', { state: 'leaving' }) })
  harness.endTask('g0-r/0', 'lost', true)
  harness.advanceTime(4000)
  assert.equal(harness.getRejectionReason('g0-r'), undefined)
  assert.ok(harness.effects.some((effect) => effect.type === 'give-up' && effect.taskId === 'g0-r/0'))
})

test('shedding: a request that by the measured run time cannot end before its deadline is refused on submission', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t1')])
  for (let index = 0; index < 6; index += 1) {
    harness.submit(createWork(`g0-r${index}`, { kind: 'request', deadlineAt: 1e9 }))
    harness.now += 10_000
    harness.endTask(`g0-r${index}/0`)
  }
  harness.submit(createWork('g0-late', { kind: 'request', deadlineAt: harness.now + 1000 }))
  assert.equal(harness.getRejectionReason('g0-late'), 'deadline-unreachable')
})

test('waiting time: a request with a short deadline behind a long queue is refused on submission', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t1')])
  harness.submit(...Array.from({ length: 200 }, (_, index) => createWork(`g0-r${index}`, { kind: 'request', deadlineAt: 1e9 })))
  for (let second = 0; second < 10; second += 1) {
    harness.advanceTime(1000)
    harness.endTask(harness.getRunningTasks()[0]!)
  }
  harness.submit(createWork('g0-short', { kind: 'request', deadlineAt: harness.now + 5000 }))
  assert.equal(harness.getRejectionReason('g0-short'), 'deadline-unreachable')
})
