import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AdviceTerms } from '../../src/workflow/cell-configuration.ts'
import { nextListOrder } from '../../src/workflow/list-request.ts'
import { CONFIGURATION, CellHarness, QUEUE, configured, entry, job, withTarget } from './harness.ts'

test('cell: a target never gets more than its capacity while a stop is not listed', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 4 }) })
  assert.equal(harness.starts().length, 4)
  harness.starts().forEach((start) => harness.confirm(start))
  harness.apply({ type: 'job-accepted', definition: job('b', { count: 1 }) })
  harness.apply({ type: 'job-cancelled', id: 'a' })
  assert.equal(harness.starts().length, 4, 'what is being stopped still takes room')
  harness.end(harness.starts()[0]!, 'stopped')
  assert.equal(harness.starts().at(-1)!.command.task, 'b.0.0.0')
})

test('cell: a step starts only after all tasks of the step before it', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 2 }, { after: [0] }) })
  const [first, second] = harness.starts()
  harness.end(first!, 'done')
  assert.equal(harness.starts().length, 2)
  harness.end(second!, 'done')
  assert.equal(harness.starts().at(-1)!.command.task, 'a.0.1.0')
})

const unusable = [
  { guards: 'a draining target', changes: { draining: true } },
  { guards: 'a target of another pool', changes: { pool: 'other' } },
  { guards: 'a target that is too small', changes: { capacity: { cpuMillis: 500, memoryMiB: 1_000, accelerators: 0 } } }
]

for (const { guards, changes } of unusable) {
  test(`cell: nothing starts on ${guards}`, () => {
    const harness = withTarget(changes)
    harness.apply({ type: 'job-accepted', definition: job('a', {}) })
    assert.equal(harness.starts().length, 0)
  })
}

test('cell: nothing starts in a failure domain that is out until it is back', () => {
  const harness = withTarget()
  harness.apply({ type: 'domains-out', domains: ['east'] })
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  assert.equal(harness.starts().length, 0)
  harness.apply({ type: 'domains-out', domains: [] })
  assert.equal(harness.starts().length, 1)
})

test('cell: tasks of less urgent queues leave room on each target to urgent ones', () => {
  const urgent = { ...QUEUE, name: 'urgent' }
  const harness = CellHarness.create([entry('t1')], { ...CONFIGURATION, queues: [{ ...QUEUE, priority: 2 }, urgent] })
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 4 }) })
  assert.equal(harness.starts().length, 3)
  harness.apply({ type: 'job-accepted', definition: { ...job('b', {}), queue: 'urgent' } })
  assert.equal(harness.starts().length, 4)
})

const maxima = [
  { guards: 'urgent work uses the whole maximum of its organisation and no more', priority: 0, starts: 3 },
  { guards: 'other work leaves a part of the maximum to urgent work', priority: 1, starts: 2 }
]

for (const { guards, priority, starts } of maxima) {
  test(`cell: ${guards}`, () => {
    const harness = withTarget({}, configured({ maximumCpu: 3_000, queue: { priority } }))
    harness.apply({ type: 'job-accepted', definition: job('a', { count: 4 }) })
    assert.equal(harness.starts().length, starts)
  })
}

test('cell: when the cell is full, a job that has begun goes before one that has not', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('begun', { count: 5 }) })
  harness.starts().forEach((start) => harness.confirm(start))
  harness.apply({ type: 'job-accepted', definition: job('new', {}) })
  harness.end(harness.starts()[0]!, 'done')
  assert.equal(harness.starts().at(-1)!.command.task, 'begun.0.0.4')
})

test('cell: a gang starts whole or not at all', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 5, gang: true }) })
  assert.equal(harness.starts().length, 0)
  harness.publish(entry('t2'))
  assert.equal(harness.starts().length, 5)
  assert.equal(new Set(harness.starts().map(({ command }) => command.run)).size, 1, 'members share the run number')
})

test('cell: the end of one member of a gang stands for all', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 3, gang: true }) })
  harness.starts().forEach((start) => harness.confirm(start))
  harness.end(harness.starts()[0]!, 'done')
  assert.equal(harness.cell.progressOf('a')!.phase, 'completed')
})

test('cell: a job fails with the last attempt of a task, and the rest of it is stopped', () => {
  const harness = withTarget()
  harness.publish(entry('t2'))
  harness.publish(entry('t3'))
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 1 }, { count: 1 }) })
  harness.starts().forEach((start) => harness.confirm(start))
  harness.end(harness.starts()[0]!, 'failed')
  harness.end(harness.starts().at(-1)!, 'failed')
  assert.equal(harness.cell.progressOf('a')!.phase, 'failed')
  assert.equal(harness.orders('stop').length, 1)
})

test('cell: a start without an answer is repeated as the same run, not as another', () => {
  const harness = withTarget()
  harness.publish(entry('t2'))
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  const [first] = harness.starts()
  harness.apply({ type: 'start-answered', target: first!.target, task: first!.command.task, run: first!.command.run, answer: { type: 'unanswered', reason: 'timeout' } })
  harness.pass(500)
  assert.deepEqual(harness.starts().map(({ target, command }) => [target, command.run]), [[first!.target, first!.command.run], [first!.target, first!.command.run]])
})

test('cell: after a refusal that follows an unanswered start, a stop settles whether the first one ran', () => {
  const harness = withTarget()
  harness.publish(entry('t2'))
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  const [first] = harness.starts()
  const { target, command: { task, run } } = first!
  harness.apply({ type: 'start-answered', target, task, run, answer: { type: 'unanswered', reason: 'timeout' } })
  harness.pass(500)
  harness.apply({ type: 'start-answered', target, task, run, answer: { type: 'refused', reason: 'expired', clockMs: harness.now } })
  assert.equal(harness.starts().length, 2, 'no other run yet')
  harness.apply({ type: 'stop-answered', target, task, run, answer: { type: 'accepted', clockMs: harness.now } })
  harness.list(target, { sentAt: harness.now - 1 })
  assert.equal(harness.starts().length, 2, 'the listing was asked for before the stop was answered')
  harness.now += 10
  harness.list(target)
  assert.equal(harness.starts().length, 3)
})

test('cell: the task of a silent target starts elsewhere only after its lease has lapsed on a slow clock', () => {
  const harness = CellHarness.create([entry('t1')], CONFIGURATION, { leaseMs: 5_000 })
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  harness.confirm(harness.starts()[0]!)
  harness.publish(entry('t2'))
  harness.apply({ type: 'target-silent', id: 't1', refusal: undefined })
  harness.apply({ type: 'target-withdrawn', id: 't1' })
  const lastLease = harness.cell.target('t1')!.leaseUntilMs
  harness.pass(2_000)
  assert.equal(nextListOrder(harness.cell.target('t1')!, harness.now, 5_000).leaseUntilMs, undefined, 'a question to a silent target does not extend its lease')
  assert.equal(harness.cell.target('t1')!.leaseUntilMs, lastLease)
  harness.pass(3_050)
  assert.equal(harness.starts().length, 1, 'a clock that is 2% slow has not reached the end of the lease')
  harness.pass(250)
  assert.equal(harness.starts().at(-1)!.target, 't2')
})

test('cell: a target that started anew under its id has forgotten its runs', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  harness.confirm(harness.starts()[0]!)
  harness.now += 10
  harness.publish(entry('t1', { incarnation: 2 }))
  assert.equal(harness.starts().length, 2)
  assert.ok(harness.starts()[1]!.command.run > harness.starts()[0]!.command.run)
})

test('cell: ends of an earlier life are not acknowledged to the next one', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 2 }) })
  harness.end(harness.starts()[0]!, 'done')
  const ends = harness.cell.processedEnds()
  harness.publish(entry('t1', { incarnation: 2 }))
  harness.apply({ type: 'progress-stored', phases: new Map(), released: [], ends })
  assert.equal(harness.cell.target('t1')!.acknowledged, 0)
})

test('cell: a completed job is shown as completed only once that is stored', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  harness.end(harness.starts()[0]!, 'done')
  assert.equal(harness.cell.phaseOf('a'), 'running')
  harness.apply({ type: 'progress-stored', phases: new Map([['a', 'completed']]), released: [], ends: [] })
  assert.equal(harness.cell.phaseOf('a'), 'completed')
})

test('cell: tasks of a restored job wait until earlier runs are known, and a listed run is taken over', () => {
  const harness = withTarget()
  harness.cell.expectEarlierRuns()
  harness.apply({ type: 'job-restored', definition: job('a', { count: 2 }), progress: undefined })
  assert.equal(harness.starts().length, 0)
  harness.list('t1', { running: [{ task: 'a.0.0.0', run: 7, checkpoint: '', percent: 5, gauge: undefined }] })
  harness.apply({ type: 'earlier-runs-lapsed' })
  assert.deepEqual(harness.starts().map(({ command }) => command.task), ['a.0.0.1'])
})

test('cell: a long-running task is started again however it ends', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', { longRunning: true }) })
  for (const ending of ['failed', 'done', 'lapsed', 'failed'] as const) harness.end(harness.starts().at(-1)!, ending)
  assert.equal(harness.starts().length, 5)
})

const ADVICE: AdviceTerms = { decisionMs: 20, eachTargetMs: 1, validityMs: 1_000 }

test('cell: a step with advice starts only on targets with a valid ticket and asks again when it has expired', () => {
  const harness = CellHarness.create([entry('t1'), entry('t2')], configured({ queue: { advice: ADVICE } }))
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 5 }) })
  const asked = harness.effects.filter((effect) => effect.type === 'request-advice')
  assert.deepEqual(asked.map(({ targets }) => [...targets].sort()), [['t1', 't2']])
  harness.apply({ type: 'advised', step: 'a.0.0', asked: ['t1', 't2'], answer: { type: 'advised', tickets: [{ target: 't2', ticket: 'x' }], validityMs: undefined } })
  assert.deepEqual(harness.starts().map(({ target, command }) => [target, command.ticket]), Array.from({ length: 4 }, () => ['t2', 'x']))
  harness.starts().forEach((start) => harness.confirm(start))
  harness.pass(1_500)
  harness.end(harness.starts()[0]!, 'done')
  assert.equal(harness.starts().length, 4)
  const again = harness.effects.filter((effect) => effect.type === 'request-advice').at(-1)!
  assert.deepEqual(again.targets, ['t2'])
})

test('cell: tasks that fill are slowed beside a task that serves too slowly', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', { longRunning: true, latencyTargetMs: 100 }) })
  harness.apply({ type: 'job-accepted', definition: job('b', { fills: true }) })
  harness.starts().forEach((start) => harness.confirm(start))
  const gauges = new Map([['a.0.0.0', 120], ['b.0.0.0', 900]])
  harness.now += 800
  harness.list('t1', { running: harness.runningOn('t1').map((run) => ({ ...run, gauge: gauges.get(run.task) })) })
  const paces = harness.pass(10).filter((effect) => effect.type === 'throttle')
  assert.deepEqual(paces.map(({ command }) => [command.task, command.percent]), [['b.0.0.0', 0]])
})

test('cell: a failed run that is listed again to a new owner counts once', () => {
  const before = withTarget()
  before.apply({ type: 'job-accepted', definition: job('a', {}) })
  const [first] = before.starts()
  before.end(first!, 'failed')
  const after = withTarget()
  after.apply({ type: 'job-restored', definition: job('a', {}), progress: before.cell.progressOf('a') })
  after.list('t1', { ended: [{ number: 1, task: 'a.0.0.0', run: first!.command.run, ending: 'failed', checkpoint: '' }] })
  assert.equal(after.cell.progressOf('a')!.phase, 'running')
})

const copies = [
  { guards: 'a speculative task gets a copy at once', speculative: true, starts: 2 },
  { guards: 'another task waits for the lapse', speculative: false, starts: 1 }
]

for (const { guards, speculative, starts } of copies) {
  test(`cell: while its target is silent, ${guards}`, () => {
    const harness = withTarget()
    harness.apply({ type: 'job-accepted', definition: job('a', { speculative }) })
    harness.confirm(harness.starts()[0]!)
    harness.publish(entry('t2'))
    harness.apply({ type: 'target-silent', id: 't1', refusal: undefined })
    harness.pass(100)
    assert.equal(harness.starts().length, starts)
  })
}

test('cell: a run that stands still is stopped and starts on another target', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  harness.confirm(harness.starts()[0]!)
  harness.publish(entry('t2'))
  harness.pass(2_500)
  assert.equal(harness.orders('stop').length, 1)
  harness.end(harness.starts()[0]!, 'stopped')
  assert.equal(harness.starts().at(-1)!.target, 't2')
})

test('cell: a task that failed on the only target that it may use starts there again after a pause', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  harness.end(harness.starts()[0]!, 'failed')
  harness.pass(1_000)
  assert.equal(harness.starts().length, 1)
  harness.pass(1_700)
  assert.equal(harness.starts().length, 2)
})

const orders = [
  { guards: 'work of an organisation beyond its share of jobs a second waits for that of others', waitMs: 0, first: 'mine' },
  { guards: 'a job that can still be on time goes before one that cannot', waitMs: 1_200, first: 'mine' }
]

for (const { guards, waitMs, first } of orders) {
  test(`cell: when the cell is full, ${guards}`, () => {
    const organisations = ['zuu', 'other'].map((name) => ({ ...CONFIGURATION.organisations[0]!, name, weight: waitMs === 0 ? 1 : 10 }))
    const harness = CellHarness.create([entry('t1')], { ...CONFIGURATION, organisations })
    harness.apply({ type: 'job-accepted', definition: job('full', { count: 4 }) })
    const [full] = harness.starts()
    harness.starts().forEach((start) => harness.confirm(start))
    harness.apply({ type: 'job-accepted', definition: job('flood', {}) })
    for (let passed = 0; passed < waitMs; passed += 100) {
      harness.pass(100)
      harness.list('t1', { running: harness.runningOn('t1').map((run) => ({ ...run, percent: passed / 100 + 1 })) })
    }
    harness.apply({ type: 'job-accepted', definition: { ...job('mine', {}), organisation: 'other' } })
    harness.end(full!, 'done')
    assert.equal(harness.starts().at(-1)!.command.task, `${first}.0.0.0`)
  })
}

test('cell: under load no more questions for advice are open than the members can ask soon', () => {
  const harness = CellHarness.create([entry('t1')], configured({ queue: { advice: ADVICE } }))
  harness.apply({ type: 'advice-channels', channels: 2 })
  for (let number = 0; number < 20; number++) harness.apply({ type: 'job-accepted', definition: job(`j${number}`, {}) })
  assert.equal(harness.effects.filter((effect) => effect.type === 'request-advice').length, 4)
  harness.apply({ type: 'advised', step: 'j0.0.0', asked: ['t1'], answer: { type: 'failed', reason: 'timeout' } })
  assert.equal(harness.effects.filter((effect) => effect.type === 'request-advice').length, 5)
})

test('cell: no advice is asked for while no target has room', () => {
  const harness = CellHarness.create([entry('t1')], { ...CONFIGURATION, queues: [QUEUE, { ...QUEUE, name: 'advised', advice: ADVICE }] })
  harness.apply({ type: 'job-accepted', definition: job('full', { count: 4 }) })
  harness.apply({ type: 'job-accepted', definition: { ...job('a', {}), queue: 'advised' } })
  assert.equal(harness.effects.filter((effect) => effect.type === 'request-advice').length, 0)
})

test('cell: a start that reached the next life of a target before its entry was seen is not sent elsewhere', () => {
  const harness = withTarget()
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  const [first] = harness.starts()
  harness.confirm(first!)
  harness.publish(entry('t2'))
  harness.now += 10
  harness.apply({ type: 'target-published', entry: entry('t1', { incarnation: 2 }) })
  assert.equal(harness.starts().length, 1)
  harness.list('t1', { incarnation: 2, running: [{ task: 'a.0.0.0', run: first!.command.run, checkpoint: '', percent: 1, gauge: undefined }] })
  assert.equal(harness.starts().length, 1)
})

test('cell: runs taken over keep the lease of the earlier leader when their target goes silent at once', () => {
  const harness = withTarget()
  harness.publish(entry('t2'))
  harness.cell.expectEarlierRuns()
  harness.apply({ type: 'job-restored', definition: job('a', {}), progress: undefined })
  harness.apply({ type: 'target-published', entry: entry('t3') })
  harness.apply({ type: 'targets-stored', ids: ['t3'] })
  harness.list('t3', { running: [{ task: 'a.0.0.0', run: 7, checkpoint: '', percent: 5, gauge: undefined }] })
  harness.apply({ type: 'earlier-runs-lapsed' })
  harness.apply({ type: 'target-silent', id: 't3', refusal: undefined })
  harness.pass(1_000)
  assert.equal(harness.starts().length, 0)
})
