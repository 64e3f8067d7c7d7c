import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'

const MAX_ELECTION_MS = 5_000
const STEP_MS = 20
const SETTLE_MS = 3_000
/** Longer than the grace of a leader and the leases of its runs. */
const CUT_MS = 14_000
const AFTER_MS = 20_000

/**
 * `linksFirst`: whether its links refuse connections from its election on. `afterMs`: when it is cut off from the store and from half
 * of the targets, in milliseconds after its election.
 */
type Cut = { readonly linksFirst: boolean, readonly afterMs: number }

const cuts: readonly Cut[] = [
  { linksFirst: false, afterMs: 0 },
  { linksFirst: false, afterMs: 300 },
  { linksFirst: true, afterMs: 0 },
  { linksFirst: true, afterMs: 500 }
]

async function waitForLeader (cell: VirtualCell): Promise<VirtualHost> {
  for (let waitedMs = 0; waitedMs < MAX_ELECTION_MS && cell.leaders.length === 0; waitedMs += STEP_MS) await cell.time.advance(STEP_MS)
  return cell.leaders[0]!
}

/** Lets a new leader reach half of the targets only, which only it reaches, and neither the store nor the members. */
function cutLeader ({ hosts }: VirtualCell, leader: VirtualHost): void {
  leader.connection.service = 'silent'
  leader.linksToMembers = 'refusing'
  for (const host of hosts) host.unreachedTargets = new Set(host === leader ? ['t2', 't3'] : ['t0', 't1'])
}

for (const { afterMs, linksFirst } of cuts) {
  // TWICE: a refused connection counted as the end of a leader that had no witnesses on record.
  test(`living leader: guards against the failure that a new leader without witnesses, behind links that refuse, works beside its successor: cut off after ${afterMs} ms${linksFirst ? ', its links from the beginning' : ''}`, async (context) => {
    const cell = VirtualCell.create(5, { members: 4, targets: 4, longestLeaseMs: 10_000 })
    try {
      await cell.time.advance(1_000)
      cell.submitLasting(cell.hosts[0]!, 'lasting', 8)
      await cell.time.advance(SETTLE_MS)
      cell.kill(cell.leaders[0]!)
      const leader = await waitForLeader(cell)
      if (linksFirst) leader.linksToMembers = 'refusing'
      await cell.time.advance(afterMs)
      context.diagnostic(`witnesses chosen: ${cell.logs.filter(({ member, message }) => member === leader.name && message === 'witnesses-chosen').length}`)
      cutLeader(cell, leader)
      await cell.time.advance(CUT_MS)
      leader.connection.service = 'served'
      leader.linksToMembers = 'open'
      for (const host of cell.hosts) host.unreachedTargets = new Set()
      await cell.time.advance(AFTER_MS)
      assert.deepEqual(cell.violations, [])
    } finally {
      cell.close()
    }
  })
}
