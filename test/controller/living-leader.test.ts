import assert from 'node:assert/strict'
import { test } from 'node:test'
import { CONFIRMATION_PERMITS_MS, RENEWAL_PERMITS_MS } from '../../src/controller/leadership/witnesses.ts'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'
import type { Service } from './virtual-store.ts'

const TASK_MS = 25_000
const JOBS = 6
const SETTLE_MS = 3_000
/** Longer than the grace of a leader and the leases of its runs. */
const CUT_MS = 14_000
const AFTER_MS = 35_000
/** Interval at which a leader checks whether it may send commands, in milliseconds. */
const TICK_MS = 50
/** How long a target keeps runs after the last command on the slowest clock, in milliseconds. */
const LEASE_MS = 3_600

type Links = 'silent' | VirtualHost['linksToMembers']

/** `outageMs`: how long the store answers nobody before the leader is cut off, so that its witnesses permit its commands. */
type Cut = { readonly links: Links, readonly store: Service, readonly outageMs: number }

const cuts: readonly Cut[] = (['silent', 'refusing', 'closing'] as const).flatMap((links) => [
  { links, store: 'silent', outageMs: 0 },
  { links, store: 'rejected', outageMs: 0 },
  { links, store: 'silent', outageMs: 1_200 }
] as const)

function cutLeader ({ hosts }: VirtualCell, leader: VirtualHost, links: Links, store: Service): void {
  leader.connection.service = store
  leader.cutFromMembers = links === 'silent'
  leader.linksToMembers = links === 'silent' ? 'open' : links
  for (const host of hosts) host.unreachedTargets = new Set(host === leader ? ['t2', 't3'] : ['t0', 't1'])
}

function heal ({ hosts }: VirtualCell, leader: VirtualHost): void {
  leader.connection.service = 'served'
  leader.cutFromMembers = false
  leader.linksToMembers = 'open'
  for (const host of hosts) host.unreachedTargets = new Set()
}

/** Returns until when the targets that only the leader reaches have had runs, after it was cut off. */
async function playCut ({ links, store, outageMs }: Cut): Promise<{ readonly violations: readonly string[], readonly ranOnMs: number, readonly successors: number }> {
  const cell = VirtualCell.create(5, { members: 4, targets: 4, longestLeaseMs: 10_000 })
  try {
    await cell.time.advance(1_000)
    cell.submitLasting(cell.hosts[0]!, 'lasting', 4)
    for (let index = 0; index < JOBS; index += 1) cell.submit(cell.hosts[index % 4]!, `j${index}`, [2], TASK_MS)
    await cell.time.advance(SETTLE_MS)
    const leader = cell.leaders[0]!
    if (outageMs > 0) cell.store.service = 'silent'
    await cell.time.advance(outageMs)
    cutLeader(cell, leader, links, store)
    cell.store.service = 'served'
    const cutAt = cell.time.nowMs
    const besideLeader = ['t0', 't1'].map((id) => cell.targets.targets.get(id)!)
    await cell.time.advance(CUT_MS, () => {
      for (const target of besideLeader) target.completeDueRuns(cell.time.nowMs)
      return besideLeader.every(({ runs }) => runs.size === 0)
    })
    const ranOnMs = cell.time.nowMs - cutAt
    await cell.time.advance(CUT_MS - ranOnMs)
    const successors = cell.leaders.filter((host) => host !== leader).length
    heal(cell, leader)
    await cell.time.advance(AFTER_MS)
    cell.history.checkEnds()
    return { violations: cell.violations, ranOnMs, successors }
  } finally {
    cell.close()
  }
}

for (const cut of cuts) {
  const { links, store, outageMs } = cut
  const name = `links ${links}, store ${store}${outageMs > 0 ? `, after an outage of ${outageMs} ms` : ''}`

  // TWICE: a host that refused connections at all ports of a member counted as one whose process had ended.
  test(`living leader: guards against the failure that a leader which only its targets reach works beside its successor: ${name}`, async (context) => {
    const { violations, ranOnMs, successors } = await playCut(cut)
    context.diagnostic(`its runs ended ${(ranOnMs / 1_000).toFixed(1)} s after it was cut off`)
    assert.deepEqual(violations, [])
    assert.equal(successors, 1)
    const permittedMs = Math.max(RENEWAL_PERMITS_MS, CONFIRMATION_PERMITS_MS) + TICK_MS
    assert.ok(ranOnMs <= permittedMs + LEASE_MS, `its runs went on for ${Math.round(ranOnMs)} ms`)
  })
}
