import assert from 'node:assert/strict'
import { test } from 'node:test'
import { amount, LARGE, Rig, target, team, work } from './support.ts'

const targets = [target('t1'), target('t2', { failureDomain: 'b' })]

test('capacity: a full target gets no more work, and the next task starts when one ends', () => {
  const rig = new Rig([team('sewing')], [target('t1')])
  rig.submit(work('g0-b', { kind: 'batch', count: 10 }))
  assert.equal(rig.running.size, 8)
  assert.equal(rig.scheduler.explain('g0-b/9')?.reason, 'no-room')
  rig.end('g0-b/0')
  assert.equal(rig.running.size, 8)
  assert.equal(rig.scheduler.summary(0, 1, true).waiting, 1)
})

test('grant: a team without room in its grant waits while another team starts, and its explanation says why', () => {
  const rig = new Rig([team('sewing', { limit: amount(2) }), team('dyeing')], targets)
  rig.submit(work('g0-b', { kind: 'batch', count: 5 }), work('g0-d', { kind: 'batch', count: 3 }, { team: 'dyeing' }))
  assert.equal(rig.starts('g0-b').length, 2)
  assert.equal(rig.starts('g0-d').length, 3)
  assert.equal(rig.scheduler.explain('g0-b/4')?.reason, 'team-limit')
  rig.send({ type: 'grant-changed', team: 'sewing', amount: amount(4) })
  assert.equal(rig.starts('g0-b').length, 4)
})

const barred = [
  { guards: 'a failure domain that is out gets no work', event: { type: 'domain-changed', failureDomain: 'a', state: 'out' } },
  { guards: 'a leaving target gets no work', event: { type: 'target-upserted', target: target('t1', { state: 'leaving' }) } },
  { guards: 'a lost target gets no work', event: { type: 'target-removed', targetId: 't1' } }
] as const

for (const { guards, event } of barred) {
  test(`barred target: ${guards}`, () => {
    const rig = new Rig([team('sewing')], targets)
    rig.send(event)
    rig.submit(work('g0-b', { kind: 'batch', count: 16 }))
    rig.pass(1000)
    assert.deepEqual(new Set(rig.running.values()), new Set(['t2']))
    assert.equal(rig.running.size, 8)
  })
}

test('domain returns: waiting work uses it at once', () => {
  const rig = new Rig([team('sewing')], targets)
  rig.send({ type: 'domain-changed', failureDomain: 'a', state: 'out' })
  rig.submit(work('g0-b', { kind: 'batch', count: 16 }))
  rig.send({ type: 'domain-changed', failureDomain: 'a', state: 'in' })
  assert.equal(rig.running.size, 16)
})

test('gang: starts whole or not at all', () => {
  const rig = new Rig([team('sewing')], targets)
  rig.submit(work('g0-b', { kind: 'batch', count: 10 }), work('g0-g', { kind: 'gang', count: 8 }))
  assert.equal(rig.starts('g0-g').length, 0)
  rig.end('g0-b/0')
  rig.end('g0-b/1')
  rig.pass(200)
  assert.equal(rig.starts('g0-g').length, 8)
})

test('cancellation: waiting tasks are dropped, running ones are stopped and do not run again', () => {
  const rig = new Rig([team('sewing')], targets)
  rig.submit(work('g0-b', { kind: 'batch', count: 20 }))
  rig.send({ type: 'work-cancelled', work: 'g0-b' })
  assert.equal(rig.effects.filter((effect) => effect.type === 'stop').length, 16)
  rig.end('g0-b/0', 'stopped', true)
  assert.equal(rig.scheduler.summary(0, 1, true).waiting, 0)
  assert.equal(rig.running.has('g0-b/0'), false)
})

const refused = [
  { guards: 'a task larger than every target', work: work('g0-x', { kind: 'batch', count: 1 }, { resources: amount(9) }), reason: 'never-fits' },
  { guards: 'a gang larger than the group', work: work('g0-x', { kind: 'gang', count: 17 }), reason: 'never-fits' },
  { guards: 'a task over the limit of its team', work: work('g0-x', { kind: 'batch', count: 1 }, { team: 'small', resources: amount(2) }), reason: 'over-team-limit' },
  { guards: 'a gang over the limit of its team', work: work('g0-x', { kind: 'gang', count: 2 }, { team: 'small' }), reason: 'over-team-limit' },
  { guards: 'a request whose deadline has passed', work: work('g0-x', { kind: 'request', deadlineAt: 0 }), reason: 'deadline-passed' },
  { guards: 'more tasks than may wait', work: work('g0-x', { kind: 'batch', count: 6 }, { team: 'small' }), reason: 'over-team-limit' },
  { guards: 'a team that is not configured', work: work('g0-x', { kind: 'batch', count: 1 }, { team: 'nobody' }), reason: 'unknown-queue' }
]

for (const entry of refused) {
  test(`refusal: ${entry.guards} is refused at once`, () => {
    const rig = new Rig([team('sewing'), team('small', { limit: amount(1), waitingLimit: 5 })], targets)
    rig.submit(entry.work)
    assert.equal(rig.rejection('g0-x'), entry.reason)
    assert.equal(rig.scheduler.explain('g0-x/0')?.reason, entry.reason)
    assert.equal(rig.running.size, 0)
  })
}

test('never-fits: the nearest shape is the largest that fits', () => {
  const rig = new Rig([team('sewing')], targets)
  rig.submit(work('g0-x', { kind: 'batch', count: 1 }, { resources: { ...amount(4), cpuMillis: 20_000 } }))
  const refusal = rig.effects.flatMap((effect) => effect.type === 'reject' ? [effect.refusal] : [])[0]
  assert.deepEqual(refusal?.reason === 'never-fits' ? refusal.nearest : undefined, { ...amount(4), cpuMillis: 16_000 })
})

test('recovery: a task found running is not started again, whichever of the two events comes first', () => {
  for (const submittedFirst of [true, false]) {
    const rig = new Rig([team('sewing')], targets)
    const job = work('g0-b', { kind: 'batch', count: 3 })
    const submit = () => rig.send({ type: 'work-submitted', work: job, remaining: [0, 1, 2] })
    const recover = () => rig.send({ type: 'task-recovered', taskId: 'g0-b/1', work: job, targetId: 't1', startedAt: 0 })
    rig.send({ type: 'grant-changed', team: 'sewing', amount: amount(0) })
    if (submittedFirst) submit()
    recover()
    if (!submittedFirst) submit()
    rig.send({ type: 'grant-changed', team: 'sewing', amount: LARGE })
    assert.deepEqual([...rig.running.keys()].sort(), ['g0-b/0', 'g0-b/2'])
    assert.equal(rig.scheduler.usage('sewing').slots, 3)
  }
})

test('late report: the end of an earlier start on another target does not end the present one', () => {
  const rig = new Rig([team('sewing')], targets)
  rig.submit(work('g0-b', { kind: 'batch', count: 1 }))
  const elsewhere = rig.running.get('g0-b/0') === 't1' ? 't2' : 't1'
  rig.send({ type: 'task-ended', taskId: 'g0-b/0', targetId: elsewhere, completion: 'lost', mustRunAgain: true })
  assert.equal(rig.scheduler.explain('g0-b/0')?.state, 'starting')
})
