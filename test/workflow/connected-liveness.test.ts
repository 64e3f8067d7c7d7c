import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { SimulationOptions } from './simulation-options.ts'
import { Simulation } from './simulation.ts'

const FIRST_SEED = Number(process.env.SEED ?? 20261206)
const SEEDS = Number(process.env.SEEDS ?? 12)

/** Each command goes over a connection that ends with its target, so that no lease is measured on the clock of another life. */
const variants: ReadonlyArray<{ readonly beside: string, readonly options: Partial<SimulationOptions> }> = [
  { beside: 'targets that restart under their ids', options: { restarting: true, varied: true, refusing: true } },
  { beside: 'targets that restart and late commands', options: { restarting: true, late: true, varied: true } },
  { beside: 'targets that go away', options: { leaving: true } },
  { beside: 'targets that go away and leaders that follow one another', options: { leaving: true, takingOver: true } },
  { beside: 'targets that go away or restart', options: { leaving: true, restarting: true } },
  { beside: 'targets that go away or restart and leaders that follow one another', options: { leaving: true, restarting: true, takingOver: true } },
  { beside: 'targets that are replaced, go away or restart', options: { draining: true, leaving: true, restarting: true } }
]

for (const { beside, options } of variants) {
  const seeds = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index)
  const simulations: Array<readonly [number, Simulation]> = []

  test(`connected liveness: beside ${beside}, simulations with tasks that last break no other rule`, () => {
    for (const seed of seeds) {
      const simulation = Simulation.run(seed, { ...options, connected: true, lasting: true })
      simulations.push([seed, simulation])
      assert.deepEqual(simulation.violations, [])
      assert.deepEqual(simulation.unfinishedJobs, [], `seed ${seed} leaves jobs unfinished`)
      assert.deepEqual(simulation.failedWithoutCause, [], `seed ${seed} gives jobs up`)
    }
  })

  // LOST: tasks waited 10.3 s beside targets that had restarted and gone away, for leases that no command can have given.
  test(`connected liveness: beside ${beside}, guards against the failure that what waits is not started in time`, () => {
    assert.equal(simulations.length, SEEDS)
    assert.deepEqual(simulations.flatMap(([seed, { delays }]) => delays.map((delay) => `seed ${seed}: ${delay}`)), [])
  })
}
