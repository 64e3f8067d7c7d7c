import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playLeaderChain } from './leader-chains.ts'
import type { ChainOutcome } from './leader-chains.ts'
import { SILENT_TARGET_FAULTS } from './silent-target-faults.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 8)
/** Long tasks that start when the last targets are back end before. */
const END_MS = 110_000

const outcomes: Array<ChainOutcome & { readonly seed: number }> = []

// TWICE: a task that runs on a target which is cut off must not start elsewhere while a lease there, whoever gave it, goes on.
test('silent target chains: guards against the failure that a task starts again while a lease on a silent target goes on, or never ends', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const outcome = await playLeaderChain(seed, SILENT_TARGET_FAULTS, { endMs: END_MS })
    outcomes.push({ ...outcome, seed })
    assert.deepEqual([outcome.violations, outcome.unfinished], [[], []], `seed ${seed}`)
  }
})
