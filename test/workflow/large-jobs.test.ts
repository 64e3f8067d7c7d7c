import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { TestContext } from 'node:test'
import type { JobDefinition, Step } from '../../src/workflow/job.ts'
import type { JobProgress } from '../../src/workflow/progress-record.ts'
import { Task } from '../../src/workflow/task.ts'
import { CellHarness, buildEntry, buildJob } from './harness.ts'

const JOBS = 20
const TASKS = 1_000
/** A pass looks at one or two tasks of each job. */
const MAX_OBJECTS_PER_JOB = 2

type BacklogCase = { readonly name: string, readonly step: Partial<Step>, readonly progress?: JobProgress }

const RUNNING: JobProgress = { phase: 'running', nextOccurrence: 1, open: { 0: [{ done: `${'f'.repeat(225)}${'0'.repeat(25)}`, failedRuns: {}, gangFailedRuns: [] }] } }

const BACKLOGS: readonly BacklogCase[] = [
  { name: 'new tasks', step: {} },
  { name: 'a gang', step: { gang: true } },
  { name: 'tasks that have copies', step: { speculative: true } },
  { name: 'restored tasks', step: {}, progress: { phase: 'queued', nextOccurrence: 0, open: {} } },
  { name: 'restored tasks, most of them done', step: {}, progress: RUNNING }
]

function countCreatedTasks (context: TestContext): () => number {
  const create = context.mock.method(Task, 'create')
  return () => create.mock.callCount()
}

function buildLargeJob (index: number, step: Partial<Step>): JobDefinition {
  return buildJob(`j${index}`, { count: TASKS, demand: { cpuMillis: 9_000, memoryMiB: 100, accelerators: 0 }, ...step })
}

for (const { name, step, progress } of BACKLOGS) {
  // Each accepted task was an object of 1 KB from the start: 160,000 to 170,000 ended each leader in turn.
  test(`large jobs: guards against the failure that tasks which wait take memory each, ${name}`, (context) => {
    const countObjects = countCreatedTasks(context)
    const harness = CellHarness.create([buildEntry('t0', { capacity: { cpuMillis: 8_000, memoryMiB: 64_000, accelerators: 0 } })])
    for (let index = 0; index < JOBS; index++) {
      const definition = buildLargeJob(index, step)
      harness.scheduler.apply(progress === undefined ? { type: 'job-accepted', definition } : { type: 'job-restored', definition, progress }, harness.now)
    }
    harness.advance(50)
    assert.ok(countObjects() <= JOBS * MAX_OBJECTS_PER_JOB, `${countObjects()} objects of tasks`)
    assert.equal(harness.scheduler.summary.waitingTasks, JOBS * (progress === RUNNING ? 100 : TASKS))
  })
}

// The objects of the tasks that were done stayed until the whole job had ended.
test('large jobs: guards against the failure that tasks which are done take memory each', () => {
  const harness = CellHarness.create([buildEntry('t0', { capacity: { cpuMillis: 4_000, memoryMiB: 64_000, accelerators: 0 } })])
  harness.apply({ type: 'job-accepted', definition: buildJob('j', { count: 40 }) })
  for (let handled = 0; handled < 30; handled++) {
    const start = harness.getStarts()[handled]!
    harness.acceptStart(start)
    harness.completeRun(start, 'done')
  }
  assert.equal(harness.countStartedTasks('j'), 34)
  const [step] = [...harness.scheduler['state'].openSteps]
  assert.equal([...step!.tasks.known()].length, 4)
  assert.equal(step!.tasks.unstartedCount, 6)
  assert.equal(harness.scheduler.getProgress('j')?.open['0']?.[0]?.done, (2n ** 30n - 1n).toString(16))
})

// A copy of a task that is done may still run, and a target may list its end again.
test('large jobs: guards against the failure that a task which is done and forgotten starts again when it is listed', () => {
  const harness = CellHarness.create([buildEntry('t0'), buildEntry('t1')])
  harness.apply({ type: 'job-accepted', definition: buildJob('j', { count: 2 }, { after: [0] }) })
  const [first] = harness.getStarts()
  harness.acceptStart(first!)
  harness.completeRun(first!, 'done')
  const run = { task: first!.command.task, run: 99, checkpoint: '', percent: 0, gauge: undefined }
  harness.listTarget('t1', { running: [...harness.runningOn('t1'), run] })
  assert.deepEqual(harness.getCommands('stop').map(({ command }) => [command.task, command.run]), [[run.task, run.run]])
  harness.listTarget('t1', { running: harness.runningOn('t1', run.task), ended: [{ number: 1, task: run.task, run: run.run, outcome: 'done', checkpoint: '' }] })
  harness.listTarget('t0', { running: harness.runningOn('t0'), ended: [{ number: 2, task: run.task, run: 98, outcome: 'done', checkpoint: '' }] })
  harness.advance(50)
  assert.equal([...harness.scheduler['state'].jobs.get('j')!.knownTasks()].some(({ key }) => key === run.task), false)
  assert.equal(harness.getStarts().filter(({ command }) => command.task === run.task).length, 1)
  assert.equal(harness.scheduler.getProgress('j')?.open['0']?.[0]?.done, '1')
})

// The record was computed with one long integer for each finished task: 12 MB of them for 10,000 tasks.
test('large jobs: guards against the failure that a record of progress cannot be restored as it was stored', () => {
  const step = { count: 300, demand: { cpuMillis: 10, memoryMiB: 1, accelerators: 0 } }
  const harness = CellHarness.create([buildEntry('t0', { capacity: { cpuMillis: 4_000, memoryMiB: 64_000, accelerators: 0 } })])
  harness.apply({ type: 'job-accepted', definition: buildJob('j', step) })
  for (const [index, start] of harness.getStarts().slice(0, 20).entries()) {
    harness.acceptStart(start)
    harness.completeRun(start, index % 5 === 0 ? 'failed' : 'done')
  }
  const progress = harness.scheduler.getProgress('j')!
  const next = CellHarness.create([buildEntry('t0')])
  next.apply({ type: 'job-restored', definition: buildJob('j', step), progress })
  assert.deepEqual(next.scheduler.getProgress('j'), progress)
  assert.equal(next.scheduler.summary.waitingTasks + next.scheduler.summary.runs, 300 - 16)
})
