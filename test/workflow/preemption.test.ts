import assert from 'node:assert/strict'
import { test } from 'node:test'
import { DEFAULT_FEATURES } from '../../src/settings/index.ts'
import type { CellConfiguration } from '../../src/workflow/settings/cell-configuration.ts'
import type { QueueSettings } from '../../src/workflow/settings/job-settings.ts'
import type { Step } from '../../src/workflow/job.ts'
import { buildJob, buildOrganisations, CellHarness, CONFIGURATION, QUEUE, buildEntry } from './harness.ts'

const SAVED: Partial<Step> = { checkpoints: true, estimatedMs: 4_000 }
const QUEUES = [{ ...QUEUE, name: 'urgent', maxAttempts: 2 }, { ...QUEUE, name: 'batch', priority: 2, stretch: 2.2, latencyObjectiveMs: 1_200 }, { ...QUEUE, name: 'watch', priority: 1 }]
/** Time after which a run is listed as settled, and a step has begun to wait, in milliseconds. */
const SETTLE_MS = 200

type Tasks = { readonly queue: string, readonly cpu: number, readonly count?: number, readonly changes?: Partial<Step> }

/** A cell of some targets with 16 cores each, and an organisation with a maximum (0: none). */
function createHarness ({ maximum = 0, targets = 8, enabled = true }: { readonly maximum?: number, readonly targets?: number, readonly enabled?: boolean } = {}): CellHarness {
  const entries = Array.from({ length: targets }, (_, index) => buildEntry(`t${index}`, { capacity: { cpuMillis: 16_000, memoryMiB: 10_000, accelerators: 0 } }))
  const configuration = { ...CONFIGURATION, queues: QUEUES, organisations: buildOrganisations(maximum) }
  return CellHarness.create(entries, configuration, { features: { ...DEFAULT_FEATURES.scheduling, preemption: enabled } })
}

function accept (harness: CellHarness, id: string, { queue, cpu, count = 1, changes }: Tasks): void {
  harness.acceptJob(id, queue, { count, demand: { cpuMillis: cpu, memoryMiB: 10, accelerators: 0 }, ...changes })
}

/** All targets accept their starts, and list them with this progress after a while. */
function settle (harness: CellHarness, percent = 5): void {
  for (const start of harness.getStarts()) harness.acceptStart(start)
  harness.now += SETTLE_MS
  for (const id of findTargets(harness)) harness.listTarget(id, { running: harness.runningOn(id).map((run) => ({ ...run, percent })) })
}

function findTargets (harness: CellHarness): readonly string[] {
  return [...new Set(harness.getStarts().map(({ target }) => target))]
}

/** Lets an urgent job wait, and returns the tasks that are stopped meanwhile. */
function waitFor (harness: CellHarness, job: Tasks): readonly string[] {
  accept(harness, 'urgent', job)
  harness.advance(100)
  return harness.getCommands('stop').map(({ command }) => command.task)
}

/** Ends a stopped run, and returns the tasks that start then. */
function endStopped (harness: CellHarness, outcome: 'stopped' | 'done' = 'stopped'): readonly string[] {
  const [stop] = harness.getCommands('stop')
  return harness.getStarts(harness.completeRun(stop as Parameters<CellHarness['completeRun']>[0], outcome, outcome === 'done' ? '' : 'c1')).map(({ command }) => command.task)
}

const MAXIMUM = 10_000
const BATCH: Tasks = { queue: 'batch', cpu: 4_000, count: 2, changes: SAVED }
const URGENT: Tasks = { queue: 'urgent', cpu: 4_000 }

const cases: ReadonlyArray<{ readonly guards: string, readonly running: readonly Tasks[], readonly job?: Tasks, readonly percent?: number, readonly enabled?: boolean, readonly stops: number }> = [
  { guards: 'an urgent step waits behind batch runs that use the maximum', running: [BATCH], stops: 1 },
  { guards: 'more is stopped than an urgent step needs', running: [{ ...BATCH, cpu: 1_900, count: 4 }, { queue: 'urgent', cpu: 2_300, changes: { estimatedMs: 9_000 } }], job: { queue: 'urgent', cpu: 1_000 }, stops: 1 },
  { guards: 'runs are stopped with the setting off', running: [BATCH], enabled: false, stops: 0 },
  { guards: 'work is lost that no checkpoint saves', running: [{ ...BATCH, changes: { estimatedMs: 4_000 } }], stops: 0 },
  { guards: 'a member of a gang is stopped', running: [{ ...BATCH, changes: { ...SAVED, gang: true } }], stops: 0 },
  { guards: 'a task that lasts is stopped', running: [{ ...BATCH, queue: 'watch', changes: { ...SAVED, longRunning: true } }], stops: 0 },
  { guards: 'an urgent run is stopped', running: [{ ...BATCH, queue: 'urgent' }], stops: 0 },
  { guards: 'a copy of a stopped speculative task takes the room', running: [{ ...BATCH, changes: { ...SAVED, speculative: true } }], stops: 0 },
  { guards: 'a run that is nearly done is stopped', running: [BATCH], percent: 90, stops: 0 },
  { guards: 'a stopped job misses its objective', running: [{ ...BATCH, changes: { checkpoints: true, estimatedMs: 900 } }], percent: 1, stops: 0 },
  { guards: 'runs are stopped for work that is not urgent', running: [BATCH], job: { queue: 'watch', cpu: 4_000 }, stops: 0 },
  { guards: 'runs are stopped for a task that exceeds the maximum', running: [BATCH], job: { queue: 'urgent', cpu: 11_000 }, stops: 0 }
]

for (const { guards, running, job = URGENT, percent, enabled, stops } of cases) {
  test(`preemption: guards against the failure that ${guards}`, () => {
    const harness = createHarness({ maximum: MAXIMUM, ...enabled !== undefined && { enabled } })
    running.forEach((tasks, index) => accept(harness, `r${index}`, tasks))
    settle(harness, percent)
    assert.equal(waitFor(harness, job).length, stops)
  })
}

/** Fills the maximum with batch runs, and stops one of them for an urgent job. */
function createHarnessWithStop (running: Tasks = BATCH, job: Tasks = URGENT): CellHarness {
  const harness = createHarness({ maximum: MAXIMUM })
  accept(harness, 'r0', running)
  settle(harness)
  assert.equal(waitFor(harness, job).length, 1)
  return harness
}

test('preemption: guards against the failure that the stopped task or another one takes the room back', () => {
  const harness = createHarnessWithStop()
  accept(harness, 'other', BATCH)
  assert.deepEqual(endStopped(harness), ['urgent.0.0.0'])
})

test('preemption: guards against the failure that a run that ends as done just before its stop counts as stopped', () => {
  const harness = createHarnessWithStop()
  assert.deepEqual(endStopped(harness, 'done'), ['urgent.0.0.0'])
  harness.advance(5_000)
  assert.equal(harness.countStartedTasks('r0'), 2)
})

test('preemption: guards against the failure that a stopped run counts as failed, or that its task starts without the checkpoint', () => {
  const harness = createHarnessWithStop()
  endStopped(harness)
  const [urgent] = harness.getStarts().filter(({ command }) => command.task.startsWith('urgent.'))
  const [restart] = harness.getStarts(harness.completeRun(urgent!, 'done'))
  assert.equal(restart?.command.checkpoint, 'c1')
  assert.deepEqual(harness.scheduler.getProgress('r0')!.open['0']![0]!.failedRuns, {})
})

test('preemption: guards against the failure that a task is stopped a second time', () => {
  const harness = createHarnessWithStop({ ...BATCH, cpu: 8_000, count: 1 })
  endStopped(harness)
  const [urgent] = harness.getStarts().filter(({ command }) => command.task.startsWith('urgent.'))
  harness.completeRun(urgent!, 'done')
  settle(harness)
  accept(harness, 'again', URGENT)
  harness.advance(100)
  assert.equal(harness.getCommands('stop').length, 1)
})

test('preemption: guards against the failure that a stop without a response is not sent again, or that another run is stopped for it', () => {
  const harness = createHarnessWithStop()
  for (let index = 0; index < 5; index++) harness.advance(100)
  assert.equal(new Set(harness.getCommands('stop').map(({ command }) => command.task)).size, 1)
  assert.ok(harness.getCommands('stop').length > 1)
})

test('preemption: guards against the failure that a target that goes away during a stop holds the urgent task back for good', () => {
  const harness = createHarnessWithStop(BATCH, { ...URGENT, changes: { estimatedMs: 3_000 } })
  harness.apply({ type: 'target-silent', id: harness.getCommands('stop')[0]!.target, cause: 'no-answer' })
  for (let index = 0; index < 50; index++) harness.advance(100)
  assert.equal(harness.countStartedTasks('urgent'), 1)
})

test('preemption: guards against the failure that runs are stopped while those of a previous owner may be unknown, or that a run found stopping is lost', () => {
  const harness = createHarness({ maximum: MAXIMUM })
  harness.scheduler.expectEarlierRuns()
  const definition = { ...buildJob('r0', { ...SAVED, count: 2, demand: { cpuMillis: 4_000, memoryMiB: 10, accelerators: 0 } }), queue: 'batch' }
  harness.apply({ type: 'job-restored', definition, progress: undefined })
  const runs = [0, 1].map((index) => ({ task: `r0.0.0.${index}`, run: index + 1, checkpoint: '', percent: 5, gauge: undefined }))
  harness.listTarget('t0', { running: runs })
  harness.now += SETTLE_MS
  harness.listTarget('t0', { running: runs })
  assert.deepEqual(waitFor(harness, URGENT), [])
  harness.listTarget('t0', { running: runs.slice(1), ended: [{ number: 1, task: runs[0]!.task, run: 1, outcome: 'stopped', checkpoint: 'c1' }] })
  harness.apply({ type: 'earlier-runs-listed' })
  assert.equal(harness.countStartedTasks('urgent'), 1)
})

type Placed = { readonly batch: readonly number[], readonly percent?: number }

/** Fills targets with batch runs of these sizes, each target with its own; the urgent task fits none of them. */
function createFullCell (placed: readonly Placed[], configuration: CellConfiguration): CellHarness {
  const harness = CellHarness.create([], configuration, { features: { ...DEFAULT_FEATURES.scheduling, preemption: true } })
  placed.forEach(({ batch, percent = 5 }, index) => {
    harness.publishTarget(buildEntry(`t${index}`, { labels: [`on${index}`], capacity: { cpuMillis: 16_000, memoryMiB: 10_000, accelerators: 0 } }))
    batch.forEach((cpu, position) => accept(harness, `b${index}${position}`, { queue: 'batch', cpu, changes: { ...SAVED, requiredLabel: `on${index}` } }))
    settle(harness, percent)
  })
  return harness
}

function buildRoomConfiguration (advice: QueueSettings['advice'] = undefined, maximum = 0): CellConfiguration {
  const [urgent, ...others] = QUEUES
  return { ...CONFIGURATION, queues: [{ ...urgent!, advice }, ...others], organisations: buildOrganisations(maximum) }
}

const roomCases: ReadonlyArray<{ readonly guards: string, readonly placed: readonly Placed[], readonly cpu?: number, readonly maximum?: number, readonly tasks?: number, readonly silent?: string, readonly stopped: readonly string[] }> = [
  { guards: 'an urgent task waits behind batch runs that fill its targets', placed: [{ batch: [13_000] }], stopped: ['b00.0.0.0'] },
  { guards: 'more runs are stopped than necessary', placed: [{ batch: [6_500, 6_500] }, { batch: [13_000] }], cpu: 10_000, stopped: ['b10.0.0.0'] },
  { guards: 'a run is stopped for each of two tasks that one of them has room for', placed: [{ batch: [13_000] }, { batch: [13_000] }], tasks: 2, stopped: ['b00.0.0.0'] },
  { guards: 'a run is stopped although another one ends as soon', placed: [{ batch: [13_000] }, { batch: [13_000], percent: 90 }], stopped: [] },
  { guards: 'a run is stopped on a target that does not respond', placed: [{ batch: [13_000] }, { batch: [13_000] }], silent: 't0', stopped: ['b10.0.0.0'] },
  { guards: 'a larger run is stopped than necessary', placed: [{ batch: [13_000] }, { batch: [6_500, 6_500] }], stopped: ['b10.0.0.0'] },
  { guards: 'a run is stopped for a task that its maximum would not let run', placed: [{ batch: [13_000] }, { batch: [13_000] }], cpu: 10_000, tasks: 2, maximum: 37_000, stopped: ['b00.0.0.0'] }
]

for (const { guards, placed, cpu = 7_000, maximum, tasks = 1, silent, stopped } of roomCases) {
  test(`preemption: guards against the failure that ${guards}`, () => {
    const harness = createFullCell(placed, buildRoomConfiguration(undefined, maximum))
    if (silent !== undefined) harness.apply({ type: 'target-silent', id: silent, cause: 'no-answer' })
    assert.deepEqual(waitFor(harness, { queue: 'urgent', cpu, count: tasks }), stopped)
  })
}

test('preemption: guards against the failure that a run is stopped on a target that the advisor does not allow, or that batch work takes its room before there is a ticket', () => {
  const harness = createFullCell([{ batch: [13_000] }, { batch: [13_000] }], buildRoomConfiguration({ decisionMs: 40, perTargetMs: 1, validityMs: 2_000 }))
  const advise = (id: string): void => { harness.apply({ type: 'advised', step: 'urgent.0.0', requestedTargets: ['t0', 't1'], response: { type: 'advised', tickets: [{ target: id, ticket: 'k' }], validityMs: 150 } }) }
  accept(harness, 'urgent', { queue: 'urgent', cpu: 7_000 })
  advise('t1')
  harness.advance(100)
  assert.deepEqual(harness.getCommands('stop').map(({ target }) => target), ['t1'])
  harness.advance(100)
  accept(harness, 'other', { queue: 'batch', cpu: 5_000, changes: SAVED })
  assert.deepEqual(endStopped(harness), [])
  advise('t1')
  assert.equal(harness.countStartedTasks('urgent'), 1)
})
