import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_FEATURES } from '../../src/settings/index.ts'
import type { Step } from '../../src/workflow/job.ts'
import type { CellOptions } from '../../src/workflow/options.ts'
import type { RunOutcome } from '../../src/workflow/target-entry.ts'
import { CONFIGURATION, CellHarness, buildEntry, buildJob, buildOrganisations } from './harness.ts'

const ENABLED: Partial<CellOptions> = { features: { ...DEFAULT_FEATURES.scheduling, parallelLastAttempts: true } }

type Cell = { readonly targets?: number, readonly maximum?: number, readonly step?: Partial<Step>, readonly enabled?: boolean }

/** Starts a task of a queue with two attempts, and lets its first run fail. */
function failFirstRun ({ targets = 6, maximum = 0, step = {}, enabled = true }: Cell): CellHarness {
  const entries = Array.from({ length: targets }, (_, index) => buildEntry(`t${index}`))
  const harness = CellHarness.create(entries, { ...CONFIGURATION, organisations: buildOrganisations(maximum) }, enabled ? ENABLED : {})
  harness.acceptJob('job', 'stock', { speculative: true, ...step })
  acceptStarts(harness)
  harness.completeRun(harness.getStarts()[0]!, 'failed')
  return harness
}

function acceptStarts (harness: CellHarness): void {
  for (const start of harness.getStarts()) harness.acceptStart(start)
}

const starts: ReadonlyArray<Cell & { readonly guards: string, readonly runs: number }> = [
  { guards: 'the last attempt of a speculative task depends on one target', runs: 3 },
  { guards: 'two runs of a task start on the same target', targets: 3, runs: 2 },
  { guards: 'the runs of a last attempt exceed the maximum', maximum: 2_000, runs: 2 },
  { guards: 'a task without copies runs twice', step: { speculative: false }, runs: 1 },
  { guards: 'a gang is copied', step: { gang: true }, runs: 1 },
  { guards: 'several runs start with the setting off', enabled: false, runs: 1 }
]

for (const { guards, runs, ...cell } of starts) {
  test(`last attempts: guards against the failure that ${guards}`, () => {
    const harness = failFirstRun(cell)
    const [first, ...last] = harness.getStarts().map(({ target }) => target)
    assert.equal(last.length, runs)
    assert.equal(new Set([first, ...last]).size, runs + 1)
  })
}

const ends: ReadonlyArray<{ readonly guards: string, readonly outcomes: readonly RunOutcome[], readonly phases: ReadonlyArray<string | undefined> }> = [
  { guards: 'the job fails while a run may still end as done', outcomes: ['failed', 'failed', 'done'], phases: ['running', 'running', 'completed'] },
  { guards: 'the job does not fail with its last run', outcomes: ['failed', 'failed', 'failed'], phases: ['running', 'running', 'failed'] },
  { guards: 'a task without attempts starts again when its last run was stopped', outcomes: ['failed', 'stopped', 'lapsed'], phases: ['running', 'running', 'failed'] },
  { guards: 'a task whose last runs were stopped before one has failed does not start again', outcomes: ['stopped', 'lapsed', 'stopped'], phases: ['running', 'running', 'running'] }
]

for (const { guards, outcomes, phases } of ends) {
  test(`last attempts: guards against the failure that ${guards}`, () => {
    const harness = failFirstRun({})
    acceptStarts(harness)
    const last = harness.getStarts().slice(1)
    const seen = outcomes.map((outcome, index) => {
      harness.completeRun(last[index]!, outcome)
      harness.advance(100)
      return harness.scheduler.getProgress('job')!.phase
    })
    assert.deepEqual(seen, phases)
    if (outcomes.includes('failed')) assert.equal(harness.getStarts().length, 4)
    else assert.ok(harness.getStarts().length > 4)
  })
}

test('last attempts: guards against the failure that the other runs go on after one is done', () => {
  const harness = failFirstRun({})
  acceptStarts(harness)
  const [, done, ...others] = harness.getStarts()
  harness.completeRun(done!, 'done')
  assert.deepEqual(harness.getCommands('stop').map(({ target }) => target), others.map(({ target }) => target))
})

test('last attempts: guards against the failure that a run whose start has no response starts after the last failure', () => {
  const harness = failFirstRun({})
  const [, failing, ...unanswered] = harness.getStarts()
  harness.acceptStart(failing!)
  harness.completeRun(failing!, 'failed')
  assert.deepEqual(harness.getCommands('stop').map(({ target }) => target), unanswered.map(({ target }) => target))
})

test('last attempts: guards against the failure that a copy starts after the last failure, because the last run is on a target that does not respond', () => {
  const harness = failFirstRun({})
  acceptStarts(harness)
  const [, first, second, last] = harness.getStarts()
  for (const failing of [first!, second!]) harness.completeRun(failing, 'failed')
  harness.apply({ type: 'target-silent', id: last!.target, cause: 'no-answer' })
  harness.advance(100)
  assert.equal(harness.getStarts().length, 4)
})

const RUN = { task: 'job.0.0.0', checkpoint: '', percent: 10, gauge: undefined }

/** A new owner restores a job of which a task has failed, and finds its other runs on two targets. */
function takeOver (failedRuns: readonly number[], options: Partial<CellOptions>): CellHarness {
  const harness = CellHarness.create([], CONFIGURATION, { ...options, firstRunNumber: 100 })
  harness.scheduler.expectEarlierRuns()
  const step = { done: '', failedRuns: { 0: failedRuns }, gangFailedRuns: [] }
  harness.apply({ type: 'job-restored', definition: buildJob('job', { speculative: true }), progress: { phase: 'running', nextOccurrence: 1, open: { 0: [step] } } })
  for (const id of ['t0', 't1', 't2']) harness.publishTarget(buildEntry(id))
  harness.advance(100)
  harness.listTarget('t1', { running: [{ ...RUN, run: 3 }] })
  harness.listTarget('t2', { running: [{ ...RUN, run: 4 }] })
  harness.apply({ type: 'earlier-runs-listed' })
  harness.advance(100)
  return harness
}

const takeovers: ReadonlyArray<{ readonly guards: string, readonly failedRuns: readonly number[], readonly options: Partial<CellOptions>, readonly stops: number }> = [
  { guards: 'a new owner fails the job while runs of its last attempt go on', failedRuns: [1, 2], options: ENABLED, stops: 0 },
  { guards: 'a new owner stops the other runs of a last attempt', failedRuns: [1], options: ENABLED, stops: 0 },
  { guards: 'a new owner with the setting off fails the job, or starts it once more', failedRuns: [1, 2], options: {}, stops: 1 }
]

for (const { guards, failedRuns, options, stops } of takeovers) {
  test(`last attempts: guards against the failure that ${guards}`, () => {
    const harness = takeOver(failedRuns, options)
    assert.equal(harness.scheduler.getProgress('job')!.phase, 'running')
    assert.deepEqual([new Set(harness.getCommands('stop').map(({ target }) => target)).size, harness.getStarts().length], [stops, 0])
    const end = (id: string, run: number, outcome: RunOutcome): void => { harness.listTarget(id, { ended: [{ number: 1, task: RUN.task, run, outcome, checkpoint: '' }] }) }
    end('t2', 4, stops > 0 ? 'stopped' : 'failed')
    assert.equal(harness.scheduler.getProgress('job')!.phase, 'running')
    end('t1', 3, 'failed')
    assert.equal(harness.scheduler.getProgress('job')!.phase, 'failed')
    assert.equal(harness.getStarts().length, 0)
  })
}

test('last attempts: guards against the failure that a new owner starts a task without attempts whose last runs are gone', () => {
  const harness = takeOver([1, 2], ENABLED)
  for (const [id, run] of [['t1', 3], ['t2', 4]] as const) harness.listTarget(id, { ended: [{ number: 1, task: RUN.task, run, outcome: 'lapsed', checkpoint: '' }] })
  assert.equal(harness.scheduler.getProgress('job')!.phase, 'failed')
  assert.equal(harness.getStarts().length, 0)
})
