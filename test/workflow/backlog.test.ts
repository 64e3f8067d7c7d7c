import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { AdviceTimings, CellConfiguration } from '../../src/workflow/settings/cell-configuration.ts'
import type { CellEffect } from '../../src/workflow/effect.ts'
import { Job } from '../../src/workflow/task.ts'
import { CONFIGURATION, CellHarness, QUEUE, buildEntry, buildJob } from './harness.ts'

const TARGETS = 400
const MEMBERS = 100
const STEPS = 300
const TASKS_PER_STEP = 10
const ADVICE: AdviceTimings = { decisionMs: 28, perTargetMs: 0.4, validityMs: 2_500 }
const CELL: CellConfiguration = { ...CONFIGURATION, queues: [{ ...QUEUE, advice: ADVICE }] }

type AdviceRequest = Extract<CellEffect, { type: 'request-advice' }>

function getRequests (effects: readonly CellEffect[]): readonly AdviceRequest[] {
  return effects.flatMap((effect) => effect.type === 'request-advice' ? [effect] : [])
}

/** A full cell: each target runs one task that takes all of its capacity. */
function createFullCell (configuration = CELL): CellHarness {
  const harness = CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`)), { ...configuration, queues: [...configuration.queues, { ...QUEUE, name: 'filler' }] })
  harness.apply({ type: 'advice-channels', channels: MEMBERS })
  const filler = buildJob('filler', { count: TARGETS, demand: { cpuMillis: 4_000, memoryMiB: 100, accelerators: 0 } })
  harness.apply({ type: 'job-accepted', definition: { ...filler, queue: 'filler' } })
  harness.getStarts().forEach((start) => harness.scheduler.apply({ type: 'start-answered', incarnation: 1, target: start.target, task: start.command.task, run: start.command.run, response: { type: 'accepted', clockMs: harness.now } }, harness.now))
  assert.equal(harness.getStarts().length, TARGETS)
  return harness
}

function submitBacklog (harness: CellHarness): void {
  for (let index = 0; index < STEPS; index++) harness.scheduler.apply({ type: 'job-accepted', definition: buildJob(`j${index}`, { count: TASKS_PER_STEP }) }, harness.now)
}

/** Runs a start pass and returns what it examined. */
function measurePass (harness: CellHarness): ReturnType<CellHarness['scheduler']['takePassWork']> {
  harness.scheduler.takePassWork()
  harness.effects.push(...harness.scheduler.startTasks(harness.now))
  return harness.scheduler.takePassWork()
}

test('backlog: a pass over 3,000 waiting tasks of a full cell examines the targets once, not once for each step', () => {
  const harness = createFullCell()
  submitBacklog(harness)
  const work = measurePass(harness)
  assert.equal(work.passes, 1)
  assert.equal(work.steps, STEPS)
  assert.ok(work.targets <= 2 * TARGETS, `${work.targets} targets examined`)
})

test('backlog: after one task ends, a pass examines what changed', () => {
  const harness = createFullCell()
  submitBacklog(harness)
  measurePass(harness)
  harness.now += 1
  const { target, command } = harness.getStarts()[0]!
  harness.scheduler.apply({ type: 'target-listed', id: target, sentAt: harness.now, listing: { incarnation: 1, clockMs: harness.now, running: [], ended: [{ number: 1, task: command.task, run: command.run, outcome: 'done', checkpoint: '' }] } }, harness.now)
  const work = measurePass(harness)
  assert.ok(work.targets <= 2 * TARGETS + STEPS, `${work.targets} targets examined`)
})

test('backlog: steps ask for a target again as soon as it has room', () => {
  const harness = createFullCell()
  submitBacklog(harness)
  measurePass(harness)
  const { target, command } = harness.getStarts()[0]!
  const effects = harness.completeRun({ target, command }, 'done')
  const requests = getRequests(effects)
  assert.equal(requests.length, 2 * MEMBERS)
  assert.deepEqual([...new Set(requests.flatMap(({ targets }) => targets))], [target])
})

test('backlog: in an empty cell each of the first steps asks at once, for few targets of many', () => {
  const harness = CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`)), CELL)
  harness.apply({ type: 'advice-channels', channels: MEMBERS })
  submitBacklog(harness)
  const work = measurePass(harness)
  const requests = getRequests(harness.effects)
  assert.equal(requests.length, 2 * MEMBERS)
  const named = new Set(requests.flatMap(({ targets }) => targets))
  assert.ok(named.size > TARGETS * 0.9, `${named.size} different targets named`)
  assert.ok(work.targets <= requests.length * 64, `${work.targets} targets examined`)
})

test('backlog: targets whose pause ends are found without any other change', () => {
  const harness = createFullCell()
  const { target, command } = harness.getStarts()[0]!
  harness.completeRun({ target, command }, 'done')
  harness.acceptJob('probe', 'filler')
  const start = harness.getStarts().at(-1)!
  assert.equal(start.target, target)
  harness.apply({ type: 'start-answered', incarnation: 1, target, task: start.command.task, run: start.command.run, response: { type: 'refused', reason: 'unhealthy', clockMs: harness.now } })
  harness.apply({ type: 'job-cancelled', id: 'probe' })
  harness.apply({ type: 'job-accepted', definition: buildJob('late', {}) })
  assert.equal(getRequests(harness.effects).length, 0)
  harness.advance(500)
  harness.advance(600)
  assert.deepEqual(getRequests(harness.effects).map(({ targets }) => targets), [[target]])
})

/** Spreads the free capacity so that each target has some room in one resource and none has room for a task. */
function createFragmentedCell (): CellHarness {
  const harness = CellHarness.create(Array.from({ length: TARGETS }, (_, index) => buildEntry(`t${index}`, { capacity: index % 2 === 0 ? { cpuMillis: 500, memoryMiB: 1_000, accelerators: 0 } : { cpuMillis: 4_000, memoryMiB: 50, accelerators: 0 } })), CELL)
  harness.apply({ type: 'advice-channels', channels: MEMBERS })
  return harness
}

test('backlog: when each step has to search all targets, a pass examines a bounded number, and the next passes the rest', () => {
  const harness = createFragmentedCell()
  submitBacklog(harness)
  const budget = 8_000
  const examined: number[] = []
  for (let pass = 0; pass < 20; pass++) {
    harness.now += 1
    examined.push(measurePass(harness).targets)
  }
  assert.ok(Math.max(...examined) <= budget + 2 * TARGETS, `${Math.max(...examined)} targets examined`)
  const total = examined.reduce((sum, count) => sum + count, 0)
  assert.ok(total >= STEPS * TARGETS, `${total} targets examined in all passes`)
  assert.ok(examined.at(-1)! <= TARGETS, `${examined.at(-1)} targets examined once all steps have searched`)
})

// Each pass read the runs of all tasks of each waiting job: a third to a half of the samples in the passes of a leader with a
// backlog.
test('backlog: guards against the failure that a pass examines the tasks of jobs whose organisation has used its maximum', (context) => {
  const [organisation] = CELL.organisations
  const harness = createFullCell({ ...CELL, organisations: [{ ...organisation!, maximum: { cpuMillis: TARGETS * 4_000, memoryMiB: 0, accelerators: 0 } }] })
  submitBacklog(harness)
  const hasRuns = context.mock.method(Job.prototype, 'hasRuns')
  const work = measurePass(harness)
  assert.equal(work.steps, STEPS)
  assert.equal(hasRuns.mock.callCount(), 0)
})
