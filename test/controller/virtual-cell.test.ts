import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'

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
