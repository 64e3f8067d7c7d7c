import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellEffect } from '../../src/workflow/effect.ts'
import { CellHarness, buildConfiguration, buildEntry, buildJob, createHarnessWithTarget } from './harness.ts'

type StoreTargets = Extract<CellEffect, { type: 'store-targets' }>

function getLastStored (harness: CellHarness): StoreTargets {
  return harness.effects.filter((effect): effect is StoreTargets => effect.type === 'store-targets').at(-1)!
}

/** A leader whose target `t1` runs `a.0.0.0` to `a.0.0.3` and drains, and whose target `t2` is idle. */
function createLeaderWithDrainingTarget (): CellHarness {
  const harness = createHarnessWithTarget()
  harness.apply({ type: 'job-accepted', definition: buildJob('a', { count: 4 }) })
  harness.getStarts().forEach((start) => harness.acceptStart(start))
  harness.publishTarget(buildEntry('t2'))
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { draining: true }) })
  harness.advance(50)
  return harness
}

/** A new leader that has read what `createLeaderWithDrainingTarget` stored; `t2` and `t3` are listed and idle. */
function createSuccessor (configuration = buildConfiguration()): CellHarness {
  const stored = getLastStored(createLeaderWithDrainingTarget())
  const harness = CellHarness.create([], configuration)
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'closed-targets-restored', closed: stored.closed })
  harness.apply({ type: 'targets-stored', ids: stored.ids })
  for (const id of ['a', 'b']) harness.apply({ type: 'job-restored', definition: buildJob(id, { count: 4 }), progress: undefined })
  harness.publishTarget(buildEntry('t2'))
  harness.publishTarget(buildEntry('t3'))
  return harness
}

function getStartedJobs (harness: CellHarness): readonly string[] {
  return [...new Set(harness.getStarts().map(({ command }) => command.task.split('.')[0]!))]
}

test('closed targets: a draining target is stored with the tasks that may run there, and is no longer waited for', () => {
  const { ids, closed } = getLastStored(createLeaderWithDrainingTarget())
  assert.deepEqual(ids, ['t2'])
  assert.deepEqual(closed, { t1: ['a.0.0.0', 'a.0.0.1', 'a.0.0.2', 'a.0.0.3'] })
})

test('closed targets: a new leader that cannot list one starts the other restored tasks at once, and the tasks that may run there after their leases have expired', () => {
  const harness = createSuccessor()
  assert.equal(harness.getStarts().length, 0)
  assert.equal(harness.scheduler.allTargetsListed, true)
  harness.apply({ type: 'earlier-runs-listed' })
  assert.deepEqual(getStartedJobs(harness), ['b'])
  assert.equal(harness.scheduler.earlierRunsExpected, true)
  harness.apply({ type: 'earlier-runs-lapsed' })
  assert.deepEqual(getStartedJobs(harness), ['b', 'a'])
  assert.equal(harness.scheduler.earlierRunsExpected, false)
  assert.deepEqual(getLastStored(harness).closed, {})
})

test('closed targets: until then the tasks that may run there count towards the maximum of their organisation', () => {
  const configuration = buildConfiguration({ maximumCpuMillis: 6_000 })
  const harness = createSuccessor({ ...configuration, organisations: configuration.organisations.map((organisation) => ({ ...organisation, weight: 100 })) })
  harness.apply({ type: 'earlier-runs-listed' })
  assert.equal(harness.getStarts().length, 2)
  harness.apply({ type: 'earlier-runs-lapsed' })
  assert.equal(harness.getStarts().length, 6)
})

test('closed targets: the listing of one releases its tasks, and those that run there are adopted', () => {
  const harness = createSuccessor()
  harness.apply({ type: 'earlier-runs-listed' })
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { draining: true }) })
  harness.listTarget('t1', { running: [{ task: 'a.0.0.0', run: 1, checkpoint: '', percent: 5, gauge: undefined }] })
  assert.deepEqual(harness.getStarts().filter(({ command }) => command.task.startsWith('a')).map(({ command }) => command.task), ['a.0.0.1', 'a.0.0.2', 'a.0.0.3'])
  assert.equal(harness.scheduler.earlierRunsExpected, false)
})

test('closed targets: a gang waits as long as one of its members may run on one', () => {
  const harness = CellHarness.create([buildEntry('t2')])
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'closed-targets-restored', closed: { t1: ['a.0.0.1'] } })
  harness.apply({ type: 'job-restored', definition: buildJob('a', { count: 2, gang: true }), progress: undefined })
  harness.apply({ type: 'earlier-runs-listed' })
  assert.equal(harness.getStarts().length, 0)
  harness.apply({ type: 'earlier-runs-lapsed' })
  assert.equal(harness.getStarts().length, 2)
})

test('closed targets: the record of a previous leader is kept until its runs have expired', () => {
  const harness = createSuccessor()
  harness.apply({ type: 'earlier-runs-listed' })
  harness.publishTarget(buildEntry('t4'))
  assert.deepEqual(Object.keys(getLastStored(harness).closed), ['t1'])
})

test('closed targets: a target that stops draining gets tasks only once it is stored as open', () => {
  const harness = createLeaderWithDrainingTarget()
  harness.apply({ type: 'job-cancelled', id: 'a' })
  harness.now += 50
  harness.listTarget('t1', { ended: harness.runningOn('t1').map(({ task, run }, index) => ({ number: index + 1, task, run, outcome: 'stopped' as const, checkpoint: '' })) })
  harness.apply({ type: 'target-published', entry: buildEntry('t1') })
  const { ids, closed } = getLastStored(harness)
  assert.deepEqual([[...ids].sort(), closed], [['t1', 't2'], {}])
  harness.apply({ type: 'job-accepted', definition: buildJob('c', { count: 8 }) })
  assert.deepEqual([...new Set(harness.getStarts().filter(({ command }) => command.task.startsWith('c')).map(({ target }) => target))], ['t2'])
  harness.apply({ type: 'targets-stored', ids })
  assert.equal(harness.getStarts().filter(({ target, command }) => target === 't1' && command.task.startsWith('c')).length, 4)
})

const openTargets = [
  { guards: 'with runs of unknown jobs', prepare: (harness: CellHarness) => { harness.listTarget('t1', { running: [{ task: 'gone.0.0.0', run: 1, checkpoint: '', percent: 1, gauge: undefined }] }) } },
  { guards: 'that is unreachable', prepare: (harness: CellHarness) => { harness.apply({ type: 'target-silent', id: 't1', cause: 'no-answer' }) } }
]

for (const { guards, prepare } of openTargets) {
  test(`closed targets: a draining target ${guards} stays open, because its runs are not all known`, () => {
    const harness = createHarnessWithTarget()
    harness.apply({ type: 'job-accepted', definition: buildJob('a', {}) })
    harness.getStarts().forEach((start) => harness.acceptStart(start))
    prepare(harness)
    harness.apply({ type: 'target-published', entry: buildEntry('t1', { draining: true }) })
    harness.advance(50)
    const stored = getLastStored(harness)
    assert.deepEqual([stored.ids, stored.closed], [['t1'], {}])
  })
}

/** A new leader; `a.0.0.0` may run on the closed targets given, which are not listed yet. */
function createSuccessorOf (closed: Readonly<Record<string, readonly string[]>>): CellHarness {
  const harness = CellHarness.create([])
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'closed-targets-restored', closed })
  harness.apply({ type: 'targets-stored', ids: ['t3'] })
  harness.apply({ type: 'job-restored', definition: buildJob('a', { count: 1 }), progress: undefined })
  harness.publishTarget(buildEntry('t3'))
  harness.apply({ type: 'earlier-runs-listed' })
  assert.equal(harness.getStarts().length, 0)
  return harness
}

// The run on the first target has ended, and the task runs on the second one.
test('closed targets: guards against the failure that a task which may run on two of them starts when the first is listed', () => {
  const harness = createSuccessorOf({ t1: ['a.0.0.0'], t2: ['a.0.0.0'] })
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { draining: true }) })
  harness.listTarget('t1', {})
  assert.equal(harness.getStarts().length, 0)
})

// The next leader reads the list and starts the task while its run may go on.
test('closed targets: guards against the failure that one which has not been listed leaves the stored list while tasks wait for it', () => {
  const harness = createSuccessorOf({ t1: ['a.0.0.0'] })
  harness.apply({ type: 'target-published', entry: buildEntry('t1', { draining: true }) })
  harness.apply({ type: 'target-withdrawn', id: 't1' })
  harness.advance(50)
  assert.equal(harness.scheduler.earlierRunsExpected, true)
  const stored = harness.effects.filter((effect): effect is StoreTargets => effect.type === 'store-targets').at(-1)
  if (stored !== undefined) assert.deepEqual(Object.keys(stored.closed), ['t1'])
})
