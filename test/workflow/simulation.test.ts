import assert from 'node:assert/strict'
import { test } from 'node:test'
import { Simulation } from './simulation.ts'

const FIRST_SEED = 20261204
const SEEDS = 60

test(`cell: ${SEEDS} random days with late orders, lost answers, silent and crashed targets, cancellations and new leaders keep the rules`, () => {
  const faults: Record<string, number> = {}
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
    const simulation = Simulation.play(seed)
    assert.deepEqual(simulation.breaches, [])
    assert.deepEqual(simulation.unfinished, [], `seed ${seed} leaves jobs unfinished`)
    for (const [fault, count] of Object.entries(simulation.faults)) faults[fault] = (faults[fault] ?? 0) + count
  }
  for (const [fault, count] of Object.entries(faults)) assert.ok(count >= SEEDS, `too few ${fault} to tell anything: ${count}`)
})
