import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'

const SEED = 3
const TARGETS = 6
const TASKS = 12
/** The clocks of targets that restart then are far behind the leases of before. */
const UPTIME_MS = 60_000
const RESTARTED = ['t0', 't1', 't2']
const LONGEST_LEASE_MS = 10_000
const MAX_SUBMISSION_MS = 1_000
const AFTER_MS = 30_000

function restart ({ targets, time }: VirtualCell, id: string, isPublished: boolean): void {
  const target = targets.targets.get(id)!
  if (isPublished) targets.restart(target)
  else target.crash(time.nowMs)
}

/** How the process of the leader ends, and whether the next incarnations of the targets can publish themselves. */
const takeovers = [
  { end: 'moved', entry: 'published' },
  { end: 'same-address', entry: 'published' },
  { end: 'same-address', entry: 'of the incarnation before' }
] as const

for (const { end, entry } of takeovers) {
  // TWICE: a start of a leader that has ended gives the next incarnation of a target a lease of 10 s, up to 12 s after it was sent.
  test(`takeover: guards against the failure that late starts on restarted targets that only the ended leader reached are forgotten too early, leader ${end}, entry ${entry}`, async () => {
    const cell = VirtualCell.create(SEED, { members: 4, targets: TARGETS, longestLeaseMs: LONGEST_LEASE_MS })
    try {
      await cell.time.advance(UPTIME_MS)
      const leader = cell.leaders[0]!
      cell.submitLasting(cell.hosts.find((host) => host !== leader)!, 'lasting', TASKS)
      await cell.time.advance(MAX_SUBMISSION_MS, () => cell.acceptedJobs.size > 0)
      // A target answers just before a start is sent to it, so that only the starts are late.
      cell.targets.lateStartRatio = 1
      await cell.time.advance(60)
      cell.targets.lateStartRatio = 0
      for (const id of RESTARTED) restart(cell, id, entry === 'published')
      for (const host of cell.hosts) host.unreachedTargets = new Set(RESTARTED)
      cell.restart(leader, end === 'moved' ? `${leader.name}-other:1` : leader.address)
      await cell.time.advance(AFTER_MS)
      cell.history.checkEnds()
      assert.deepEqual(cell.violations, [])
    } finally {
      cell.close()
    }
  })
}
