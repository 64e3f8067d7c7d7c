import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellConfiguration, Queue } from '../../src/workflow/settings/cell-configuration.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry } from './harness.ts'

const ADVICE = { decisionMs: 400, perTargetMs: 6, validityMs: 2_500 }
/** Jobs of the queue `filler` need no advice. */
const QUEUES: readonly Queue[] = [
  { ...QUEUE, name: 'batch', priority: 2, advice: ADVICE },
  { ...QUEUE, name: 'late', priority: 3, advice: ADVICE },
  { ...QUEUE, name: 'filler', priority: 1 }
]
const CELL: CellConfiguration = { ...CONFIGURATION, queues: QUEUES }
const WAIT_MS = 2_500
const TARGETS = 20
const MOST_OF_A_TARGET = { cpuMillis: 3_000, memoryMiB: 100, accelerators: 0 }

function createHarness (channels: number): CellHarness {
  const harness = CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`)), CELL)
  harness.apply({ type: 'advice-channels', channels })
  return harness
}

/** Ids of the jobs whose steps were asked for since the given effect. */
function getAskingJobs (harness: CellHarness, from = 0): readonly string[] {
  return harness.effects.slice(from).flatMap((effect) => effect.type === 'request-advice' ? [effect.step.split('.')[0]!] : [])
}

/** Ends a pending request; the given targets are allowed. Without any, its step asks again. */
function respond (harness: CellHarness, job: string, allowed: readonly string[]): void {
  const tickets = allowed.map((target) => ({ target, ticket: `ticket-${target}` }))
  const response = allowed.length === 0 ? { type: 'failed', reason: 'timeout' } as const : { type: 'advised', tickets, validityMs: undefined } as const
  harness.apply({ type: 'advised', step: `${job}.0.0`, requestedTargets: allowed, response })
}

// LOST: late jobs never started, because steps before them in rank asked for every new target; the precedence that mends it is bounded.
const cases = [
  { guards: 'steps that have waited too long get one channel', channels: 4, bookedTargets: 0, waitMs: WAIT_MS, expected: 1 },
  { guards: 'steps that have waited too long get a quarter of many channels', channels: 8, bookedTargets: 0, waitMs: WAIT_MS, expected: 2 },
  { guards: 'the ranks decide about steps that have not waited long', channels: 4, bookedTargets: 0, waitMs: 1_000, expected: 0 },
  { guards: 'the ranks decide while most of the capacity is booked', channels: 4, bookedTargets: TARGETS, waitMs: WAIT_MS, expected: 0 }
]

for (const { guards, channels, bookedTargets, waitMs, expected } of cases) {
  test(`overdue advice: ${guards}`, () => {
    const harness = createHarness(channels)
    if (bookedTargets > 0) harness.acceptJob('filler', 'filler', { count: bookedTargets, demand: MOST_OF_A_TARGET })
    for (let index = 0; getAskingJobs(harness).length === index; index++) harness.acceptJob(`batch${index}`, 'batch')
    for (const id of ['late0', 'late1', 'late2']) harness.acceptJob(id, 'late')
    const asking = getAskingJobs(harness)
    harness.apply({ type: 'job-cancelled', id: `batch${asking.length}` })
    harness.now += waitMs
    const from = harness.effects.length
    for (const job of asking) respond(harness, job, [])
    assert.equal(getAskingJobs(harness, from).filter((job) => job.startsWith('late')).length, expected)
  })
}

const running = [
  { guards: 'a task that lasts takes precedence although others of its job run', step: { longRunning: true }, expected: ['late'] },
  { guards: 'a job with a running task leaves the order to the ranks', step: {}, expected: ['batch'] }
]

for (const { guards, step, expected } of running) {
  test(`overdue advice: ${guards}`, () => {
    const harness = createHarness(1)
    harness.acceptJob('late', 'late', { count: 2, perTargetLimit: 1, estimatedMs: 60_000, ...step })
    respond(harness, 'late', ['t0'])
    assert.equal(harness.getStarts().length, 1)
    // Later, so that the job does not exceed the share of its organisation.
    harness.now += WAIT_MS
    harness.acceptJob('batch', 'batch')
    respond(harness, 'late', [])
    harness.now += WAIT_MS
    const from = harness.effects.length
    respond(harness, 'batch', [])
    assert.deepEqual(getAskingJobs(harness, from), expected)
  })
}

// LOST: with few channels, tasks that last waited for 20 s behind batch steps that had waited longer, but had far more time.
const orders = [
  { guards: 'a task that lasts does not wait behind steps whose objective leaves them more time', batchEstimatedMs: 20_000, expected: ['late'] },
  { guards: 'tasks that last do not keep out steps that have missed their objective', batchEstimatedMs: 100, expected: ['batch'] }
]

for (const { guards, batchEstimatedMs, expected } of orders) {
  test(`overdue advice: ${guards}`, () => {
    const harness = createHarness(1)
    harness.acceptJob('busy', 'batch')
    harness.apply({ type: 'advice-channels', channels: 0 })
    harness.acceptJob('batch', 'batch', { estimatedMs: batchEstimatedMs })
    harness.now += WAIT_MS
    harness.acceptJob('late', 'late', { longRunning: true })
    harness.now += WAIT_MS
    harness.apply({ type: 'job-cancelled', id: 'busy' })
    const from = harness.effects.length
    harness.apply({ type: 'advice-channels', channels: 1 })
    respond(harness, 'busy', [])
    assert.deepEqual(getAskingJobs(harness, from), expected)
  })
}
