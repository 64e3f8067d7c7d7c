import assert from 'node:assert/strict'
import { test } from 'node:test'
import { assertNever } from '../../src/util/assert-never.ts'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'
import type { Service } from './virtual-store.ts'

const SETTLE_MS = 4_000
/** Less than the grace of a leader, by the longest call to the store. */
const OUTAGE_MS = 7_000
/** When other members end, from the beginning of the outage, in milliseconds. */
const END_AFTER_MS = 1_500
const AFTER_MS = 15_000
const TARGETS = 4

type Outage = {
  readonly members: number
  readonly store: Service
  /** How many of the witnesses end while the store is down. */
  readonly ended: number
  /** What becomes of them. */
  readonly then: 'gone' | 'restarted'
  /** Whether the leader goes on all the while. */
  readonly goesOn: boolean
}

const outages: readonly Outage[] = [
  ...[1, 2, 3, 4, 7].flatMap((members) => [
    { members, store: 'silent', ended: 0, then: 'gone', goesOn: true },
    { members, store: 'rejected', ended: 0, then: 'gone', goesOn: true }
  ] as const),
  { members: 4, store: 'silent', ended: 1, then: 'gone', goesOn: true },
  { members: 4, store: 'silent', ended: 1, then: 'restarted', goesOn: true },
  { members: 6, store: 'silent', ended: 2, then: 'gone', goesOn: true },
  // More than half of the witnesses have to be there: a leader that goes on without them might have a successor.
  { members: 2, store: 'silent', ended: 1, then: 'gone', goesOn: false },
  { members: 3, store: 'silent', ended: 1, then: 'restarted', goesOn: false },
  { members: 4, store: 'silent', ended: 2, then: 'gone', goesOn: false }
]

function endWitness (cell: VirtualCell, host: VirtualHost, then: Outage['then']): void {
  switch (then) {
    case 'gone': return cell.takeAway(host)
    case 'restarted': return cell.restart(host)
    default: return assertNever(then)
  }
}

/** Returns how many tasks that last were started again, and how often commands were withheld. */
async function playOutage ({ members, store, ended, then }: Outage): Promise<{ readonly violations: readonly string[], readonly restarted: number, readonly withheld: number }> {
  const cell = VirtualCell.create(11, { members, targets: TARGETS, longestLeaseMs: 10_000 })
  try {
    await cell.time.advance(1_000)
    cell.submitLasting(cell.hosts[0]!, 'lasting', TARGETS)
    await cell.time.advance(SETTLE_MS)
    const leader = cell.leaders[0]!
    cell.store.service = store
    await cell.time.advance(END_AFTER_MS)
    for (const host of cell.hosts.filter((other) => other !== leader).slice(0, ended)) endWitness(cell, host, then)
    await cell.time.advance(OUTAGE_MS - END_AFTER_MS)
    assert.deepEqual(cell.leaders, [leader], 'nobody can claim without the store')
    cell.store.service = 'served'
    await cell.time.advance(AFTER_MS)
    const withheld = cell.logs.filter(({ message }) => message === 'commands-withheld').length
    return { violations: cell.violations, restarted: cell.targets.lastRuns.gaps.length, withheld }
  } finally {
    cell.close()
  }
}

for (const outage of outages) {
  const { members, store, ended, then, goesOn } = outage
  const name = `${members} members, store ${store}${ended > 0 ? `, ${ended} others ${then}` : ''}`

  // A leader whose witnesses confirm its term goes on while the store is down, so that no run lapses.
  test(`store outage: guards against the failure that a leader ${goesOn ? 'gives up what it can go on with' : 'goes on without enough witnesses'}: ${name}`, async (context) => {
    const { violations, restarted, withheld } = await playOutage(outage)
    context.diagnostic(`${restarted} of ${TARGETS} tasks started again`)
    assert.deepEqual(violations, [])
    assert.equal(withheld > 0, !goesOn, `${withheld} times withheld`)
    if (goesOn) assert.equal(restarted, 0, 'tasks that were started again')
  })
}
