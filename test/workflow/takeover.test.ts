import assert from 'node:assert/strict'
import { test } from 'node:test'
import { configured, entry, job, withTarget } from './harness.ts'

const listedToNewLeader = [
  { guards: 'runs of a job that ended before the change of the leader', known: true },
  { guards: 'runs of a job that the new leader has not read yet', known: false }
]

for (const { guards, known } of listedToNewLeader) {
  test(`cell: ${guards} take room on their target until they are listed no more`, () => {
    const before = withTarget()
    before.apply({ type: 'job-accepted', definition: job('a', { count: 4 }) })
    before.starts().forEach((start) => before.confirm(start))
    before.apply({ type: 'job-cancelled', id: 'a' })
    const running = before.runningOn('t1')
    const after = withTarget()
    if (known) after.apply({ type: 'job-restored', definition: job('a', { count: 4 }), progress: before.cell.progressOf('a') })
    after.list('t1', { running })
    assert.equal(after.orders('stop').length, 4)
    after.apply({ type: 'job-accepted', definition: job('b', {}) })
    assert.equal(after.starts().length, 0, 'what is being stopped still takes room')
    after.now += 500
    after.orders('stop').forEach(({ target, command }) => after.apply({ type: 'stop-answered', target, task: command.task, run: command.run, answer: { type: 'accepted', clockMs: after.now } }))
    after.now += 500
    after.list('t1', { ended: running.map(({ task, run }, index) => ({ number: index + 1, task, run, ending: 'stopped' as const, checkpoint: '' })) })
    assert.equal(after.starts().length, 1)
  })
}

test('cell: runs of a job that ended before the change of the leader count for the maximum of their organisation', () => {
  const before = withTarget()
  before.apply({ type: 'job-accepted', definition: job('a', { count: 3 }) })
  before.starts().forEach((start) => before.confirm(start))
  before.apply({ type: 'job-cancelled', id: 'a' })
  const after = withTarget({}, configured({ maximumCpu: 3_000 }))
  after.publish(entry('t2'))
  after.apply({ type: 'job-restored', definition: job('a', { count: 3 }), progress: before.cell.progressOf('a') })
  after.list('t1', { running: before.runningOn('t1') })
  after.apply({ type: 'job-accepted', definition: job('b', {}) })
  assert.equal(after.starts().length, 0)
})

test('cell: a listed run of a timed occurrence that is due by the clock of the earlier leader is taken over', () => {
  const timed = { ...job('a', {}), firstAtMs: 5_000, intervalMs: 1_000, occurrences: 3 }
  const harness = withTarget()
  harness.apply({ type: 'job-restored', definition: timed, progress: undefined })
  harness.list('t1', { running: [{ task: 'a.1.0.0', run: 7, checkpoint: '', percent: 5, gauge: undefined }] })
  assert.equal(harness.orders('stop').length, 0)
  assert.equal(harness.cell.target('t1')!.runs.size, 1)
})

const goneTargets = [
  { guards: 'a target that left with nothing running is forgotten at once, so that the next leader need not wait for it', draining: true, runs: 0, forgotten: true },
  { guards: 'a target whose entry is missing is kept while it answers', draining: false, runs: 0, forgotten: false },
  { guards: 'a target that left is kept while a run may be present', draining: true, runs: 1, forgotten: false }
]

for (const { guards, draining, runs, forgotten } of goneTargets) {
  test(`cell: ${guards}`, () => {
    const harness = withTarget()
    if (runs > 0) harness.apply({ type: 'job-accepted', definition: job('a', {}) })
    harness.apply({ type: 'target-published', entry: entry('t1', { draining }) })
    harness.apply({ type: 'target-withdrawn', id: 't1' })
    harness.pass(50)
    assert.equal(harness.cell.target('t1') === undefined, forgotten)
  })
}

function storedLists (harness: ReturnType<typeof withTarget>): ReadonlyArray<readonly string[]> {
  return harness.effects.flatMap((effect) => effect.type === 'store-targets' ? [effect.ids] : [])
}

test('cell: a target that drains is taken off the stored list once it is empty, so that a new leader need not wait for it', () => {
  const harness = withTarget()
  harness.publish(entry('t2'))
  harness.apply({ type: 'job-accepted', definition: job('a', { count: 8 }) })
  harness.apply({ type: 'target-published', entry: entry('t1', { draining: true }) })
  harness.pass(50)
  assert.ok(storedLists(harness).at(-1)!.includes('t1'), 'it still runs tasks')
  for (const start of harness.starts().filter(({ target }) => target === 't1')) harness.end(start, 'done')
  harness.pass(50)
  assert.deepEqual(storedLists(harness).at(-1), ['t2'])
})

test('cell: a target that drains no more gets work only once it is stored again', () => {
  const harness = withTarget()
  harness.apply({ type: 'target-published', entry: entry('t1', { draining: true }) })
  harness.pass(50)
  harness.apply({ type: 'target-published', entry: entry('t1') })
  harness.apply({ type: 'job-accepted', definition: job('a', {}) })
  assert.equal(harness.starts().length, 0)
  harness.apply({ type: 'targets-stored', ids: storedLists(harness).at(-1)! })
  assert.equal(harness.starts().length, 1)
})

test('cell: a new leader keeps targets of earlier leaders on the stored list until their runs are settled', () => {
  const harness = withTarget()
  harness.cell.expectEarlierRuns()
  harness.apply({ type: 'targets-stored', ids: ['dark'] })
  harness.publish(entry('t2'))
  assert.ok(storedLists(harness).at(-1)!.includes('dark'))
  harness.apply({ type: 'earlier-runs-lapsed' })
  assert.deepEqual([...storedLists(harness).at(-1)!].sort(), ['t1', 't2'])
})
