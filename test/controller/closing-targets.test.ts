import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playLeaderChain } from './leader-chains.ts'
import type { ChainOutcome } from './leader-chains.ts'
import { DEPARTURE_FAULTS, VIRTUAL_FAULTS } from './virtual-faults.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 8)
/** Long tasks that start when the last targets are back end before. */
const END_MS = 110_000
/** Half of the targets of a chain. */
const CLOSING_IDS = new Set(['t0', 't2', 't4'])

const outcomes: Array<ChainOutcome & { readonly seed: number }> = []

// TWICE: no simulation had a target that is marked, whose commands may reach a later incarnation.
test('closing targets: guards against the failure that work runs twice, or never ends, in chains of leaders beside targets that close their connections', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
    const outcome = await playLeaderChain(seed, [...VIRTUAL_FAULTS, ...DEPARTURE_FAULTS], { endMs: END_MS, lateCommandsEndWithTarget: true, closingIds: CLOSING_IDS })
    outcomes.push({ ...outcome, seed })
  }
  assert.ok(outcomes.every(({ cell }) => cell.logs.some(({ message }) => message === 'target-unbound')), 'no target is marked')
  assert.deepEqual(outcomes.flatMap(({ seed, violations, unfinished }) => [...violations, ...unfinished].map((text) => `seed ${seed}: ${text}`)), [])
})

// LOST: beside targets that are marked, each takeover may wait for the longest lease.
test('closing targets: guards against the failure that what waits is not started in time in chains of leaders beside targets that close their connections', () => {
  assert.equal(outcomes.length, SEEDS)
  assert.deepEqual(outcomes.flatMap(({ seed, delays }) => delays.map((delay) => `seed ${seed}: ${delay}`)), [])
})
