import assert from 'node:assert/strict'
import { test } from 'node:test'
import { LEADER_ENDS, playRestarts } from './restart-bounds.ts'
import type { TargetEnd } from './restart-bounds.ts'

/** The longest leases of the targets of two deployments, in milliseconds. */
const LONGEST_LEASE_MS = 10_000
const SHORTER_LEASE_MS = 6_000

const targets: ReadonlyArray<{ readonly name: string, readonly end: TargetEnd }> = [
  { name: 'target silent', end: { away: 'silent' } },
  { name: 'target refusing', end: { away: 'refusing' } },
  ...[500, 2_000, 5_000, 8_000, 12_000, 20_000].map((restartedBeforeMs) => ({ name: `target restarted and silent after ${restartedBeforeMs / 1_000} s`, end: { away: 'silent', restartedBeforeMs } as const }))
]

const rows = targets.flatMap((target) => LEADER_ENDS.flatMap((leader) => {
  const usesBoth = leader.isBasic === true && target.end.restartedBeforeMs !== undefined
  return (usesBoth ? [LONGEST_LEASE_MS, SHORTER_LEASE_MS] : [LONGEST_LEASE_MS]).map((longestLeaseMs) => ({ target, leader, longestLeaseMs }))
}))

for (const { target, leader, longestLeaseMs } of rows) {
  // LOST: after a target had ended, its tasks that last waited for bounds that were safe, and longer than the rule allows.
  test(`restart bounds: guards against the failure that tasks that last start too late: ${target.name}, ${leader.name}, longest lease ${longestLeaseMs / 1_000} s`, async (context) => {
    const { violations, longest, unstarted } = await playRestarts({ target: target.end, leader: leader.end, longestLeaseMs })
    const { gapMs, allowedMs, sinceDisturbanceMs } = longest
    context.diagnostic(`${formatSeconds(gapMs)} without a run, ${formatSeconds(sinceDisturbanceMs)} after the last disturbance, allowed ${formatSeconds(allowedMs)}`)
    assert.deepEqual(violations, [])
    assert.equal(unstarted, 0)
    assert.ok(gapMs <= allowedMs, `${longest.task} had no run for ${Math.round(gapMs)} ms, ${Math.round(allowedMs)} ms allowed`)
  })
}

function formatSeconds (timeMs: number): string {
  return `${(timeMs / 1_000).toFixed(1)} s`
}
