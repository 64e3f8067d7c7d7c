import assert from 'node:assert/strict'
import { test } from 'node:test'
import { toJobOutline } from '../../src/workflow/deferred-jobs.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import type { CellEvent } from '../../src/workflow/event.ts'
import { estimateJobBytes } from '../../src/workflow/held-jobs.ts'
import type { JobDefinition, JobPhase, Step } from '../../src/workflow/job.ts'
import { CellHarness, QUEUE, buildConfiguration, buildEntry, buildJob } from './harness.ts'

const JOBS = 70
const MAX_HELD_BYTES = 48_000_000
const TINY = { cpuMillis: 1, memoryMiB: 0, accelerators: 0 }

const LARGE_SHAPES: ReadonlyArray<{ readonly name: string, readonly steps: ReadonlyArray<Partial<Step>> }> = [
  { name: 'steps one after the other', steps: Array.from({ length: 3_000 }, (_, number) => ({ after: number === 0 ? [] : [number - 1], demand: TINY })) },
  { name: 'steps side by side', steps: Array.from({ length: 3_000 }, () => ({ demand: TINY })) },
  { name: 'steps with many predecessors', steps: Array.from({ length: 300 }, (_, number) => ({ after: Array.from({ length: number }, (_, earlier) => earlier), demand: TINY })) },
  { name: 'tasks that last', steps: [{ count: 1_000, longRunning: true, demand: TINY }] }
]

function buildLarge (index: number, steps = LARGE_SHAPES[0]!.steps): JobDefinition {
  return { ...buildJob(`j${index}`, ...steps), submittedAtMs: index }
}

function findLoads (effects: readonly CellEffect[]): readonly string[] {
  return effects.flatMap((effect) => effect.type === 'load-job' ? [effect.job] : [])
}

function sumHeldBytes (harness: CellHarness): number {
  return [...harness.scheduler['state'].jobs.values()].reduce((sum, { definition }) => sum + estimateJobBytes(definition), 0)
}

/** Creates a scheduler that holds as many large jobs as it has room for, and has deferred the others. */
function createFull (): CellHarness {
  const harness = CellHarness.create([buildEntry('t0')])
  for (let index = 0; index < JOBS; index++) harness.scheduler.apply({ type: 'job-accepted', definition: buildLarge(index) }, harness.now)
  return harness
}

for (const { name, steps } of LARGE_SHAPES) {
  const restored: ReadonlyArray<{ readonly how: string, readonly create: (definition: JobDefinition) => CellEvent }> = [
    { how: 'accepted', create: (definition) => ({ type: 'job-accepted', definition }) },
    { how: 'found in the store', create: (definition) => ({ type: 'job-deferred', outline: toJobOutline(definition), phase: 'queued', restored: true }) }
  ]
  for (const { how, create } of restored) {
    // A burst of large jobs was held as a whole: "heap out of memory" in each leader, one after another.
    test(`deferred jobs: guards against the failure that the jobs held take more than their memory, ${name}, ${how}`, () => {
      const harness = CellHarness.create([buildEntry('t0')])
      const definitions = new Map(Array.from({ length: JOBS }, (_, index) => [`j${index}`, buildLarge(index, steps)]))
      for (const definition of definitions.values()) harness.scheduler.apply(create(definition), harness.now)
      for (let round = 0; round < 2 * JOBS; round++) {
        for (const id of findLoads(harness.advance(50))) harness.scheduler.apply({ type: 'job-loaded', definition: definitions.get(id)!, progress: undefined }, harness.now)
        assert.ok(sumHeldBytes(harness) <= MAX_HELD_BYTES)
      }
      assert.ok(harness.scheduler['state'].jobs.size >= 15, `${harness.scheduler['state'].jobs.size} jobs are held`)
      assert.deepEqual([...definitions.keys()].filter((id) => harness.scheduler.getPhase(id) === undefined), [])
    })
  }
}

test('deferred jobs: guards against the failure that an accepted job never runs', () => {
  const harness = createFull()
  const ended = new Set<string>()
  for (let round = 0; ended.size < JOBS && round < 3 * JOBS; round++) {
    for (const id of findLoads(harness.advance(50))) harness.apply({ type: 'job-loaded', definition: buildLarge(Number(id.slice(1))), progress: undefined })
    const id = [...harness.scheduler['state'].jobs.keys()][0]!
    harness.apply({ type: 'job-cancelled', id })
    harness.apply({ type: 'progress-stored', phases: new Map([[id, 'cancelled']]), released: [id], completions: [] })
    ended.add(id)
  }
  assert.equal(ended.size, JOBS)
  assert.equal(harness.scheduler.isFull, false)
})

test('deferred jobs: guards against the failure that ordinary jobs wait or are refused because of large ones', () => {
  const harness = createFull()
  assert.deepEqual([harness.scheduler.isFull, harness.scheduler.isFullForAll], [true, false])
  harness.apply({ type: 'job-accepted', definition: buildJob('ordinary', { demand: TINY }) })
  assert.equal(harness.countStartedTasks('ordinary'), 1)
})

test('deferred jobs: guards against the failure that later large jobs take the room of those that wait', () => {
  const harness = createFull()
  const [id] = [...harness.scheduler['state'].jobs.keys()]
  harness.scheduler.apply({ type: 'job-cancelled', id: id! }, harness.now)
  harness.scheduler.apply({ type: 'progress-stored', phases: new Map(), released: [id!], completions: [] }, harness.now)
  harness.scheduler.apply({ type: 'job-accepted', definition: buildLarge(JOBS) }, harness.now)
  assert.equal(findLoads(harness.advance(50)).length, 1)
  assert.equal(harness.scheduler['state'].jobs.has(`j${JOBS}`), false)
})

test('deferred jobs: the most urgent queue, then the organisation with the fewest jobs, then the oldest job comes first', () => {
  const configuration = buildConfiguration()
  const harness = CellHarness.create([buildEntry('t0')], { ...configuration, queues: [QUEUE, { ...QUEUE, name: 'later', priority: 1 }] })
  const jobs = [{ id: 'a', queue: 'later' }, { id: 'b', queue: 'stock' }, { id: 'c', queue: 'stock', organisation: 'aba' }]
  for (const [index, job] of jobs.entries()) harness.scheduler.apply({ type: 'job-deferred', outline: { ...toJobOutline({ ...buildLarge(index), ...job }), bytes: 40_000_000 }, phase: 'queued', restored: false }, harness.now)
  harness.scheduler.apply({ type: 'job-accepted', definition: buildJob('running', { demand: TINY }) }, harness.now)
  assert.deepEqual(findLoads(harness.advance(50)), ['c'])
})

const PHASES: ReadonlyArray<{ readonly stored: JobPhase, readonly isCancelled: boolean, readonly visible: JobPhase, readonly waiting: number }> = [
  { stored: 'queued', isCancelled: false, visible: 'queued', waiting: 1 },
  { stored: 'running', isCancelled: false, visible: 'running', waiting: 0 },
  { stored: 'queued', isCancelled: true, visible: 'cancelled', waiting: 0 },
  { stored: 'completed', isCancelled: true, visible: 'completed', waiting: 0 }
]

for (const { stored, isCancelled, visible, waiting } of PHASES) {
  test(`deferred jobs: callers see one that is stored as ${stored}${isCancelled ? ' and cancelled' : ''} as ${visible}`, () => {
    const harness = CellHarness.create([buildEntry('t0')])
    harness.scheduler.expectEarlierRuns()
    harness.apply({ type: 'job-deferred', outline: toJobOutline(buildLarge(0)), phase: stored, restored: true })
    if (isCancelled) harness.apply({ type: 'job-cancelled', id: 'j0' })
    assert.equal(harness.scheduler.getPhase('j0'), visible)
    assert.equal(harness.scheduler.countQueuedJobsByQueue().stock ?? 0, waiting)
  })
}

test('deferred jobs: guards against the failure that one that is cancelled starts, or stays in the store', () => {
  const harness = CellHarness.create([buildEntry('t0')])
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'job-deferred', outline: toJobOutline(buildLarge(0)), phase: 'queued', restored: true })
  assert.deepEqual(findLoads(harness.apply({ type: 'job-cancelled', id: 'j0' })), ['j0'])
  const effects = harness.apply({ type: 'job-loaded', definition: buildLarge(0), progress: undefined })
  assert.ok(effects.some((effect) => effect.type === 'store-progress' && effect.job === 'j0'))
  assert.equal(harness.scheduler.needsDefinition('j0'), false)
  assert.equal(harness.scheduler.getProgress('j0')?.phase, 'cancelled')
})

// An earlier owner may run its tasks on a target that cannot be listed any more.
test('deferred jobs: guards against the failure that a task that may run on a closed target starts elsewhere', () => {
  const harness = CellHarness.create([buildEntry('t0')])
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'closed-targets-restored', closed: { gone: ['j0.0.0.0'] } })
  const effects = harness.apply({ type: 'job-deferred', outline: toJobOutline(buildLarge(0)), phase: 'queued', restored: true })
  assert.deepEqual([...findLoads(effects), ...findLoads(harness.advance(50))], ['j0'])
  assert.equal(harness.scheduler.awaitsDeferredJobs, true)
  harness.apply({ type: 'job-loaded', definition: buildLarge(0), progress: undefined })
  assert.equal(harness.scheduler.awaitsDeferredJobs, false)
  harness.apply({ type: 'earlier-runs-listed' })
  assert.equal(harness.countStartedTasks('j0'), 0)
})

test('deferred jobs: guards against the failure that the runs of one are unknown when its target is listed', () => {
  const harness = CellHarness.create([buildEntry('t0')])
  harness.scheduler.expectEarlierRuns()
  harness.apply({ type: 'job-deferred', outline: toJobOutline(buildLarge(0)), phase: 'running', restored: true })
  const run = { task: 'j0.0.0.0', run: 7, checkpoint: '', percent: 0, gauge: undefined }
  const listing = { incarnation: 1, clockMs: 0, running: [run], ended: [] }
  assert.deepEqual(harness.scheduler.findDeferredJobs(listing), ['j0'])
  assert.deepEqual(findLoads(harness.apply({ type: 'deferred-jobs-listed', ids: ['j0'] })), ['j0'])
  harness.apply({ type: 'job-loaded', definition: buildLarge(0), progress: undefined })
  assert.deepEqual(harness.scheduler.findDeferredJobs(listing), [])
})

const UNREADABLE: ReadonlyArray<{ readonly phase: JobPhase | undefined, readonly visible: JobPhase | undefined }> = [
  { phase: undefined, visible: undefined },
  { phase: 'running', visible: 'running' },
  { phase: 'completed', visible: 'completed' }
]

for (const { phase, visible } of UNREADABLE) {
  test(`deferred jobs: one that cannot be read, with the phase ${phase ?? 'unknown'}, keeps no room and is not started`, () => {
    const harness = createFull()
    const [id] = findLoads(harness.advance(50))
    assert.equal(id, undefined)
    harness.apply({ type: 'job-not-loaded', id: `j${JOBS - 1}`, phase })
    assert.equal(harness.scheduler.getPhase(`j${JOBS - 1}`), visible)
    assert.equal(harness.scheduler['state'].deferredJobs.find(`j${JOBS - 1}`), undefined)
  })
}
