import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'
import { TARGET_PREFIX } from './virtual-member.ts'

const TASK_MS = 15_000
const CUT_MS = 5_000
const SEEDS = 12

/** The starts on t0 are carried out 2 to 12 s late; t0 is cut off and starts again under its id after 5 s. */
async function play (seed: number, isForgotten: boolean): Promise<readonly string[]> {
  const cell = VirtualCell.create(seed, { members: 2, targets: 4 })
  try {
    await cell.time.advance(1_000)
    const target = cell.targets.targets.get('t0')!
    cell.targets.lateRatio = 0.5
    for (let index = 0; index < 4; index += 1) cell.submit(cell.hosts[0]!, `j${index}`, [2], TASK_MS)
    await cell.time.advance(200)
    cell.targets.lateRatio = 0
    target.unreachableUntil = cell.time.nowMs + CUT_MS
    if (isForgotten) cell.store.remove(`${TARGET_PREFIX}t0`)
    await cell.time.advance(CUT_MS)
    cell.targets.restart(target)
    await cell.time.advance(3 * TASK_MS)
    cell.history.checkEnds()
    return cell.violations
  } finally {
    cell.close()
  }
}

const restarts = [
  { guards: 'a target that starts again under its id runs tasks twice', isForgotten: false },
  { guards: 'a target whose entry was removed before it starts again under its id runs tasks twice', isForgotten: true }
]

for (const { guards, isForgotten } of restarts) {
  // TWICE: a late start reaches the next life of a target, which knows neither the run nor a term.
  test(`forgotten target: guards against the failure that ${guards}`, async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) assert.deepEqual(await play(seed, isForgotten), [], `seed ${seed}`)
  })
}
