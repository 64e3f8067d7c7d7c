import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { Step } from '../../src/workflow/job.ts'
import { CellScheduler } from '../../src/workflow/cell-scheduler.ts'
import { buildConfiguration, buildEntry, buildJob } from './harness.ts'

const NOW = 1_000
const FAILED_RUNS = 2

const cases: ReadonlyArray<{ readonly kind: string, readonly step: Partial<Step>, readonly maxAttempts: number, readonly phase: string }> = [
  { kind: 'a task with attempts left', step: {}, maxAttempts: 3, phase: 'running' },
  { kind: 'a gang with attempts left', step: { gang: true }, maxAttempts: 3, phase: 'running' },
  { kind: 'a task without attempts left', step: {}, maxAttempts: 2, phase: 'failed' },
  { kind: 'a gang without attempts left', step: { gang: true }, maxAttempts: 2, phase: 'failed' }
]

// A new leader listed targets before it had read the configuration: jobs failed after two attempts, whatever their queue says.
for (const { kind, step, maxAttempts, phase } of cases) {
  test(`jobs: guards against the failure that failed runs count against an assumed number of attempts while the queue is unknown: ${kind}`, () => {
    const scheduler = CellScheduler.create()
    const progress = { phase: 'running', nextOccurrence: 1, open: { 0: [{ done: '0', failedRuns: {}, gangFailedRuns: [] }] } } as const
    scheduler.apply({ type: 'job-restored', definition: buildJob('a', step), progress }, NOW)
    scheduler.apply({ type: 'target-published', entry: buildEntry('t1') }, NOW)
    const ended = Array.from({ length: FAILED_RUNS }, (_, index) => ({ number: index + 1, task: 'a.0.0.0', run: index + 1, outcome: 'failed', checkpoint: '' } as const))
    scheduler.apply({ type: 'target-listed', id: 't1', sentAt: NOW, listing: { incarnation: 1, clockMs: NOW, running: [], ended } }, NOW)
    assert.equal(scheduler.getProgress('a')!.phase, 'running')
    scheduler.apply({ type: 'configured', configuration: buildConfiguration({ queue: { maxAttempts } }) }, NOW)
    assert.equal(scheduler.getProgress('a')!.phase, phase)
  })
}
