import assert from 'node:assert/strict'
import { test } from 'node:test'
import { buildJob } from '../workflow/harness.ts'
import { VirtualCell } from './virtual-cell.ts'
import { VirtualLiveness } from './virtual-liveness.ts'

const SETTLE_MS = 2_000
const WATCH_MS = 30_000

/** A job that counts as accepted, and that no member knows. */
const UNKNOWN_JOB = buildJob('unknown', { longRunning: true })

const cases: ReadonlyArray<{ readonly what: string, readonly arrange: (cell: VirtualCell) => void, readonly expected: number }> = [
  { what: 'a task that never starts', arrange: () => {}, expected: 1 },
  { what: 'a task that never starts beside a target that is gone', arrange: (cell) => cell.targets.takeAway(cell.targets.targets.get('t0')!, 'silent'), expected: 1 },
  { what: 'a task that never starts after a host has gone', arrange: (cell) => cell.takeAway(cell.hosts[0]!), expected: 1 },
  { what: 'a cancelled task', arrange: (cell) => { cell.cancelledJobs.add(UNKNOWN_JOB.id) }, expected: 0 },
  { what: 'a task where all targets are gone', arrange: (cell) => { for (const target of cell.targets.targets.values()) cell.targets.takeAway(target, 'refusing') }, expected: 0 },
  { what: 'a task in a cell without a process', arrange: (cell) => { for (const host of cell.hosts) cell.kill(host) }, expected: 0 },
  { what: 'a task beside a paused member', arrange: (cell) => cell.time.pause(cell.hosts[0]!.process), expected: 0 },
  { what: 'a task beside a member that is cut off', arrange: (cell) => { cell.hosts[0]!.cutFromMembers = true }, expected: 0 },
  { what: 'a task beside a target that is cut off', arrange: (cell) => { cell.targets.targets.get('t0')!.unreachableUntil = SETTLE_MS + WATCH_MS + 1 }, expected: 0 },
  { what: 'a task while the store is down', arrange: (cell) => { cell.store.service = 'silent' }, expected: 0 },
  { what: 'a task while the store rejects a member', arrange: (cell) => { cell.hosts[0]!.connection.service = 'rejected' }, expected: 0 },
  { what: 'a task while commands are carried out late', arrange: (cell) => { cell.targets.lateRatio = 0.1 }, expected: 0 }
]

for (const { what, arrange, expected } of cases) {
  test(`virtual liveness: ${expected === 0 ? 'excuses' : 'reports'} ${what}`, async () => {
    const cell = VirtualCell.create(1, { members: 2, targets: 2 })
    try {
      await cell.time.advance(SETTLE_MS)
      cell.acceptances.push({ definition: UNKNOWN_JOB, acceptedAt: cell.time.nowMs })
      arrange(cell)
      const liveness = VirtualLiveness.start(cell)
      await cell.time.advance(WATCH_MS)
      assert.equal(liveness.finish().length, expected)
    } finally {
      cell.close()
    }
  })
}

// The check must see that the product starts again what it can, before it may say that something was not.
test('virtual liveness: reports nothing where a target goes away and its tasks start elsewhere', async () => {
  const cell = VirtualCell.create(1, { members: 2, targets: 3 })
  try {
    const liveness = VirtualLiveness.start(cell)
    await cell.time.advance(SETTLE_MS)
    cell.submitLasting(cell.hosts[0]!, 'lasting', 3)
    await cell.time.advance(SETTLE_MS)
    cell.targets.takeAway(cell.targets.targets.get('t0')!, 'silent')
    await cell.time.advance(WATCH_MS)
    assert.deepEqual([liveness.finish(), cell.targets.lastRuns.gaps.length], [[], 1])
  } finally {
    cell.close()
  }
})
