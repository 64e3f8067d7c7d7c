import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'

const TASK_MS = 25_000
const JOBS = 6
const SETTLE_MS = 4_000
/** Longer than the grace of a leader and the leases of its runs. */
const PARTED_MS = 16_000
const AFTER_MS = 35_000

/** `besideLeader`: how many other members are on the leader's side, which does not reach the store. */
type Parting = { readonly members: number, readonly besideLeader: number, readonly links: VirtualCell['linksBetweenSides'] }

const partings: readonly Parting[] = [
  ...[2, 3, 4, 6].flatMap((members) => Array.from({ length: members - 1 }, (_, besideLeader) => ({ members, besideLeader, links: 'silent' } as const))),
  { members: 2, besideLeader: 0, links: 'refusing' },
  { members: 3, besideLeader: 0, links: 'refusing' },
  { members: 3, besideLeader: 1, links: 'refusing' },
  { members: 4, besideLeader: 1, links: 'refusing' },
  { members: 4, besideLeader: 2, links: 'refusing' },
  { members: 6, besideLeader: 2, links: 'refusing' },
  { members: 6, besideLeader: 3, links: 'refusing' }
]

function part ({ hosts, targets }: VirtualCell, leaderName: string, besideLeader: number): void {
  const others = hosts.filter(({ name }) => name !== leaderName)
  const ids = [...targets.targets.keys()]
  for (const host of hosts) {
    const isBesideLeader = host.name === leaderName || others.indexOf(host) < besideLeader
    host.side = isBesideLeader ? 1 : 0
    host.connection.service = isBesideLeader ? 'silent' : 'served'
    host.unreachedTargets = new Set(ids.filter((_, index) => (index < ids.length / 2) !== isBesideLeader))
  }
}

function join ({ hosts }: VirtualCell): void {
  for (const host of hosts) {
    host.side = 0
    host.connection.service = 'served'
    host.unreachedTargets = new Set()
  }
}

for (const { members, besideLeader, links } of partings) {
  // TWICE: both sides have members that confirm, and only one side has the store.
  test(`parted cell: guards against the failure that the leader and a successor on the other side both work: ${besideLeader} of ${members - 1} others beside the leader, links ${links}`, async () => {
    for (let seed = 1; seed <= 3; seed += 1) {
      const cell = VirtualCell.create(seed, { members, targets: 4, longestLeaseMs: 10_000 })
      try {
        await cell.time.advance(1_000)
        cell.submitLasting(cell.hosts[0]!, 'lasting', 4)
        for (let index = 0; index < JOBS; index += 1) cell.submit(cell.hosts[index % members]!, `j${index}`, [2], TASK_MS)
        await cell.time.advance(SETTLE_MS)
        const leader = cell.leaders[0]!
        cell.linksBetweenSides = links
        part(cell, leader.name, besideLeader)
        await cell.time.advance(PARTED_MS)
        assert.ok(cell.leaders.some((host) => host !== leader), 'another member leads')
        join(cell)
        await cell.time.advance(AFTER_MS)
        cell.history.checkEnds()
        assert.deepEqual(cell.violations, [], `seed ${seed}`)
      } finally {
        cell.close()
      }
    }
  })
}
