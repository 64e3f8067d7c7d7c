import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { TestContext } from 'node:test'
import fc from 'fast-check'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import { StepRun } from '../../src/workflow/task.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

const JOBS = 20
const STEPS = 1_000
/** Steps of a job that have objects although none of its tasks has started. */
const MAX_OBJECTS_PER_JOB = 200
const TOO_LARGE = { cpuMillis: 9_000, memoryMiB: 100, accelerators: 0 }
const SEED = 64
const RUNS = 60

type StepsCase = { readonly name: string, readonly buildStep: (number: number) => Partial<Step>, readonly progress?: JobProgress }

const ENDED_STEP = { done: '1', failedRuns: {}, gangFailedRuns: [] }

const CASES: readonly StepsCase[] = [
  { name: 'one after the other', buildStep: (number) => ({ after: number === 0 ? [] : [number - 1] }) },
  { name: 'side by side', buildStep: () => ({}) },
  { name: 'tasks that last', buildStep: () => ({ longRunning: true }) },
  { name: 'all after the first', buildStep: (number) => ({ after: number === 0 ? [] : [0] }) },
  { name: 'most of them done', buildStep: (number) => ({ after: number === 0 ? [] : [number - 1] }), progress: { phase: 'running', nextOccurrence: 1, open: { 0: Array.from({ length: STEPS - 100 }, () => ENDED_STEP) } } }
]

function buildSteps (count: number, buildStep: (number: number) => Partial<Step>): ReadonlyArray<Partial<Step>> {
  return Array.from({ length: count }, (_, number) => buildStep(number))
}

function countStepObjects (context: TestContext): () => number {
  const create = context.mock.method(StepRun, 'create')
  return () => create.mock.callCount()
}

for (const { name, buildStep, progress } of CASES) {
  // Each step was an object of 1.4 KB from the start: 70 jobs of 3,000 steps ended each leader in turn with "heap out of memory".
  test(`many steps: guards against the failure that steps which wait or are done take memory each, ${name}`, (context) => {
    const countObjects = countStepObjects(context)
    const harness = CellHarness.create([buildEntry('t0')])
    const steps = buildSteps(STEPS, (number) => ({ demand: TOO_LARGE, ...buildStep(number) }))
    for (let index = 0; index < JOBS; index++) {
      const definition = buildJob(`j${index}`, ...steps)
      harness.apply(progress === undefined ? { type: 'job-accepted', definition } : { type: 'job-restored', definition, progress })
    }
    harness.advance(50)
    assert.ok(countObjects() <= JOBS * MAX_OBJECTS_PER_JOB, `${countObjects()} objects of steps`)
  })
}

// Steps that have no object yet must not be forgotten: those of tasks that last, and behind others that never start.
const BEHIND: ReadonlyArray<{ readonly name: string, readonly buildStep: (number: number) => Partial<Step> }> = [
  { name: 'behind many steps that last', buildStep: () => ({ longRunning: true, demand: { cpuMillis: 1, memoryMiB: 0, accelerators: 0 } }) },
  { name: 'behind many steps that wait for one that lasts', buildStep: (number) => number === 0 ? { longRunning: true } : { after: number < 300 ? [0] : [], demand: { cpuMillis: 1, memoryMiB: 0, accelerators: 0 } } }
]

for (const { name, buildStep } of BEHIND) {
  test(`many steps: guards against the failure that a step never starts, ${name}`, () => {
    const harness = CellHarness.create([buildEntry('t0')])
    harness.apply({ type: 'job-accepted', definition: buildJob('j', ...buildSteps(400, buildStep)) })
    for (let round = 0; round < 20; round++) {
      for (const start of harness.getStarts().filter(({ command }) => harness.scheduler.getTarget('t0')!.find(command.task, command.run)?.phase === 'starting')) harness.acceptStart(start)
      harness.advance(50)
    }
    assert.ok(harness.getStarts().some(({ command }) => command.task === 'j.0.399.0'))
  })
}

/** Completes each run as soon as it has started, and changes the owner now and then. Returns the tasks in the order of their starts. */
function playJob (definition: JobDefinition, takeovers: ReadonlySet<number>): readonly string[] {
  const started: string[] = []
  let harness = CellHarness.create([buildEntry('t0')])
  harness.apply({ type: 'job-accepted', definition })
  for (let round = 0; round < 2 * definition.steps.length + 10; round++) {
    const starts = harness.getStarts()
    const [next] = starts.filter(({ command }) => harness.scheduler.getTarget('t0')!.find(command.task, command.run) !== undefined)
    if (next === undefined) {
      if (harness.scheduler.getPhase(definition.id) !== 'running') break
      harness.advance(50)
      continue
    }
    harness.acceptStart(next)
    started.push(next.command.task)
    harness.completeRun(next, 'done')
    if (!takeovers.has(started.length)) continue
    const progress = harness.scheduler.getProgress(definition.id)
    harness = CellHarness.create([buildEntry('t0')])
    harness.apply({ type: 'job-restored', definition, progress })
  }
  return started
}

const arbitrarySteps = fc.array(fc.array(fc.nat(), { maxLength: 3 }), { minLength: 90, maxLength: 250 }).map((rows) => rows.map((row, number) => number === 0 ? [] : row.map((value) => value % number)))

// Each step must start once, after those that it waits for, whichever owner finds the others done.
test('many steps: guards against the failure that a step starts twice, never, or before a predecessor has ended, at random orders', () => {
  fc.assert(fc.property(arbitrarySteps, fc.array(fc.nat({ max: 200 }), { maxLength: 3 }), (afters, takeovers) => {
    const definition = buildJob('j', ...afters.map((after) => ({ after, demand: { cpuMillis: 4_000, memoryMiB: 1, accelerators: 0 } })))
    const started = playJob(definition, new Set(takeovers)).map((task) => Number(task.split('.')[2]))
    assert.equal(started.length, afters.length)
    assert.equal(new Set(started).size, afters.length)
    const positions = new Map(started.map((step, position) => [step, position]))
    for (const [step, after] of afters.entries()) {
      for (const earlier of after) assert.ok(positions.get(earlier)! < positions.get(step)!)
    }
  }), { seed: SEED, numRuns: RUNS })
})

test('many steps: a record of progress is restored as it was stored', () => {
  const definition = buildJob('j', ...buildSteps(400, (number) => ({ count: 5, after: number === 0 ? [] : [number - 1] })))
  const harness = CellHarness.create([buildEntry('t0')])
  harness.apply({ type: 'job-accepted', definition })
  for (let handled = 0; handled < 1_003; handled++) {
    const start = harness.getStarts()[handled]!
    harness.acceptStart(start)
    harness.completeRun(start, 'done')
  }
  const progress = harness.scheduler.getProgress('j')!
  assert.equal(progress.open['0']![200]!.done, '7')
  const next = CellHarness.create([buildEntry('t0')])
  next.apply({ type: 'job-restored', definition, progress })
  assert.deepEqual(next.scheduler.getProgress('j'), progress)
})
