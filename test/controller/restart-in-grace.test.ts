import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'

const TASK_MS = 4_000

// TWICE: the successor has read and acknowledged ends on a target; then it restarts, and the leader in its grace takes its runs for lost.
test('restart in grace: guards against the failure that a leader without the store starts tasks again that its successor has seen end', async () => {
  const cell = VirtualCell.create(3, { members: 3, targets: 4 })
  try {
    await cell.time.advance(1_000)
    for (let index = 0; index < 4; index += 1) cell.submit(cell.hosts[0]!, `j${index}`, [3], TASK_MS)
    await cell.time.advance(500)
    const leader = cell.leaders[0]!
    leader.connection.service = 'silent'
    leader.cutFromMembers = true
    // The leader reaches t3 only, its successor all others.
    for (const host of cell.hosts) host.unreachedTargets = new Set(host === leader ? ['t0', 't1', 't2'] : ['t3'])
    await cell.time.advance(3_300)
    assert.ok(cell.leaders.some((host) => host !== leader), 'another member leads')
    // The restarted target is on the leader's side.
    cell.targets.restart(cell.targets.targets.get('t2')!)
    for (const host of cell.hosts) host.unreachedTargets = new Set(host === leader ? ['t0', 't1'] : ['t2', 't3'])
    await cell.time.advance(9_000)
    leader.connection.service = 'served'
    leader.cutFromMembers = false
    for (const host of cell.hosts) host.unreachedTargets = new Set()
    await cell.time.advance(30_000)
    cell.history.checkEnds()
    assert.deepEqual(cell.violations, [])
  } finally {
    cell.close()
  }
})
