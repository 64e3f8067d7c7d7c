import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { JobMemory } from '../../src/workflow/held-jobs.ts'
import { playLeaderChain } from './leader-chains.ts'

const FIRST_SEED = Number(process.env.SEED ?? 1)
const SEEDS = Number(process.env.SEEDS ?? 6)

/** Long enough for jobs that are done a few at a time; their outcomes are not stored for much longer. */
const END_MS = 140_000

/** In each, a job of the chain takes 2,700 to 13,000 bytes by the estimate. */
const MEMORIES: ReadonlyArray<{ readonly name: string, readonly memory: JobMemory }> = [
  { name: 'all jobs are large, and there is room for some', memory: { maxBytes: 60_000, maxLargeBytes: 40_000, largeJobBytes: 1_000 } },
  { name: 'some jobs are large', memory: { maxBytes: 200_000, maxLargeBytes: 30_000, largeJobBytes: 4_000 } },
  { name: 'no job is large, and there is room for some', memory: { maxBytes: 60_000, maxLargeBytes: 30_000, largeJobBytes: 1_000_000 } }
]

// Jobs beyond the leader's memory stay in the store, also those that an earlier leader has started.
for (const { name, memory } of MEMORIES) {
  test(`deferred jobs: guards against the failure that their work runs twice or never, in chains of leaders, ${name}`, async () => {
    let deferred = 0
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
      const { violations, unfinished, cell } = await playLeaderChain(seed, undefined, { jobMemory: memory, endMs: END_MS })
      deferred += cell.logs.filter(({ message }) => message === 'job-deferred').length
      assert.deepEqual([violations, unfinished], [[], []], `seed ${seed}`)
    }
    assert.ok(deferred >= 10 * SEEDS, `${deferred} deferred jobs`)
  })
}
