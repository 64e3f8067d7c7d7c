import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Queue } from '../../src/workflow/settings/cell-configuration.ts'
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

const TICK_MS = 50
const HALF_OF_A_TARGET = 2_000

/** Lets half of each target run a task that lasts and is at work. */
function fillHalf (harness: CellHarness): void {
  accept(harness, 'lasting', 'batch', HALF_OF_A_TARGET, ONE_A_TARGET)
  for (const start of harness.getStarts()) {
    harness.acceptStart(start)
    harness.listTarget(start.target, { running: harness.runningOn(start.target).map((run) => ({ ...run, percent: 100 })) })
  }
}

function advanceFor (harness: CellHarness, durationMs: number): void {
  for (let passedMs = 0; passedMs < durationMs; passedMs += TICK_MS) harness.advance(TICK_MS)
}

// LOST: tasks that last waited for good in a pool of which half was booked, beside room for them that was kept for urgent tasks.
const lasting: ReadonlyArray<{ readonly guards: string, readonly count?: number, readonly changes?: Partial<Step>, readonly waitMs: number, readonly started: number }> = [
  { guards: 'a task that lasts has no run for long because of the reserve', waitMs: 2_500, started: 1 },
  { guards: 'a task that lasts uses the reserve before it has waited', waitMs: 1_500, started: 0 },
  { guards: 'tasks that last use the reserve of several targets at once', count: TARGETS, waitMs: 2_500, started: 1 },
  { guards: 'only one of the tasks that last has a run', count: TARGETS, waitMs: 4_500, started: 5 },
  { guards: 'tasks that last take the room for the last urgent task', count: TARGETS, waitMs: 12_000, started: TARGETS - 1 },
  { guards: 'a gang that lasts has no run although there is room for it twice over', count: TARGETS / 2, changes: { gang: true }, waitMs: 2_500, started: TARGETS / 2 },
  { guards: 'a gang that lasts takes the room that is left', count: TARGETS / 2 + 1, changes: { gang: true }, waitMs: 2_500, started: 0 },
  { guards: 'jobs that end use the reserve of a full pool', changes: { longRunning: false }, waitMs: 2_500, started: 0 }
]

for (const { guards, count = 1, changes, waitMs, started } of lasting) {
  test(`task acceptance: guards against the failure that ${guards}`, () => {
    const harness = createHarness()
    fillHalf(harness)
    accept(harness, 'job', 'batch', 1_700, { count, longRunning: true, ...changes })
    advanceFor(harness, waitMs)
    assert.equal(harness.countStartedTasks('job'), started)
  })
}

// Urgent tasks that followed one another found their room taken by tasks that last: between two of them it is free for a moment.
test('task acceptance: guards against the failure that a task that lasts takes room which urgent tasks leave for a moment', () => {
  const harness = createHarness()
  fillHalf(harness)
  accept(harness, 'urgent', 'urgent', 1_000, { count: TARGETS, perTargetLimit: 1 })
  accept(harness, 'job', 'batch', 1_700, { longRunning: true })
  advanceFor(harness, 2_500)
  harness.apply({ type: 'job-cancelled', id: 'urgent' })
  for (const { target } of harness.getCommands('stop')) {
    harness.listTarget(target, { running: harness.runningOn(target).filter(({ task }) => task.startsWith('lasting')).map((run) => ({ ...run, percent: 100 })), ended: harness.runningOn(target).filter(({ task }) => task.startsWith('urgent')).map(({ task, run }) => ({ number: 1, task, run, outcome: 'stopped' as const, checkpoint: '' })) })
  }
  advanceFor(harness, 1_400)
  assert.equal(harness.countStartedTasks('job'), 0)
  advanceFor(harness, 500)
  assert.equal(harness.countStartedTasks('job'), 1)
})
