import assert from 'node:assert/strict'
import { test } from 'node:test'
import { playRestarts } from './restart-bounds.ts'
import type { LeaderEnd, TargetEnd } from './restart-bounds.ts'

/** The longest leases of the targets of two deployments, in milliseconds. */
const LONGEST_LEASE_MS = 10_000
const SHORTER_LEASE_MS = 6_000

const targets: ReadonlyArray<{ readonly name: string, readonly end: TargetEnd }> = [
  { name: 'target silent', end: { away: 'silent' } },
  { name: 'target refusing', end: { away: 'refusing' } },
  ...[50, 500, 2_000, 5_000, 8_000, 12_000, 20_000].map((restartedBeforeMs) => ({ name: `target restarted and silent after ${restartedBeforeMs / 1_000} s`, end: { away: 'silent', restartedBeforeMs } as const }))
]

const leaders: ReadonlyArray<{ readonly name: string, readonly end: LeaderEnd | undefined, /** Whether its rows are played with both longest leases where they matter. */ readonly isBasic?: boolean }> = [
  { name: 'leader stays', end: undefined, isBasic: true },
  { name: 'leader killed, same address', end: { times: 1, then: 'same-address' }, isBasic: true },
  { name: 'leader killed, host silent', end: { times: 1, then: 'silent' }, isBasic: true },
  { name: 'leader killed, host refusing', end: { times: 1, then: 'refusing' } },
  { name: 'leader killed, host closing connections', end: { times: 1, then: 'closing' } },
  { name: 'leader paused for 4 s', end: { times: 1, then: 'paused', pauseMs: 4_000 } },
  { name: 'leader paused for 20 s', end: { times: 1, then: 'paused', pauseMs: 20_000 } },
  { name: 'leader killed, other address', end: { times: 1, then: 'other-address' } },
  ...[2, 4, 8].flatMap((times) => [
    { name: `leader killed ${times} times, same address`, end: { times, then: 'same-address' } as const },
    { name: `leader killed ${times} times, other address`, end: { times, then: 'other-address' } as const }
  ]),
  { name: 'leader killed 4 times, other address, old ones silent', end: { times: 4, then: 'other-address-silent' } },
  { name: 'leader killed, and the next one at its election, other addresses, old ones silent', end: { times: 2, then: 'other-address-silent', intervalMs: 0 } }
]

const rows = targets.flatMap((target) => leaders.flatMap((leader) => {
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
