import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

type Case = { readonly name: string, readonly steps: ReadonlyArray<Partial<Step>>, readonly payload?: string, readonly fits: number, readonly exceeds: number }

const TOO_LARGE = { cpuMillis: 9_000, memoryMiB: 100, accelerators: 0 }

// The number of accepted jobs had no bound: nothing but the end of the process.
const jobs: readonly Case[] = [
  { name: 'small jobs', steps: [{ count: 10 }], fits: 10_000, exceeds: 18_000 },
  { name: 'jobs with a long text', steps: [{ count: 10 }], payload: 'x'.repeat(4_000), fits: 5_000, exceeds: 7_300 },
  { name: 'jobs of many steps', steps: Array.from({ length: 20 }, () => ({ count: 2 })), fits: 1_000, exceeds: 1_400 },
  { name: 'jobs of many tasks', steps: [{ count: 10_000 }], fits: 10_000, exceeds: 18_000 },
  { name: 'jobs of many tasks that last', steps: [{ count: 1_000, longRunning: true }], fits: 25, exceeds: 32 }
]

function createHarness (): CellHarness {
  return CellHarness.create([buildEntry('t0')])
}

function buildLarge (index: number, { steps, payload = 'p' }: Pick<Case, 'steps' | 'payload'>): JobDefinition {
  return { ...buildJob(`j${index}`, ...steps.map((step) => ({ demand: TOO_LARGE, ...step }))), payload }
}

for (const { fits, exceeds, name, ...job } of jobs) {
  test(`held jobs: guards against the failure that more are accepted than the memory holds, ${name}`, () => {
    const harness = createHarness()
    for (let index = 0; index < exceeds; index++) {
      harness.scheduler.apply({ type: 'job-accepted', definition: buildLarge(index, job) }, harness.now)
      if (index === fits) assert.equal(harness.scheduler.isFull, false)
    }
    assert.equal(harness.scheduler.isFull, true)
  })
}

test('held jobs: guards against the failure that jobs that have ended count for good', () => {
  const harness = createHarness()
  const ids = Array.from({ length: 32 }, (_, index) => `j${index}`)
  for (const index of ids.keys()) harness.scheduler.apply({ type: 'job-restored', definition: buildLarge(index, { steps: [{ count: 1_000, longRunning: true }] }), progress: undefined }, harness.now)
  assert.equal(harness.scheduler.isFull, true)
  for (const id of ids) harness.scheduler.apply({ type: 'job-cancelled', id }, harness.now)
  harness.apply({ type: 'progress-stored', phases: new Map(ids.map((id) => [id, 'cancelled'])), released: ids, completions: [] })
  assert.equal(harness.scheduler.isFull, false)
})
