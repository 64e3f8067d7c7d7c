import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'

const SPLIT_MS = 12_000
const TASK_MS = 15_000

// The leader and two targets are cut off from the store, the other members and the other targets, for longer than its grace.
test('split cell: guards against the failure that a leader without the store starts again what its successor keeps running', async () => {
  const cell = VirtualCell.create(3, { members: 3, targets: 4 })
  try {
    await cell.time.advance(1_000)
    for (let index = 0; index < 4; index += 1) cell.submit(cell.hosts[0]!, `j${index}`, [3], TASK_MS)
    await cell.time.advance(1_000)
    const leader = cell.leaders[0]!
    leader.connection.service = 'silent'
    leader.cutFromMembers = true
    for (const host of cell.hosts) host.unreachedTargets = new Set(host === leader ? ['t2', 't3'] : ['t0', 't1'])
    await cell.time.advance(SPLIT_MS)
    assert.ok(cell.leaders.some((host) => host !== leader), 'another member leads')
    leader.connection.service = 'served'
    leader.cutFromMembers = false
    for (const host of cell.hosts) host.unreachedTargets = new Set()
    await cell.time.advance(2 * TASK_MS)
    cell.history.checkEnds()
    assert.deepEqual(cell.violations, [])
    assert.deepEqual([...cell.acceptedJobs].map((id) => cell.store.readPhase(id)), Array.from({ length: 4 }, () => 'completed'))
  } finally {
    cell.close()
  }
})
