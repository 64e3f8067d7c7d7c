import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playLeaderChain } from './leader-chains.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 12)

test('leader chains: guards against the failure that work runs twice, starts too late, or never ends, after any order of takeovers, late writes and power cuts', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const { violations, unfinished, delays } = await playLeaderChain(seed)
    assert.deepEqual([violations, unfinished, delays], [[], [], []], `seed ${seed}`)
  }
})
