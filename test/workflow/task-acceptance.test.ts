import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Queue } from '../../src/workflow/cell-configuration.ts'
import type { Step } from '../../src/workflow/job.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry } from './harness.ts'

const QUEUES: readonly Queue[] = [{ ...QUEUE, name: 'urgent' }, { ...QUEUE, name: 'batch', priority: 2 }]
const TARGETS = 8

function createHarness (): CellHarness {
  return CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`)), { ...CONFIGURATION, queues: QUEUES })
}

function accept (harness: CellHarness, id: string, queue: string, cpuMillis: number, changes: Partial<Step> = {}): void {
  const step = { demand: { cpuMillis, memoryMiB: 10, accelerators: 0 }, ...changes }
  harness.acceptJob(id, queue, step)
}

const ONE_A_TARGET: Partial<Step> = { count: TARGETS, perTargetLimit: 1, longRunning: true }

// LOST: with tasks that last on each target, a job that each had room for never started, because a part of each stayed reserved.
const cases: ReadonlyArray<{ readonly guards: string, readonly lasting: number, readonly queue: string, readonly cpu: number, readonly count: number, readonly changes?: Partial<Step>, readonly started: number }> = [
  { guards: 'a job that does not run uses the reserve of a target while most of the pool is free', lasting: 1_800, queue: 'batch', cpu: 1_700, count: 1, started: 1 },
  { guards: 'all members of a gang use the reserve of targets', lasting: 1_800, queue: 'batch', cpu: 1_700, count: 3, changes: { gang: true }, started: 3 },
  { guards: 'further tasks of a job that runs leave the reserve', lasting: 1_800, queue: 'batch', cpu: 1_700, count: 3, started: 1 },
  { guards: 'a job leaves the reserve while half of the pool is booked', lasting: 2_000, queue: 'batch', cpu: 1_700, count: 1, started: 0 },
  { guards: 'urgent jobs use the reserve', lasting: 2_000, queue: 'urgent', cpu: 1_700, count: 3, started: 3 }
]

for (const { guards, lasting, queue, cpu, count, changes, started } of cases) {
  test(`task acceptance: ${guards}`, () => {
    const harness = createHarness()
    accept(harness, 'lasting', 'batch', lasting, ONE_A_TARGET)
    accept(harness, 'job', queue, cpu, { count, ...changes })
    harness.advance(500)
    assert.deepEqual([harness.countStartedTasks('lasting'), harness.countStartedTasks('job')], [TARGETS, started])
  })
}
