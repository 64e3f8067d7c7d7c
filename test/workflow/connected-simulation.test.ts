import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { SimulationOptions } from './simulation-options.ts'
import { Simulation } from './simulation.ts'

const FIRST_SEED = 20261204
const VARIANT_SEEDS = 40

const variants: ReadonlyArray<{ readonly contains: string, readonly options: Partial<SimulationOptions> }> = [
  { contains: 'targets that restart, are replaced or go away, connections that end with them, and leaders that follow one another', options: { restarting: true, draining: true, leaving: true, takingOver: true, varied: true } },
  { contains: 'targets that restart, connections that end with them, and late commands', options: { restarting: true, late: true, varied: true, refusing: true } }
]

for (const { contains, options } of variants) {
  // TWICE: the waits for leases on the clock of the life before were what kept tasks of restarted targets from running twice.
  test(`cell: ${VARIANT_SEEDS} random simulations with ${contains} break no rule`, () => {
    for (let seed = FIRST_SEED; seed < FIRST_SEED + VARIANT_SEEDS; seed++) {
      const simulation = Simulation.run(seed, { ...options, connected: true })
      assert.deepEqual(simulation.violations, [])
      assert.deepEqual(simulation.unfinishedJobs, [], `seed ${seed} leaves jobs unfinished`)
      assert.deepEqual(simulation.failedWithoutCause, [], `seed ${seed} gives jobs up`)
    }
  })
}
