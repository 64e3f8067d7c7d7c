import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playLeaderChain } from './leader-chains.ts'
import type { ChainOutcome } from './leader-chains.ts'
import { DEPARTURE_FAULTS, VIRTUAL_FAULTS } from './virtual-faults.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 8)
/** Long tasks that start when the last targets are back end before. */
const END_MS = 110_000

const sets = [
  { what: 'targets that go away and leaders that end one after another', faults: DEPARTURE_FAULTS },
  { what: 'these and all other faults', faults: [...VIRTUAL_FAULTS, ...DEPARTURE_FAULTS] }
]

for (const { what, faults } of sets) {
  const seeds = Array.from({ length: SEEDS }, (_, index) => FIRST_SEED + index)
  const outcomes: Array<ChainOutcome & { readonly seed: number }> = []

  test(`leader departures: guards against the failure that work runs twice, or never ends, after ${what}`, async () => {
    for (const seed of seeds) {
      const outcome = await playLeaderChain(seed, faults, { endMs: END_MS, lateCommandsEndWithTarget: true })
      outcomes.push({ ...outcome, seed })
      assert.deepEqual([outcome.violations, outcome.unfinished], [[], []], `seed ${seed}`)
    }
  })

  // LOST: the chains of leaders required only that jobs end, and no target was gone for longer than some seconds.
  test(`leader departures: guards against the failure that what waits is not started in time after ${what}`, () => {
    assert.equal(outcomes.length, SEEDS)
    assert.deepEqual(outcomes.flatMap(({ seed, delays }) => delays.map((delay) => `seed ${seed}: ${delay}`)), [])
  })
}
