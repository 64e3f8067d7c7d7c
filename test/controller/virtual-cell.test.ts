import assert from 'node:assert/strict'
import { test } from 'node:test'
import type { ProbeResult } from '../../src/adapters/probe-address.ts'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'
import { FURTHER_PORTS } from './virtual-member.ts'

test('virtual cell: without faults one member leads and all jobs end once', async () => {
  const cell = VirtualCell.create(1, { members: 3, targets: 4 })
  try {
    await cell.time.advance(1_000)
    for (let index = 0; index < 20; index += 1) cell.submit(cell.hosts[index % 3]!, `j${index}`, [2, 1], 800)
    await cell.time.advance(15_000)
    cell.history.checkEnds()
    assert.deepEqual(cell.violations, [])
    assert.equal(cell.leaders.length, 1)
    assert.equal(cell.history.starts, 60)
  } finally {
    cell.close()
  }
})

const hostStates: ReadonlyArray<{ readonly state: string, readonly change: (cell: VirtualCell, host: VirtualHost) => void, readonly members: ProbeResult, readonly others: ProbeResult }> = [
  { state: 'runs', change: () => {}, members: 'listening', others: 'listening' },
  { state: 'has paused its process', change: (cell, { process }) => cell.time.pause(process), members: 'listening', others: 'listening' },
  { state: 'refuses members only', change: (_cell, host) => { host.refusesConnections = true }, members: 'refused', others: 'listening' },
  { state: 'has no process', change: (cell, host) => cell.kill(host), members: 'refused', others: 'refused' },
  { state: 'is gone', change: (cell, host) => cell.takeAway(host), members: 'silent', others: 'silent' },
  { state: 'is cut off', change: (_cell, host) => { host.cutFromMembers = true }, members: 'silent', others: 'silent' },
  { state: 'has a process at another address', change: (cell, host) => cell.restart(host, 'm0-2:1'), members: 'refused', others: 'refused' },
  { state: 'is gone and has a process at another address', change: (cell, host) => { cell.takeAway(host); cell.restart(host, 'm0-2:1') }, members: 'silent', others: 'silent' },
  { state: 'was gone and is back', change: (cell, host) => { cell.takeAway(host); cell.restart(host) }, members: 'listening', others: 'listening' }
]

for (const { state, change, members, others } of hostStates) {
  test(`virtual cell: what a connection attempt finds at the address of a host that ${state}`, async () => {
    const cell = VirtualCell.create(1, { members: 2, targets: 1 })
    try {
      await cell.time.advance(1_000)
      const host = cell.hosts[0]!
      const { address } = host
      change(cell, host)
      await cell.time.advance(100)
      assert.deepEqual([address, ...FURTHER_PORTS.map((port) => `m0:${port}`)].map((each) => cell.probe(each)), [members, others, others])
    } finally {
      cell.close()
    }
  })
}
