import assert from 'node:assert/strict'
import { test } from 'node:test'
import { STEP } from '../workflow/harness.ts'
import { VirtualCell } from './virtual-cell.ts'
import { TARGET_PREFIX } from './virtual-member.ts'

const TARGET_IDS = ['t0', 't1', 't2', 't3']
const JOBS = 6
/** Tasks that progress often enough not to count as stuck. */
const LONG_STEP = { ...STEP, count: 3, estimatedMs: 100_000 }
const MAX_DURATION_MS = 200_000
const SETTLING_MS = 4_000
/** A target without a heartbeat is withdrawn after this time. */
const WITHDRAWN_AFTER_MS = 4_500
const KILLED_AFTER_MS = 200
const SAMPLE_MS = 100
const MAX_WAIT_MS = 30_000
const SEED = 2

/** Targets that are gone for good: some time after a restart under their ids, or without one (`undefined`). */
type Case = { readonly title: string, readonly restartedMsBefore: number | undefined, readonly leaderKilled: boolean, readonly maxWaitMs: number }

const cases: readonly Case[] = [
  { title: 'gone', restartedMsBefore: undefined, leaderKilled: false, maxWaitMs: 4_000 },
  { title: 'gone, and the leader is killed', restartedMsBefore: undefined, leaderKilled: true, maxWaitMs: 4_700 },
  { title: 'gone 0.5 s after a restart', restartedMsBefore: 500, leaderKilled: false, maxWaitMs: 300 },
  { title: 'gone 3 s after a restart', restartedMsBefore: 3_000, leaderKilled: false, maxWaitMs: 300 },
  { title: 'gone 8 s after a restart', restartedMsBefore: 8_000, leaderKilled: false, maxWaitMs: 300 },
  { title: 'gone 0.5 s after a restart, and the leader is killed', restartedMsBefore: 500, leaderKilled: true, maxWaitMs: 1_000 },
  { title: 'gone 3 s after a restart, and the leader is killed', restartedMsBefore: 3_000, leaderKilled: true, maxWaitMs: 1_000 },
  { title: 'gone 8 s after a restart, and the leader is killed', restartedMsBefore: 8_000, leaderKilled: true, maxWaitMs: 4_700 }
]

/** Lets a third of the targets restart and go away, and returns how many tasks ran there, and how long they wait. */
async function play (cell: VirtualCell, { restartedMsBefore, leaderKilled }: Case): Promise<{ readonly tasks: number, readonly waitMs: number }> {
  const targets = TARGET_IDS.map((id) => cell.targets.targets.get(id)!)
  await cell.time.advance(1_500)
  for (let index = 0; index < JOBS; index += 1) cell.submit(cell.hosts[0]!, `j${index}`, [], MAX_DURATION_MS, { steps: [LONG_STEP] })
  await cell.time.advance(SETTLING_MS)
  const tasks = targets.flatMap(({ runs }) => [...runs.keys()])
  if (restartedMsBefore !== undefined) {
    for (const target of targets) cell.targets.restart(target)
    await cell.time.advance(restartedMsBefore)
  }
  const goneAt = cell.time.nowMs
  for (const target of targets) {
    target.leave()
    cell.history.recordLapse(target.id)
    cell.time.schedule(WITHDRAWN_AFTER_MS, () => cell.store.remove(`${TARGET_PREFIX}${target.id}`))
  }
  await cell.time.advance(KILLED_AFTER_MS)
  if (leaderKilled) killLeader(cell)
  while (!isSettled(cell, tasks) && cell.time.nowMs - goneAt < MAX_WAIT_MS) await cell.time.advance(SAMPLE_MS)
  return { tasks: tasks.length, waitMs: Math.round(cell.time.nowMs - goneAt) }
}

function killLeader (cell: VirtualCell): void {
  const leader = cell.leaders[0]!
  cell.kill(leader)
  cell.time.schedule(300, () => cell.restart(leader))
}

/** Whether all these tasks run or are done, under a leader that holds nothing back for runs of earlier ones. */
function isSettled (cell: VirtualCell, tasks: readonly string[]): boolean {
  const won = cell.logs.findLastIndex(({ message }) => message === 'leadership-won')
  const settled = cell.logs.findLastIndex(({ message }) => message === 'earlier-runs-settled')
  return cell.leaders.length === 1 && settled > won && tasks.every((task) => cell.targets.lastRuns.find(task)?.end === 'done' || [...cell.targets.targets.values()].some(({ runs }) => runs.has(task)))
}

for (const goneCase of cases) {
  // LOST: tasks waited for up to 22 s for the leases of a target that had restarted, and 11 s with a takeover.
  test(`restarted targets: guards against the failure that tasks wait too long for targets that are ${goneCase.title}`, async () => {
    const cell = VirtualCell.create(SEED, { members: 3, targets: 12 })
    try {
      const { tasks, waitMs } = await play(cell, goneCase)
      assert.ok(tasks > 0)
      assert.ok(waitMs <= goneCase.maxWaitMs, `${waitMs} ms`)
      cell.history.checkEnds()
      assert.deepEqual(cell.violations, [])
    } finally {
      cell.close()
    }
  })
}
