import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playRestarts } from './restart-bounds.ts'
import type { LeaderEnd, TargetEnd } from './restart-bounds.ts'

/** How long a task that lasts may be without a run after its target has ended, however many leaders follow one another. */
const MAX_WAIT_MS = 9_000
const LONGEST_LEASE_MS = 10_000

const aways: readonly TargetEnd['away'][] = ['silent', 'refusing']
const ends: ReadonlyArray<Exclude<LeaderEnd['then'], 'paused'>> = ['same-address', 'other-address', 'planned']

const rows = aways.flatMap((away) => ends.flatMap((then) => [1, 2, 4, 8].flatMap((times) => [2_000, 3_000, 5_000].map((intervalMs) => ({ away, then, times, intervalMs })))))

for (const { away, then, times, intervalMs } of rows) {
  // LOST: each new leader waited for the leases on a target that it had never reached, nor the leader before, anew.
  test(`silent targets: guards against the failure that the wait beside a target that is gone begins anew with each leader: target ${away}, ${times} leaders, ${intervalMs / 1_000} s apart, ${then}`, async (context) => {
    const { violations, longest, unstarted } = await playRestarts({ target: { away }, leader: { times, then, intervalMs }, longestLeaseMs: LONGEST_LEASE_MS })
    context.diagnostic(`${Math.round(longest.gapMs)} ms without a run`)
    assert.deepEqual([violations, unstarted], [[], 0])
    assert.ok(longest.gapMs <= MAX_WAIT_MS, `${longest.task} had no run for ${Math.round(longest.gapMs)} ms`)
  })
}
