import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AdviceTimings } from '../../src/workflow/settings/cell-configuration.ts'
import { buildListRequest } from '../../src/workflow/list-request.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildConfiguration, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

test('cell: a target never gets more than its capacity while a stopped run is not listed as completed', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 4 }) })
  assert.equal(harness.getStarts().length, 4)
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  harness.apply({ type: 'job-accepted', definition: buildJob('b', { count: 1 }) })
  harness.apply({ type: 'job-cancelled', id: 'a' })
  assert.equal(harness.getStarts().length, 4, 'runs that are being stopped are still booked')
  harness.completeRun(harness.getStarts()[0]!, 'stopped')
  assert.equal(harness.getStarts().at(-1)!.command.task, 'b.0.0.0')
})

test('cell: a step starts only after all tasks of the step before it', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 2 }, { after: [0] }) })
  const [first, second] = harness.getStarts()
  harness.completeRun(first!, 'done')
  assert.equal(harness.getStarts().length, 2)
  harness.completeRun(second!, 'done')
  assert.equal(harness.getStarts().at(-1)!.command.task, 'a.0.1.0')
})

const unusableTargets = [
  { guards: 'a draining target', changes: { draining: true } },
  { guards: 'a target of another pool', changes: { pool: 'other' } },
  { guards: 'a target that is too small', changes: { capacity: { cpuMillis: 500, memoryMiB: 1_000, accelerators: 0 } } }
]

for (const { guards, changes } of unusableTargets) {
  test(`cell: nothing starts on ${guards}`, () => {
    const harness = createHarnessWithTarget(changes)
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    assert.equal(harness.getStarts().length, 0)
  })
}

test('cell: nothing starts in an evacuated failure domain until it is back', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'domains-out', domains: ['east'] })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  assert.equal(harness.getStarts().length, 0)
  harness.apply({ type: 'domains-out', domains: [] })
  assert.equal(harness.getStarts().length, 1)
})

test('cell: tasks of non-urgent queues leave capacity on each target for urgent ones', () => {
  const urgent = { ...QUEUE, name: 'urgent' }
  const harness = CellHarness.create([buildEntry('t1')], { ...CONFIGURATION, queues: [{ ...QUEUE, priority: 2 }, urgent] })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 4 }) })
  assert.equal(harness.getStarts().length, 3)
  harness.acceptJob('b', 'urgent')
  assert.equal(harness.getStarts().length, 4)
})

const maximumCases = [
  { guards: 'urgent jobs use the whole maximum of their organisation and no more', priority: 0, starts: 3 },
  { guards: 'other jobs leave a part of the maximum for urgent jobs', priority: 1, starts: 2 }
]

for (const { guards, priority, starts } of maximumCases) {
  test(`cell: ${guards}`, () => {
    const harness = createHarnessWithTarget({}, buildConfiguration({ maximumCpuMillis: 3_000, queue: { priority } }))
    harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 4 }) })
    assert.equal(harness.getStarts().length, starts)
  })
}

test('cell: when the cell is full, a started job goes before one that has not started', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('begun', { count: 5 }) })
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  harness.apply({ type: 'job-accepted', definition: buildJob('new', {}) })
  harness.completeRun(harness.getStarts()[0]!, 'done')
  assert.equal(harness.getStarts().at(-1)!.command.task, 'begun.0.0.4')
})

test('cell: a gang starts with all members or not at all', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 5, gang: true }) })
  assert.equal(harness.getStarts().length, 0)
  harness.publishTarget(buildEntry('t2'))
  assert.equal(harness.getStarts().length, 5)
  assert.equal(new Set(harness.getStarts().map(({ command }) => command.run)).size, 1, 'all members have the same run number')
})

test('cell: a gang is done when one of its members is done', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 3, gang: true }) })
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  harness.completeRun(harness.getStarts()[0]!, 'done')
  assert.equal(harness.scheduler.getProgress('a')!.phase, 'completed')
})

test('cell: a job fails with the last attempt of a task, and its other runs are stopped', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t2'))
  harness.publishTarget(buildEntry('t3'))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 1 }, { count: 1 }) })
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  harness.completeRun(harness.getStarts()[0]!, 'failed')
  harness.completeRun(harness.getStarts().at(-1)!, 'failed')
  assert.equal(harness.scheduler.getProgress('a')!.phase, 'failed')
  assert.equal(harness.getCommands('stop').length, 1)
})

test('cell: a start without a response is resent as the same run, not as another', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [first] = harness.getStarts()
  harness.apply({ type: 'start-answered', incarnation: 1, target: first!.target, task: first!.command.task, run: first!.command.run, response: { type: 'unanswered', reason: 'timeout' } })
  harness.advance(500)
  assert.deepEqual(harness.getStarts().map(({ target, command }) => [target, command.run]), [[first!.target, first!.command.run], [first!.target, first!.command.run]])
})

test('cell: a start that is refused after one without a response is stopped before the task starts again', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [first] = harness.getStarts()
  const { target, command: { task, run } } = first!
  harness.apply({ type: 'start-answered', incarnation: 1, target, task, run, response: { type: 'unanswered', reason: 'timeout' } })
  harness.advance(500)
  harness.apply({ type: 'start-answered', incarnation: 1, target, task, run, response: { type: 'refused', reason: 'expired', clockMs: harness.now } })
  assert.equal(harness.getStarts().length, 2, 'no other run before the stop')
  harness.apply({ type: 'stop-answered', incarnation: 1, target, task, run, response: { type: 'accepted', clockMs: harness.now } })
  harness.listTarget(target, { sentAt: harness.now - 1 })
  assert.equal(harness.getStarts().length, 2, 'the listing was requested before the response to the stop')
  harness.now += 10
  harness.listTarget(target)
  assert.equal(harness.getStarts().length, 3)
})

test('cell: the task of an unreachable target starts elsewhere only after its lease has expired on a slow clock', () => {
  const harness = CellHarness.create([buildEntry('t1')], CONFIGURATION, { leaseMs: 5_000 })
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.acceptStart(harness.getStarts()[0]!)
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
  harness.apply({ type: 'target-withdrawn', id: 't1' })
  const lastLeaseUntilMs = harness.scheduler.getTarget('t1')!.leaseUntilMs
  harness.advance(2_000)
  assert.equal(buildListRequest(harness.scheduler.getTarget('t1')!, harness.now, 5_000).leaseUntilMs, undefined, 'a list request to an unreachable target does not extend its lease')
  assert.equal(harness.scheduler.getTarget('t1')!.leaseUntilMs, lastLeaseUntilMs)
  harness.advance(3_050)
  assert.equal(harness.getStarts().length, 1, 'a clock that is 2% slow has not reached the expiry of the lease')
  harness.advance(250)
  assert.equal(harness.getStarts().at(-1)!.target, 't2')
})

test('cell: a target that restarted with the same id has lost its runs', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.acceptStart(harness.getStarts()[0]!)
  harness.now += 10
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  assert.equal(harness.getStarts().length, 2)
  assert.ok(harness.getStarts()[1]!.command.run > harness.getStarts()[0]!.command.run)
})

test('cell: completions of a previous incarnation are not acknowledged to the next one', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 2 }) })
  harness.completeRun(harness.getStarts()[0]!, 'done')
  const completions = harness.scheduler.getProcessedCompletions()
  harness.publishTarget(buildEntry('t1', { incarnation: 2 }))
  harness.apply({ type: 'progress-stored', phases: new Map(), released: [], completions })
  assert.equal(harness.scheduler.getTarget('t1')!.lastAcknowledged, 0)
})

test('cell: a completed job is reported as completed only once that is stored', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.completeRun(harness.getStarts()[0]!, 'done')
  assert.equal(harness.scheduler.getPhase('a'), 'running')
  harness.apply({ type: 'progress-stored', phases: new Map([['a', 'completed']]), released: [], completions: [] })
  assert.equal(harness.scheduler.getPhase('a'), 'completed')
})

test('cell: tasks of a restored job wait until runs of the previous owner are known, and a listed run is adopted', () => {
  const harness = createHarnessWithTarget()
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'job-restored', definition: buildJob('a', { count: 2 }), progress: undefined })
  assert.equal(harness.getStarts().length, 0)
  harness.listTarget('t1', { running: [{ task: 'a.0.0.0', run: 7, checkpoint: '', percent: 5, gauge: undefined }] })
  harness.apply({ type: 'earlier-runs-lapsed' })
  assert.deepEqual(harness.getStarts().map(({ command }) => command.task), ['a.0.0.1'])
})

test('cell: a long-running task is started again after every outcome', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { longRunning: true }) })
  for (const outcome of ['failed', 'done', 'lapsed', 'failed'] as const) harness.completeRun(harness.getStarts().at(-1)!, outcome)
  assert.equal(harness.getStarts().length, 5)
})

const ADVICE: AdviceTimings = { decisionMs: 20, perTargetMs: 1, validityMs: 1_000 }

test('cell: a step with advice starts only on targets with a valid ticket and requests another when it has expired', () => {
  const harness = CellHarness.create([buildEntry('t1'), buildEntry('t2')], buildConfiguration({ queue: { advice: ADVICE } }))
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 5 }) })
  const firstRequests = harness.effects.filter((effect) => effect.type === 'request-advice')
  assert.deepEqual(firstRequests.map(({ targets }) => [...targets].sort()), [['t1', 't2']])
  harness.apply({ type: 'advised', step: 'a.0.0', requestedTargets: ['t1', 't2'], response: { type: 'advised', tickets: [{ target: 't2', ticket: 'x' }], validityMs: undefined } })
  assert.deepEqual(harness.getStarts().map(({ target, command }) => [target, command.ticket]), Array.from({ length: 4 }, () => ['t2', 'x']))
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  harness.advance(1_500)
  harness.completeRun(harness.getStarts()[0]!, 'done')
  assert.equal(harness.getStarts().length, 4)
  const lastRequest = harness.effects.filter((effect) => effect.type === 'request-advice').at(-1)!
  assert.deepEqual(lastRequest.targets, ['t2'])
})

test('cell: best-effort tasks are throttled beside a task that exceeds its latency target', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { longRunning: true, latencyTargetMs: 100 }) })
  harness.apply({ type: 'job-accepted', definition: buildJob('b', { fills: true }) })
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  const gauges = new Map([['a.0.0.0', 120], ['b.0.0.0', 900]])
  harness.now += 800
  harness.listTarget('t1', { running: harness.runningOn('t1').map((run) => ({ ...run, gauge: gauges.get(run.task) })) })
  const throttles = harness.advance(10).filter((effect) => effect.type === 'throttle')
  assert.deepEqual(throttles.map(({ command }) => [command.task, command.percent]), [['b.0.0.0', 0]])
})

test('cell: a failed run that is listed again to a new owner counts once', () => {
  const before = createHarnessWithTarget()
  before.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [first] = before.getStarts()
  before.completeRun(first!, 'failed')
  const after = createHarnessWithTarget()
  after.apply({ type: 'job-restored', definition: buildJob('a', {}), progress: before.scheduler.getProgress('a') })
  after.listTarget('t1', { ended: [{ number: 1, task: 'a.0.0.0', run: first!.command.run, outcome: 'failed', checkpoint: '' }] })
  assert.equal(after.scheduler.getProgress('a')!.phase, 'running')
})

const copyCases = [
  { guards: 'a speculative task gets a copy at once', speculative: true, starts: 2 },
  { guards: 'another task waits until the lease has expired', speculative: false, starts: 1 }
]

for (const { guards, speculative, starts } of copyCases) {
  test(`cell: while its target is unreachable, ${guards}`, () => {
    const harness = createHarnessWithTarget()
    harness.apply({ type: 'job-accepted', definition: buildJob('a', { speculative }) })
    harness.acceptStart(harness.getStarts()[0]!)
    harness.publishTarget(buildEntry('t2'))
    harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' })
    harness.advance(100)
    assert.equal(harness.getStarts().length, starts)
  })
}

test('cell: a run without progress is stopped and its task starts on another target', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.acceptStart(harness.getStarts()[0]!)
  harness.publishTarget(buildEntry('t2'))
  harness.advance(2_500)
  assert.equal(harness.getCommands('stop').length, 1)
  harness.completeRun(harness.getStarts()[0]!, 'stopped')
  assert.equal(harness.getStarts().at(-1)!.target, 't2')
})

test('cell: a task that failed on the only allowed target starts there again after a pause', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  harness.completeRun(harness.getStarts()[0]!, 'failed')
  harness.advance(1_000)
  assert.equal(harness.getStarts().length, 1)
  harness.advance(1_700)
  assert.equal(harness.getStarts().length, 2)
})

const orderCases = [
  { guards: 'jobs of an organisation beyond its share of jobs a second wait for jobs of others', waitMs: 0, first: 'mine' },
  { guards: 'a job that can still be on time goes before one that cannot', waitMs: 1_200, first: 'mine' }
]

for (const { guards, waitMs, first } of orderCases) {
  test(`cell: when the cell is full, ${guards}`, () => {
    const organisations = ['zuu', 'other'].map((name) => ({ ...CONFIGURATION.organisations[0]!, name, weight: waitMs === 0 ? 1 : 10 }))
    const harness = CellHarness.create([buildEntry('t1')], { ...CONFIGURATION, organisations })
    harness.apply({ type: 'job-accepted', definition: buildJob('full', { count: 4 }) })
    const [full] = harness.getStarts()
    harness.getStarts().forEach((start) => harness.acceptStart(start))
    harness.apply({ type: 'job-accepted', definition: buildJob('flood', {}) })
    for (let passedMs = 0; passedMs < waitMs; passedMs += 100) {
      harness.advance(100)
      harness.listTarget('t1', { running: harness.runningOn('t1').map((run) => ({ ...run, percent: passedMs / 100 + 1 })) })
    }
    harness.apply({ type: 'job-accepted', definition: { ...buildJob('mine', {}), organisation: 'other' } })
    harness.completeRun(full!, 'done')
    assert.equal(harness.getStarts().at(-1)!.command.task, `${first}.0.0.0`)
  })
}

test('cell: under load no more advice requests are pending than the members can send soon', () => {
  const harness = CellHarness.create([buildEntry('t1')], buildConfiguration({ queue: { advice: ADVICE } }))
  harness.apply({ type: 'advice-channels', channels: 2 })
  for (let number = 0; number < 20; number++) harness.apply({ type: 'job-accepted', definition: buildJob(`j${number}`, {}) })
  assert.equal(harness.effects.filter((effect) => effect.type === 'request-advice').length, 4)
  harness.apply({ type: 'advised', step: 'j0.0.0', requestedTargets: ['t1'], response: { type: 'failed', reason: 'timeout' } })
  assert.equal(harness.effects.filter((effect) => effect.type === 'request-advice').length, 5)
})

test('cell: no advice is requested while no target has free capacity', () => {
  const harness = CellHarness.create([buildEntry('t1')], { ...CONFIGURATION, queues: [QUEUE, { ...QUEUE, name: 'advised', advice: ADVICE }] })
  harness.apply({ type: 'job-accepted', definition: buildJob('full', { count: 4 }) })
  harness.acceptJob('a', 'advised')
  assert.equal(harness.effects.filter((effect) => effect.type === 'request-advice').length, 0)
})

test('cell: a start that reached the next incarnation of a target before its entry was read is not sent elsewhere', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
  const [first] = harness.getStarts()
  harness.acceptStart(first!)
  harness.publishTarget(buildEntry('t2'))
  harness.now += 10
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { incarnation: 2 }) })
  assert.equal(harness.getStarts().length, 1)
  harness.listTarget('t1', { incarnation: 2, running: [{ task: 'a.0.0.0', run: first!.command.run, checkpoint: '', percent: 1, gauge: undefined }] })
  assert.equal(harness.getStarts().length, 1)
})

test('cell: adopted runs keep the lease of the previous leader when their target becomes unreachable at once', () => {
  const harness = createHarnessWithTarget()
  harness.publishTarget(buildEntry('t2'))
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'job-restored', definition: buildJob('a', {}), progress: undefined })
  harness.apply({ type: 'target-published', entry: buildEntry('t3') })
  harness.apply({ type: 'targets-stored', ids: ['t3'] })
  harness.listTarget('t3', { running: [{ task: 'a.0.0.0', run: 7, checkpoint: '', percent: 5, gauge: undefined }] })
  harness.apply({ type: 'earlier-runs-lapsed' })
  harness.apply({ type: 'target-silent', id: 't3', cause: 'no-answer' })
  harness.advance(1_000)
  assert.equal(harness.getStarts().length, 0)
})

// TWICE: the start of a member of a gang that had no answer was sent again after another member had ended as done for all.
test('cell: the start of a member of a gang is not sent again once the gang is done', () => {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 2, gang: true }, { after: [0] }) })
  const [first, second] = harness.getStarts()
  harness.acceptStart(first!)
  harness.apply({ type: 'target-listed', id: 't1', sentAt: harness.now, listing: { incarnation: 1, clockMs: harness.now, running: [], ended: [{ number: 1, task: first!.command.task, run: first!.command.run, outcome: 'done', checkpoint: '' }] } })
  harness.advance(200)
  assert.equal(harness.getStarts().filter(({ command }) => command.task === second!.command.task).length, 1)
  assert.equal(harness.getCommands('stop').at(-1)?.command.task, second!.command.task)
})
