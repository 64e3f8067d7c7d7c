import assert from 'node:assert/strict'
import { test } from 'node:test'
import { amount, Rig, target, team, work } from './support.ts'

const fleet = (count: number) => Array.from({ length: count }, (_, index) => target(`t${index}`, { failureDomain: 'ab'[index % 2]! }))

function quarantined (rig: Rig): readonly string[] {
  const ids = new Set<string>()
  for (const effect of rig.effects) {
    if (effect.type === 'quarantined') ids.add(effect.targetId)
    if (effect.type === 'readmitted') ids.delete(effect.targetId)
  }
  return [...ids]
}

/** Runs six families for a while; a task fails when `fails` says so. */
function operate (rig: Rig, untilMs: number, fails: (target: string, family: string) => boolean): void {
  let number = 0
  const families = new Map<string, string>()
  while (rig.now < untilMs) {
    for (let index = 0; index < 6; index += 1) {
      number += 1
      const id = `g0-n${rig.now}-${number}`
      families.set(`${id}/0`, `f${index}`)
      rig.submit(work(id, { kind: 'batch', count: 1 }, { family: `f${index}` }))
    }
    rig.pass(300)
    for (const [id, place] of [...rig.running]) rig.end(id, fails(place, families.get(id)!) ? 'failed' : 'succeeded', fails(place, families.get(id)!))
  }
}

test('quarantine: a target that fails every family gets no more work, is probed, and is readmitted once it runs well', () => {
  const rig = new Rig([team('sewing')], fleet(4))
  operate(rig, 20_000, (place) => place === 't0')
  assert.deepEqual(quarantined(rig), ['t0'])
  const probes = rig.effects.filter((effect) => effect.type === 'start' && effect.targetId === 't0').length
  assert.ok(probes < 20, `${probes} starts on the bad target`)
  operate(rig, 120_000, () => false)
  assert.deepEqual(quarantined(rig), [])
})

test('quarantine: a family that fails everywhere counts against no target', () => {
  const rig = new Rig([team('sewing')], fleet(4))
  operate(rig, 30_000, (_, family) => family === 'f1' || family === 'f2' || family === 'f3')
  assert.deepEqual(quarantined(rig), [])
})

test('quarantine: at most a tenth of a failure domain, and at least one target, is quarantined at once', () => {
  const rig = new Rig([team('sewing')], fleet(40))
  const bad = new Set(['t0', 't2', 't4', 't6', 't8'])
  operate(rig, 60_000, (place) => bad.has(place))
  assert.ok(quarantined(rig).length <= 2, `${quarantined(rig).length}`)
  assert.ok(quarantined(rig).length >= 1)
})

test('retries: failed attempts are delayed with jitter and given up after five', () => {
  const rig = new Rig([team('sewing')], fleet(2))
  rig.submit(work('g0-b', { kind: 'batch', count: 1 }))
  const startedAt: number[] = []
  for (let step = 0; step < 600; step += 1) {
    rig.pass(100)
    if (!rig.running.has('g0-b/0')) continue
    startedAt.push(rig.now)
    rig.end('g0-b/0', 'failed', true)
  }
  assert.equal(startedAt.length, 5)
  assert.ok(startedAt[4]! - startedAt[3]! > 800 && startedAt[4]! - startedAt[3]! < 3000, 'the delay grows')
  assert.ok(rig.effects.some((effect) => effect.type === 'give-up' && effect.refusal.reason === 'retries-exhausted'))
})

test('retries: a queue whose work all fails spends its budget, and its retries come no faster than the budget grows', () => {
  const rig = new Rig([team('sewing')], fleet(20))
  rig.submit(...Array.from({ length: 100 }, (_, index) => work(`g0-b${index}`, { kind: 'batch', count: 1 })))
  let starts = 0
  for (let step = 0; step < 200; step += 1) {
    rig.pass(100)
    for (const id of rig.starts()) {
      starts += 1
      rig.end(id, 'failed', true)
    }
  }
  assert.ok(starts <= 100 + 50 + 20 + 1, `${starts} starts in 20 s`)
})

test('retries: a start that the target refused is tried again after a pause', () => {
  const rig = new Rig([team('sewing')], fleet(1))
  rig.submit(work('g0-b', { kind: 'batch', count: 1 }))
  rig.end('g0-b/0', 'not-started', true)
  assert.equal(rig.scheduler.explain('g0-b/0')?.reason, 'retry-delayed')
  rig.pass(1000)
  assert.ok(rig.running.has('g0-b/0'))
})

function report (rig: Rig, factor: number): void {
  for (const [taskId, targetId] of rig.running) {
    rig.send({ type: 'usage-reported', targetId, usage: [{ taskId, resources: { ...amount(1), cpuMillis: 1000 * factor, memoryMiB: 1024 * factor } }] })
  }
}

test('estimates: tasks that use more than declared are booked by their measured peak with margin, so fewer start beside them', () => {
  const rig = new Rig([team('sewing')], fleet(1))
  rig.submit(work('g0-b', { kind: 'batch', count: 2 }))
  report(rig, 4)
  rig.submit(work('g0-c', { kind: 'batch', count: 8 }))
  assert.equal(rig.running.size, 3, 'three bookings of 4400 in 16000')
  const used = rig.scheduler.overview(0).targets[0]!.used
  assert.ok(used.cpuMillis >= 13_200, `${used.cpuMillis}`)
})

test('estimates: bookings fall below the declared size only after ten tasks and only to the set part', () => {
  const cases = [
    { minBookedRatio: 1, measured: 10, factor: 0.1, running: 10 },
    { minBookedRatio: 0.5, measured: 10, factor: 0.1, running: 20 },
    { minBookedRatio: 0.5, measured: 5, factor: 0.1, running: 10 },
    // The measured peak of 500 with its margin is 550.
    { minBookedRatio: 0.2, measured: 10, factor: 0.5, running: 18 }
  ]
  for (const { minBookedRatio, measured, factor, running } of cases) {
    const capacity = { cpuMillis: 10_000, memoryMiB: 65_536, accelerators: 0, slots: 64, connections: 64 }
    const rig = new Rig([team('sewing')], [target('t1', { capacity })], { minBookedRatio })
    rig.submit(work('g0-b', { kind: 'batch', count: measured }))
    report(rig, factor)
    for (const id of rig.starts()) rig.end(id)
    rig.submit(work('g0-c', { kind: 'batch', count: 100 }))
    rig.pass(500)
    assert.equal(rig.running.size, running)
  }
})

test('over-usage: the task above its declared size is throttled first, and evicted only when memory stays overused', () => {
  const rig = new Rig([team('sewing')], fleet(1))
  rig.submit(work('g0-good', { kind: 'batch', count: 1 }, { family: 'good' }), work('g0-bad', { kind: 'batch', count: 1 }, { family: 'bad' }))
  const usage = [
    { taskId: 'g0-good/0', resources: amount(1) },
    { taskId: 'g0-bad/0', resources: { ...amount(1), memoryMiB: 70_000 } }
  ]
  const types = () => rig.effects.flatMap((effect) => effect.type === 'throttle' || effect.type === 'stop' ? [`${effect.type} ${effect.taskId}`] : [])
  rig.send({ type: 'usage-reported', targetId: 't0', usage })
  assert.deepEqual(types(), ['throttle g0-bad/0'])
  rig.pass(6000)
  rig.send({ type: 'usage-reported', targetId: 't0', usage })
  assert.deepEqual(types(), ['throttle g0-bad/0', 'stop g0-bad/0'])
})
