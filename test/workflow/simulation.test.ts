import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Simulation } from './simulation.ts'

const FIRST_SEED = 20261204
const SEEDS = 60

test(`cell: ${SEEDS} random simulations with delayed commands, lost responses, unreachable and crashed targets, cancellations and new leaders break no rule`, () => {
  const faults: Record<string, number> = {}
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const simulation = Simulation.run(seed)
    assert.deepEqual(simulation.violations, [])
    assert.deepEqual(simulation.unfinishedJobs, [], `seed ${seed} leaves jobs unfinished`)
    for (const [fault, count] of Object.entries(simulation.faults)) faults[fault] = (faults[fault] ?? 0) + count
  }
  for (const [fault, count] of Object.entries(faults)) assert.ok(count >= SEEDS, `too few faults of type ${fault}: ${count}`)
})

test(`cell: ${SEEDS} random simulations in which targets are also drained, leave and are replaced break no rule`, () => {
  let drained = 0
  let takeovers = 0
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const simulation = Simulation.run(seed, { draining: true })
    assert.deepEqual(simulation.violations, [])
    assert.deepEqual(simulation.unfinishedJobs, [], `seed ${seed} leaves jobs unfinished`)
    drained += simulation.drains.targets
    takeovers += simulation.drains.takeoversWithClosedTargets
  }
  assert.ok(drained >= 5 * SEEDS, `too few drained targets: ${drained}`)
  assert.ok(takeovers >= SEEDS / 2, `too few takeovers while targets were closed: ${takeovers}`)
})
