import assert from 'node:assert/strict'
import { test } from 'node:test'
import { err } from 'neverthrow'
import { SILENT_TARGETS_KEY } from '../../src/controller/records/store-keys.ts'
import type { StoreCall } from '../../src/ports/store.ts'
import { VirtualCell } from './virtual-cell.ts'

const SETTLE_MS = 3_000
const SILENCE_MS = 1_800
const BOUND_MS = 9_000

/** Lets the store refuse all transactions that write the record of silent targets. */
function refuseRecord (cell: VirtualCell): void {
  for (const { connection } of cell.hosts) {
    const call = connection.call.bind(connection)
    connection.call = async (request: StoreCall) => request.type === 'transact' && request.puts.some(({ key }) => key === SILENT_TARGETS_KEY) ? err({ reason: 'unavailable', verdict: 'not-applied' }) : await call(request)
  }
}

async function create (): Promise<VirtualCell> {
  const cell = VirtualCell.create(3, { members: 3, targets: 3 })
  await cell.time.advance(1_000)
  cell.submitLasting(cell.hosts[0]!, 'lasting', 3)
  await cell.time.advance(SETTLE_MS)
  return cell
}

// LOST: a promise that is never stored was never taken back.
test('refused silent targets: guards against the failure that a target which answers again gets no lease for good', async () => {
  const cell = await create()
  try {
    refuseRecord(cell)
    const target = cell.targets.targets.get('t0')!
    target.unreachableUntil = cell.time.nowMs + SILENCE_MS
    await cell.time.advance(SILENCE_MS + BOUND_MS)
    for (const id of ['t1', 't2']) cell.targets.targets.get(id)!.unreachableUntil = Infinity
    await cell.time.advance(BOUND_MS)
    assert.deepEqual(cell.violations, [])
    assert.ok(target.runs.size > 0, 'the target has no run')
  } finally {
    cell.close()
  }
})

// LOST: a record that is refused must not hold up those of jobs.
test('refused silent targets: guards against the failure that jobs are stored too late beside a target that is silent', async () => {
  const cell = await create()
  try {
    refuseRecord(cell)
    cell.targets.targets.get('t0')!.unreachableUntil = Infinity
    await cell.time.advance(2_000)
    for (let index = 0; index < 10; index += 1) {
      cell.submit(cell.hosts[1]!, `j${index}`, [1], 200)
      await cell.time.advance(500)
    }
    await cell.time.advance(2_000)
    const open = [...Array(10).keys()].filter((index) => cell.store.readPhase(`j${index}`) !== 'completed')
    assert.deepEqual(open, [])
  } finally {
    cell.close()
  }
})

// LOST: the claim repeats the record, so that nobody could lead.
test('refused silent targets: guards against the failure that a store which refuses the record leaves the cell without a leader', async () => {
  const cell = await create()
  try {
    cell.targets.targets.get('t0')!.unreachableUntil = Infinity
    await cell.time.advance(2_000)
    refuseRecord(cell)
    cell.kill(cell.leaders[0]!)
    await cell.time.advance(BOUND_MS)
    assert.equal(cell.leaders.length, 1)
  } finally {
    cell.close()
  }
})
