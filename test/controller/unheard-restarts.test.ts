import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LEADER_ENDS, playRestarts } from './restart-bounds.ts'
import type { TargetEnd } from './restart-bounds.ts'

/** The longest leases of the targets of two deployments, in milliseconds. */
const LONGEST_LEASES_MS = [10_000, 6_000]
/** They have restarted, and are gone before any leader has heard from them since. */
const TARGET: TargetEnd = { away: 'silent', restartedBeforeMs: 50 }

for (const { name, end, isBasic } of LEADER_ENDS) {
  for (const longestLeaseMs of isBasic === true ? LONGEST_LEASES_MS : LONGEST_LEASES_MS.slice(0, 1)) {
    // LOST: tasks that last waited 11.5 s for leases of 10 s that no command can have given.
    test(`unheard restarts: guards against the failure that tasks that last start too late beside targets that are gone before they have answered: ${name}, longest lease ${longestLeaseMs / 1_000} s`, async (context) => {
      const { violations, longest: { task, gapMs, allowedMs }, unstarted } = await playRestarts({ target: TARGET, leader: end, longestLeaseMs })
      context.diagnostic(`${(gapMs / 1_000).toFixed(1)} s without a run, allowed ${(allowedMs / 1_000).toFixed(1)} s`)
      assert.deepEqual(violations, [])
      assert.equal(unstarted, 0)
      assert.ok(gapMs <= allowedMs, `${task} had no run for ${Math.round(gapMs)} ms, ${Math.round(allowedMs)} ms allowed`)
    })
  }
}
