import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { CellConfiguration, Queue } from '../../src/workflow/settings/cell-configuration.ts'
import type { Step } from '../../src/workflow/job.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry } from './harness.ts'

const QUEUES: readonly Queue[] = [{ ...QUEUE, name: 'urgent' }, { ...QUEUE, name: 'watch', priority: 1 }, { ...QUEUE, name: 'batch', priority: 2 }]
const MAXIMUM_CPU_MILLIS = 10_000

/** Tasks of one step; `cpu` in thousandths of a core for each. */
type Tasks = { readonly queue: string, readonly cpu: number, readonly count?: number, readonly changes?: Partial<Step> }

function createHarness (maximumCpuMillis: number, weight: number): CellHarness {
  const entries = Array.from({ length: 8 }, (_, index) => buildEntry(`t${index}`, { capacity: { cpuMillis: 16_000, memoryMiB: 10_000, accelerators: 0 } }))
  const [organisation] = CONFIGURATION.organisations
  const configuration: CellConfiguration = { ...CONFIGURATION, queues: QUEUES, organisations: [{ ...organisation!, weight, maximum: { cpuMillis: maximumCpuMillis, memoryMiB: 0, accelerators: 0 } }] }
  return CellHarness.create(entries, configuration)
}

function accept (harness: CellHarness, id: string, { queue, cpu, count = 1, changes }: Tasks): void {
  const step = { count, demand: { cpuMillis: cpu, memoryMiB: 10, accelerators: 0 }, ...changes }
  harness.acceptJob(id, queue, step)
}

const LASTS: Partial<Step> = { longRunning: true }
const GANG: Partial<Step> = { gang: true }
const MANY_A_SECOND = 100

// LOST: a job that its organisation's maximum has room for never started, because a part of the maximum stayed reserved.
const cases: ReadonlyArray<{ readonly guards: string, readonly running: readonly Tasks[], readonly job: Tasks, readonly weight?: number, readonly started: number }> = [
  { guards: 'starts a batch job beside tasks that last and use less than half', running: [{ queue: 'watch', cpu: 2_300, count: 2, changes: LASTS }], job: { queue: 'batch', cpu: 4_300 }, started: 1 },
  { guards: 'starts a job beyond the share of submissions beside tasks that last', running: [{ queue: 'watch', cpu: 4_600, changes: LASTS }], job: { queue: 'batch', cpu: 2_000 }, weight: 0.1, started: 1 },
  { guards: 'starts a batch job beside another that takes long', running: [{ queue: 'batch', cpu: 4_600 }], job: { queue: 'batch', cpu: 4_300 }, started: 1 },
  { guards: 'starts a task that lasts beside others that last and use less than half', running: [{ queue: 'watch', cpu: 4_600, changes: LASTS }], job: { queue: 'watch', cpu: 4_300, changes: LASTS }, started: 1 },
  { guards: 'starts a gang that fits the maximum', running: [{ queue: 'watch', cpu: 4_600, changes: LASTS }], job: { queue: 'batch', cpu: 1_300, count: 4, changes: GANG }, started: 4 },
  { guards: 'starts a batch job beside tasks that last and use more than half', running: [{ queue: 'watch', cpu: 6_000, changes: LASTS }], job: { queue: 'batch', cpu: 3_500 }, started: 1 },
  { guards: 'starts only one task at a time beside tasks that last and use more than half', running: [{ queue: 'watch', cpu: 6_000, changes: LASTS }], job: { queue: 'batch', cpu: 1_800, count: 2 }, started: 1 },
  { guards: 'exceeds no maximum of which more than half is used', running: [{ queue: 'watch', cpu: 6_000, changes: LASTS }], job: { queue: 'batch', cpu: 4_100 }, started: 0 },
  { guards: 'starts a task that exceeds the maximum only beside tasks that last', running: [{ queue: 'watch', cpu: 4_600, changes: LASTS }], job: { queue: 'batch', cpu: 6_000 }, started: 1 },
  { guards: 'starts no gang that exceeds the maximum by a task and more', running: [{ queue: 'watch', cpu: 4_600, changes: LASTS }], job: { queue: 'batch', cpu: 2_000, count: 4, changes: GANG }, started: 0 },
  { guards: 'keeps the reserve from further tasks of a job that runs', running: [], job: { queue: 'batch', cpu: 4_300, count: 3 }, started: 1 },
  { guards: 'keeps the reserve from batch jobs while half of the maximum is used', running: [{ queue: 'batch', cpu: 5_000 }], job: { queue: 'batch', cpu: 4_300 }, started: 0 },
  { guards: 'keeps the reserve from tasks that last while half of the maximum is used', running: [{ queue: 'watch', cpu: 5_000, changes: LASTS }], job: { queue: 'watch', cpu: 4_300, changes: LASTS }, started: 0 },
  { guards: 'lets urgent jobs use the reserve', running: [{ queue: 'batch', cpu: 5_000 }], job: { queue: 'urgent', cpu: 4_300 }, started: 1 }
]

for (const { guards, running, job, weight = MANY_A_SECOND, started } of cases) {
  test(`organisation's maximum: ${guards}`, () => {
    const harness = createHarness(MAXIMUM_CPU_MILLIS, weight)
    running.forEach((tasks, index) => accept(harness, `r${index}`, tasks))
    accept(harness, 'job', job)
    harness.advance(3_000)
    assert.equal(harness.countStartedTasks('job'), started)
  })
}

const UNKNOWN_RUN = { task: 'unknown.0.0.0', run: 7, checkpoint: '', percent: 10, gauge: undefined }
const LEASE_MS = 3_500

const uncertain = [
  { guards: 'runs of unknown jobs do not count while their target may have them', waitedMs: LEASE_MS, aloneForMs: Infinity, started: 0 },
  { guards: 'runs of unknown jobs do not count while another owner may have extended their lease', waitedMs: 2 * LEASE_MS, aloneForMs: LEASE_MS, started: 0 },
  // LOST: they counted for good, as the whole capacity of the target and for each organisation, so that its jobs did not start.
  { guards: 'runs of unknown jobs on a target that is gone count for good', waitedMs: 2 * LEASE_MS, aloneForMs: Infinity, started: 1 }
]

for (const { guards, waitedMs, aloneForMs, started } of uncertain) {
  test(`organisation's maximum: guards against the failure that ${guards}`, () => {
    const harness = createHarness(MAXIMUM_CPU_MILLIS, MANY_A_SECOND)
    harness.listTarget('t0', { running: [UNKNOWN_RUN] })
    harness.apply({ type: 'target-silent', id: 't0', cause: 'no-answer' })
    const aloneUntil = harness.now + aloneForMs
    accept(harness, 'job', { queue: 'watch', cpu: 1_000, changes: LASTS })
    harness.now += waitedMs
    harness.apply({ type: 'tick', aloneUntil })
    assert.equal(harness.countStartedTasks('job'), started)
  })
}
