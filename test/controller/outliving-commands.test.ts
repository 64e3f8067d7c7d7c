import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playLeaderChain } from './leader-chains.ts'
import type { ChainOutcome } from './leader-chains.ts'
import { DEPARTURE_FAULTS, VIRTUAL_FAULTS } from './virtual-faults.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 8)
/** Long tasks that start when the last targets are back end before. */
const END_MS = 110_000
/** No page allows for commands that outlive the incarnation that has received them; what stands in between may hold them up as long. */
const OPTIONS = { endMs: END_MS, lateCommandsEndWithTarget: false }

const outcomes: Array<ChainOutcome & { readonly seed: number }> = []

// TWICE: a start of an earlier term was carried out by the next incarnation of its target, which knows neither the run nor a term.
test('outliving commands: guards against the failure that work runs twice, or never ends, after all faults and late commands that the next incarnation carries out', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const outcome = await playLeaderChain(seed, [...VIRTUAL_FAULTS, ...DEPARTURE_FAULTS], OPTIONS)
    outcomes.push({ ...outcome, seed })
  }
  assert.deepEqual(outcomes.flatMap(({ seed, violations, unfinished }) => [...violations, ...unfinished].map((text) => `seed ${seed}: ${text}`)), [])
})

// LOST: the chains of leaders required only that jobs end, and no target was gone for longer than some seconds.
test('outliving commands: guards against the failure that what waits is not started in time after all faults and late commands that the next incarnation carries out', () => {
  assert.equal(outcomes.length, SEEDS)
  assert.deepEqual(outcomes.flatMap(({ seed, delays }) => delays.map((delay) => `seed ${seed}: ${delay}`)), [])
})
