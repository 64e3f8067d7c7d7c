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
