import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createAmount, UNLIMITED, SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

const targets = [createTarget('t1'), createTarget('t2', { failureDomain: 'b' })]

test('capacity: a full target gets no more work, and the next task starts when one ends', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t1')])
  harness.submit(createWork('g0-b', { kind: 'batch', count: 10 }))
  assert.equal(harness.running.size, 8)
  assert.equal(harness.scheduler.explain('g0-b/9')?.reason, 'no-room')
  harness.endTask('g0-b/0')
  assert.equal(harness.running.size, 8)
  assert.equal(harness.scheduler.summary(0, 1, true).waiting, 1)
})

test('grant: a team that has used up its grant waits while another team starts, and the explanation gives the reason', () => {
  const harness = new SchedulerHarness([createTeam('sewing', { limit: createAmount(2) }), createTeam('dyeing')], targets)
  harness.submit(createWork('g0-b', { kind: 'batch', count: 5 }), createWork('g0-d', { kind: 'batch', count: 3 }, { team: 'dyeing' }))
  assert.equal(harness.getRunningTasks('g0-b').length, 2)
  assert.equal(harness.getRunningTasks('g0-d').length, 3)
  assert.equal(harness.scheduler.explain('g0-b/4')?.reason, 'team-limit')
  harness.apply({ type: 'grant-changed', team: 'sewing', amount: createAmount(4) })
  assert.equal(harness.getRunningTasks('g0-b').length, 4)
})

const unusableTargets = [
  { guards: 'a failure domain that is out gets no work', event: { type: 'domain-changed', failureDomain: 'a', state: 'out' } },
  { guards: 'a leaving target gets no work', event: { type: 'target-upserted', target: createTarget('t1', { state: 'leaving' }) } },
  { guards: 'a lost target gets no work', event: { type: 'target-removed', targetId: 't1' } }
] as const

for (const { guards, event } of unusableTargets) {
  test(`unusable target: ${guards}`, () => {
    const harness = new SchedulerHarness([createTeam('sewing')], targets)
    harness.apply(event)
    harness.submit(createWork('g0-b', { kind: 'batch', count: 16 }))
    harness.advanceTime(1000)
    assert.deepEqual(new Set(harness.running.values()), new Set(['t2']))
    assert.equal(harness.running.size, 8)
  })
}

test('failure domain: waiting work starts immediately in a domain that is in again', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], targets)
  harness.apply({ type: 'domain-changed', failureDomain: 'a', state: 'out' })
  harness.submit(createWork('g0-b', { kind: 'batch', count: 16 }))
  harness.apply({ type: 'domain-changed', failureDomain: 'a', state: 'in' })
  assert.equal(harness.running.size, 16)
})

test('gang: all tasks start together or none does', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], targets)
  harness.submit(createWork('g0-b', { kind: 'batch', count: 10 }), createWork('g0-g', { kind: 'gang', count: 8 }))
  assert.equal(harness.getRunningTasks('g0-g').length, 0)
  harness.endTask('g0-b/0')
  harness.endTask('g0-b/1')
  harness.advanceTime(200)
  assert.equal(harness.getRunningTasks('g0-g').length, 8)
})

test('cancellation: waiting tasks are removed, running ones are stopped and do not run again', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], targets)
  harness.submit(createWork('g0-b', { kind: 'batch', count: 20 }))
  harness.apply({ type: 'work-cancelled', work: 'g0-b' })
  assert.equal(harness.effects.filter((effect) => effect.type === 'stop').length, 16)
  harness.endTask('g0-b/0', 'stopped', true)
  assert.equal(harness.scheduler.summary(0, 1, true).waiting, 0)
  assert.equal(harness.running.has('g0-b/0'), false)
})

const refusals = [
  { guards: 'a task larger than every target', work: createWork('g0-x', { kind: 'batch', count: 1 }, { resources: createAmount(9) }), reason: 'never-fits' },
  { guards: 'a gang larger than the group', work: createWork('g0-x', { kind: 'gang', count: 17 }), reason: 'never-fits' },
  { guards: 'a task over the limit of its team', work: createWork('g0-x', { kind: 'batch', count: 1 }, { team: 'small', resources: createAmount(2) }), reason: 'over-team-limit' },
  { guards: 'a gang over the limit of its team', work: createWork('g0-x', { kind: 'gang', count: 2 }, { team: 'small' }), reason: 'over-team-limit' },
  { guards: 'a request whose deadline has passed', work: createWork('g0-x', { kind: 'request', deadlineAt: 0 }), reason: 'deadline-passed' },
  { guards: 'work with more tasks than may wait', work: createWork('g0-x', { kind: 'batch', count: 6 }, { team: 'small' }), reason: 'over-team-limit' },
  { guards: 'work of a team that is not configured', work: createWork('g0-x', { kind: 'batch', count: 1 }, { team: 'nobody' }), reason: 'unknown-queue' }
]

for (const entry of refusals) {
  test(`refusal: ${entry.guards} is refused on submission`, () => {
    const harness = new SchedulerHarness([createTeam('sewing'), createTeam('small', { limit: createAmount(1), waitingLimit: 5 })], targets)
    harness.submit(entry.work)
    assert.equal(harness.getRejectionReason('g0-x'), entry.reason)
    assert.equal(harness.scheduler.explain('g0-x/0')?.reason, entry.reason)
    assert.equal(harness.running.size, 0)
  })
}

test('never-fits: the refusal names the largest shape that fits', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], targets)
  harness.submit(createWork('g0-x', { kind: 'batch', count: 1 }, { resources: { ...createAmount(4), cpuMillis: 20_000 } }))
  const refusal = harness.effects.flatMap((effect) => effect.type === 'reject' ? [effect.refusal] : [])[0]
  assert.deepEqual(refusal?.reason === 'never-fits' ? refusal.nearest : undefined, { ...createAmount(4), cpuMillis: 16_000 })
})

test('recovery: a task found running is not started again, whether it is reported before or after its work is submitted', () => {
  for (const submittedFirst of [true, false]) {
    const harness = new SchedulerHarness([createTeam('sewing')], targets)
    const job = createWork('g0-b', { kind: 'batch', count: 3 })
    const submit = () => harness.apply({ type: 'work-submitted', work: job, remaining: [0, 1, 2] })
    const recover = () => harness.apply({ type: 'task-recovered', taskId: 'g0-b/1', work: job, targetId: 't1', startedAt: 0 })
    harness.apply({ type: 'grant-changed', team: 'sewing', amount: createAmount(0) })
    if (submittedFirst) submit()
    recover()
    if (!submittedFirst) submit()
    harness.apply({ type: 'grant-changed', team: 'sewing', amount: UNLIMITED })
    assert.deepEqual([...harness.running.keys()].sort(), ['g0-b/0', 'g0-b/2'])
    assert.equal(harness.scheduler.usage('sewing').slots, 3)
  }
})

test('late report: the end of an earlier run on another target does not end the current run', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], targets)
  harness.submit(createWork('g0-b', { kind: 'batch', count: 1 }))
  const elsewhere = harness.running.get('g0-b/0') === 't1' ? 't2' : 't1'
  harness.apply({ type: 'task-ended', taskId: 'g0-b/0', targetId: elsewhere, completion: 'lost', mustRunAgain: true })
  assert.equal(harness.scheduler.explain('g0-b/0')?.state, 'starting')
})
