import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createAmount, SchedulerHarness, createTarget, createTeam, createWork } from './support.ts'

const createFleet = (count: number) => Array.from({ length: count }, (_, index) => createTarget(`t${index}`, { failureDomain: 'ab'[index % 2]! }))

function getQuarantinedTargets (harness: SchedulerHarness): readonly string[] {
  const ids = new Set<string>()
  for (const effect of harness.effects) {
    if (effect.type === 'quarantined') ids.add(effect.targetId)
    if (effect.type === 'readmitted') ids.delete(effect.targetId)
  }
  return [...ids]
}

/** Runs tasks of six families until `untilMs`; a task fails when `fails` returns true for its target and family. */
function runFamilies (harness: SchedulerHarness, untilMs: number, fails: (target: string, family: string) => boolean): void {
  let workNumber = 0
  const families = new Map<string, string>()
  while (harness.now < untilMs) {
    for (let index = 0; index < 6; index += 1) {
      workNumber += 1
      const id = `g0-n${harness.now}-${workNumber}`
      families.set(`${id}/0`, `f${index}`)
      harness.submit(createWork(id, { kind: 'batch', count: 1 }, { family: `f${index}` }))
    }
    harness.advanceTime(300)
    for (const [id, targetId] of [...harness.running]) harness.endTask(id, fails(targetId, families.get(id)!) ? 'failed' : 'succeeded', fails(targetId, families.get(id)!))
  }
}

test('quarantine: a target on which all families fail is quarantined, gets few starts, and is readmitted when tasks succeed on it', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(4))
  runFamilies(harness, 20_000, (targetId) => targetId === 't0')
  assert.deepEqual(getQuarantinedTargets(harness), ['t0'])
  const probes = harness.effects.filter((effect) => effect.type === 'start' && effect.targetId === 't0').length
  assert.ok(probes < 20, `${probes} starts on the faulty target`)
  runFamilies(harness, 120_000, () => false)
  assert.deepEqual(getQuarantinedTargets(harness), [])
})

test('quarantine: no target is quarantined for failures of families that fail on all targets', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(4))
  runFamilies(harness, 30_000, (_, family) => family === 'f1' || family === 'f2' || family === 'f3')
  assert.deepEqual(getQuarantinedTargets(harness), [])
})

test('quarantine: at most a tenth of the targets of a failure domain, but always one, may be quarantined at once', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(40))
  const faultyTargets = new Set(['t0', 't2', 't4', 't6', 't8'])
  runFamilies(harness, 60_000, (targetId) => faultyTargets.has(targetId))
  assert.ok(getQuarantinedTargets(harness).length <= 2, `${getQuarantinedTargets(harness).length}`)
  assert.ok(getQuarantinedTargets(harness).length >= 1)
})

test('retries: a failed task is retried after growing delays and given up after five attempts', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(2))
  harness.submit(createWork('g0-b', { kind: 'batch', count: 1 }))
  const startedAt: number[] = []
  for (let step = 0; step < 600; step += 1) {
    harness.advanceTime(100)
    if (!harness.running.has('g0-b/0')) continue
    startedAt.push(harness.now)
    harness.endTask('g0-b/0', 'failed', true)
  }
  assert.equal(startedAt.length, 5)
  assert.ok(startedAt[4]! - startedAt[3]! > 800 && startedAt[4]! - startedAt[3]! < 3000, 'the delay grows')
  assert.ok(harness.effects.some((effect) => effect.type === 'give-up' && effect.refusal.reason === 'retries-exhausted'))
})

test('retries: when all work of a queue fails, its retries are limited by the budget of the queue', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(20))
  harness.submit(...Array.from({ length: 100 }, (_, index) => createWork(`g0-b${index}`, { kind: 'batch', count: 1 })))
  let starts = 0
  for (let step = 0; step < 200; step += 1) {
    harness.advanceTime(100)
    for (const id of harness.getRunningTasks()) {
      starts += 1
      harness.endTask(id, 'failed', true)
    }
  }
  assert.ok(starts <= 100 + 50 + 20 + 1, `${starts} starts in 20 s`)
})

test('retries: a start that the target refused is retried after a delay', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(1))
  harness.submit(createWork('g0-b', { kind: 'batch', count: 1 }))
  harness.endTask('g0-b/0', 'not-started', true)
  assert.equal(harness.scheduler.explain('g0-b/0')?.reason, 'retry-delayed')
  harness.advanceTime(1000)
  assert.ok(harness.running.has('g0-b/0'))
})

function reportUsage (harness: SchedulerHarness, factor: number): void {
  for (const [taskId, targetId] of harness.running) {
    harness.apply({ type: 'usage-reported', targetId, usage: [{ taskId, resources: { ...createAmount(1), cpuMillis: 1000 * factor, memoryMiB: 1024 * factor } }] })
  }
}

test('estimates: tasks that use more than declared book their measured peak with a margin, so fewer tasks start beside them', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(1))
  harness.submit(createWork('g0-b', { kind: 'batch', count: 2 }))
  reportUsage(harness, 4)
  harness.submit(createWork('g0-c', { kind: 'batch', count: 8 }))
  assert.equal(harness.running.size, 3, 'three bookings of 4400 in 16000')
  const used = harness.scheduler.overview(0).targets[0]!.used
  assert.ok(used.cpuMillis >= 13_200, `${used.cpuMillis}`)
})

test('estimates: bookings are lowered below the declared size only after ten measured tasks and only to the configured ratio', () => {
  const cases = [
    { minBookedRatio: 1, measured: 10, factor: 0.1, running: 10 },
    { minBookedRatio: 0.5, measured: 10, factor: 0.1, running: 20 },
    { minBookedRatio: 0.5, measured: 5, factor: 0.1, running: 10 },
    // The measured peak of 500 with its margin is 550.
    { minBookedRatio: 0.2, measured: 10, factor: 0.5, running: 18 }
  ]
  for (const { minBookedRatio, measured, factor, running } of cases) {
    const capacity = { cpuMillis: 10_000, memoryMiB: 65_536, accelerators: 0, slots: 64, connections: 64 }
    const harness = new SchedulerHarness([createTeam('sewing')], [createTarget('t1', { capacity })], { minBookedRatio })
    harness.submit(createWork('g0-b', { kind: 'batch', count: measured }))
    reportUsage(harness, factor)
    for (const id of harness.getRunningTasks()) harness.endTask(id)
    harness.submit(createWork('g0-c', { kind: 'batch', count: 100 }))
    harness.advanceTime(500)
    assert.equal(harness.running.size, running)
  }
})

test('over-usage: a task above its declared size is throttled first, and evicted only if the memory of the target stays overused', () => {
  const harness = new SchedulerHarness([createTeam('sewing')], createFleet(1))
  harness.submit(createWork('g0-good', { kind: 'batch', count: 1 }, { family: 'good' }), createWork('g0-bad', { kind: 'batch', count: 1 }, { family: 'bad' }))
  const usage = [
    { taskId: 'g0-good/0', resources: createAmount(1) },
    { taskId: 'g0-bad/0', resources: { ...createAmount(1), memoryMiB: 70_000 } }
  ]
  const types = () => harness.effects.flatMap((effect) => effect.type === 'throttle' || effect.type === 'stop' ? [`${effect.type} ${effect.taskId}`] : [])
  harness.apply({ type: 'usage-reported', targetId: 't0', usage })
  assert.deepEqual(types(), ['throttle g0-bad/0'])
  harness.advanceTime(6000)
  harness.apply({ type: 'usage-reported', targetId: 't0', usage })
  assert.deepEqual(types(), ['throttle g0-bad/0', 'stop g0-bad/0'])
})
