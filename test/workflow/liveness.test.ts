import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { SimulationOptions } from './simulation-options.ts'
import { Simulation } from './simulation.ts'

const FIRST_SEED = Number(process.env.SEED ?? 20261206)
const SEEDS = Number(process.env.SEEDS ?? 12)

const variants: ReadonlyArray<{ readonly beside: string, readonly options: Partial<SimulationOptions> }> = [
  { beside: 'lost responses, crashes and new leaders', options: {} },
  { beside: 'targets that are drained and replaced', options: { draining: true } },
  { beside: 'tasks that crash their targets', options: { crashing: true } },
  { beside: 'targets that crash in series', options: { restless: true } },
  { beside: 'targets that shrink', options: { shrinking: true } },
  { beside: 'repeated jobs and slow clocks', options: { varied: true, slow: true } },
  { beside: 'targets that restart under their ids', options: { restarting: true, varied: true, refusing: true } },
  { beside: 'late commands and list requests', options: { late: true, varied: true } },
  { beside: 'leaders that follow one another', options: { takingOver: true } },
  { beside: 'targets that go away', options: { leaving: true } },
  { beside: 'targets that go away and leaders that follow one another', options: { leaving: true, takingOver: true } },
  { beside: 'targets that go away or restart', options: { leaving: true, restarting: true } }
]

for (const { beside, options } of variants) {
  const seeds = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index)
  const simulations: Array<readonly [number, Simulation]> = []

  test(`liveness: beside ${beside}, simulations with tasks that last break no other rule`, () => {
    for (const seed of seeds) {
      const simulation = Simulation.run(seed, { ...options, lasting: true })
      simulations.push([seed, simulation])
      assert.deepEqual(simulation.violations, [])
      assert.deepEqual(simulation.unfinishedJobs, [], `seed ${seed} leaves jobs unfinished`)
      assert.deepEqual(simulation.failedWithoutCause, [], `seed ${seed} gives jobs up`)
    }
  })

  // LOST: the simulations required only that jobs end, so that any wait in between was good enough.
  test(`liveness: beside ${beside}, guards against the failure that what waits is not started in time`, () => {
    assert.equal(simulations.length, SEEDS)
    assert.deepEqual(simulations.flatMap(([seed, { delays }]) => delays.map((delay) => `seed ${seed}: ${delay}`)), [])
  })
}
