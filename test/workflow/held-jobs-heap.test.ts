import assert from 'node:assert/strict'
import { test } from 'node:test'
import { setImmediate } from 'node:timers/promises'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { estimateJobBytes } from '../../src/workflow/held-jobs.ts'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

/** What the objects may take beyond the estimate: the heap is measured with what the test itself leaves in it. */
const TOLERANCE = 1.1
const TINY = { cpuMillis: 1_000, memoryMiB: 1, accelerators: 0 }

type Shape = { readonly name: string, readonly jobs: number, readonly steps: number, readonly buildStep: (number: number) => Partial<Step>, readonly payload?: string }

const SHAPES: readonly Shape[] = [
  { name: 'ordinary jobs', jobs: 2_000, steps: 2, buildStep: (number) => ({ count: 8, after: number === 0 ? [] : [0] }) },
  { name: 'jobs with a long text', jobs: 2_000, steps: 1, buildStep: () => ({}), payload: 'x'.repeat(4_000) },
  { name: 'steps one after the other', jobs: 10, steps: 3_000, buildStep: (number) => ({ after: number === 0 ? [] : [number - 1] }) },
  { name: 'steps side by side', jobs: 10, steps: 3_000, buildStep: () => ({}) },
  { name: 'steps with many predecessors', jobs: 10, steps: 300, buildStep: (number) => ({ after: Array.from({ length: number }, (_, earlier) => earlier) }) },
  { name: 'steps with texts of their own', jobs: 10, steps: 2_000, buildStep: (number) => ({ image: `image-${'i'.repeat(40)}-${number}`, dataRack: `rack-${'r'.repeat(40)}-${number}` }) },
  { name: 'steps of many tasks', jobs: 100, steps: 10, buildStep: () => ({ count: 10_000 }) },
  { name: 'tasks that last', jobs: 10, steps: 1, buildStep: () => ({ count: 1_000, longRunning: true }) }
]

function createGarbageCollection (): () => void {
  setFlagsFromString('--expose-gc')
  return runInNewContext('gc') as () => void
}

const collectGarbage = createGarbageCollection()

/** What earlier calls have left is collected before. */
async function measureHeap (): Promise<number> {
  await setImmediate()
  collectGarbage()
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Definitions as they come from the store: each with objects and texts of its own. */
function buildDefinitions ({ jobs, steps, buildStep, payload = 'p' }: Shape): readonly JobDefinition[] {
  const text = JSON.stringify({ ...buildJob('', ...Array.from({ length: steps }, (_, number) => ({ demand: TINY, ...buildStep(number) }))), payload })
  return Array.from({ length: jobs }, (_, index) => ({ ...JSON.parse(text) as JobDefinition, id: `j${index}` }))
}

for (const shape of SHAPES) {
  // What a job takes is estimated, and jobs beyond the leader's memory are left in the store by it.
  test(`held jobs: guards against the failure that jobs take more memory than is estimated, ${shape.name}`, async () => {
    const harness = CellHarness.create([buildEntry('t0')])
    const before = await measureHeap()
    const definitions = buildDefinitions(shape)
    const estimate = definitions.reduce((sum, definition) => sum + estimateJobBytes(definition), 0)
    for (const definition of definitions) harness.scheduler.apply({ type: 'job-accepted', definition }, harness.now)
    for (let round = 0; round < 10; round++) {
      harness.scheduler.apply({ type: 'tick' }, harness.now += 50)
      harness.scheduler.startTasks(harness.now)
    }
    const used = await measureHeap() - before
    assert.equal(harness.scheduler['state'].deferredJobs.size, 0)
    assert.ok(used <= TOLERANCE * estimate, `${(used / estimate).toFixed(2)} of the estimate, ${Math.round(used / shape.jobs)} bytes a job`)
  })
}
