import assert from 'node:assert/strict'
import { test } from 'node:test'
import { STEP } from '../workflow/harness.ts'
import type { SimulatedTarget } from '../workflow/simulated-target.ts'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'

const SEED = 5
const TARGETS = 5
const DEAD_TARGETS = 2
const JOBS = 5
/** Tasks do not end within the test. */
const TASK_MS = 1_000_000_000
const POLL_MS = 50
const TIMEOUT_MS = 60_000
const ELECTION_TIMEOUT_MS = 10_000
const AFTER_MS = 20_000

/** `moved`: its process starts again at another address. `gone`: so it does, and nothing responds at the address before. */
type End = 'moved' | 'gone'

type Takeovers = {
  readonly guards: string
  /** How each leader ends: the first 0.2 s after the targets died, the others some time after their election. */
  readonly ends: readonly End[]
  readonly apartMs: number
  /** Time from the end of the last leader until the tasks of the dead targets run again, in milliseconds. */
  readonly maxWaitMs: number
}

const takeovers: readonly Takeovers[] = [
  { guards: 'a leader whose process has ended is waited for because it never answers', ends: ['moved'], apartMs: 0, maxWaitMs: 6_000 },
  { guards: 'several leaders whose processes have ended are waited for because they never answer', ends: ['moved', 'moved', 'moved'], apartMs: 2_500, maxWaitMs: 6_000 },
  { guards: 'a leader that is gone is waited for again by each leader that follows', ends: ['gone', 'moved', 'moved', 'moved'], apartMs: 3_000, maxWaitMs: 7_000 }
]

function endLeader (cell: VirtualCell, leader: VirtualHost, end: End): void {
  if (end === 'gone') cell.takeAway(leader)
  cell.restart(leader, `${leader.name}-${Math.round(cell.time.nowMs)}:1`)
}

function submitJobs (cell: VirtualCell): void {
  const steps = [{ ...STEP, count: 2, estimatedMs: TASK_MS }]
  for (let index = 0; index < JOBS; index += 1) cell.submit(cell.hosts[0]!, `j${index}`, [], TASK_MS, { steps })
}

/** Two targets with tasks. */
function pickTargets (cell: VirtualCell): readonly SimulatedTarget[] {
  const busy = [...cell.targets.targets.values()].filter(({ runs }) => runs.size > 0)
  assert.ok(busy.length > DEAD_TARGETS, `${busy.length} targets have tasks`)
  return busy.slice(0, DEAD_TARGETS)
}

/** Returns the tasks that ran on the targets. */
function killTargets (cell: VirtualCell): readonly string[] {
  return pickTargets(cell).flatMap((target) => {
    const tasks = [...target.runs.keys()]
    target.crash(cell.time.nowMs)
    target.unreachableUntil = Infinity
    return tasks
  })
}

function runsAgain (cell: VirtualCell, task: string): boolean {
  return [...cell.targets.targets.values()].some(({ runs }) => runs.has(task))
}

// LOST: tasks that last stayed without a run for as long as leaders were killed every few seconds, and 11.6 s more.
for (const { guards, ends, apartMs, maxWaitMs } of takeovers) {
  test(`dead targets: guards against the failure that ${guards}, while tasks of a dead target have no run`, async () => {
    const cell = VirtualCell.create(SEED, { members: 4, targets: TARGETS })
    try {
      await cell.time.advance(1_000)
      submitJobs(cell)
      await cell.time.advance(3_000)
      const tasks = killTargets(cell)
      await cell.time.advance(200)
      for (const [index, end] of ends.entries()) {
        if (index > 0) await cell.time.advance(apartMs)
        endLeader(cell, cell.leaders[0]!, end)
        if (index < ends.length - 1) await cell.time.advance(ELECTION_TIMEOUT_MS, () => cell.leaders.length > 0)
      }
      const endedAt = cell.time.nowMs
      while (!tasks.every((task) => runsAgain(cell, task)) && cell.time.nowMs < endedAt + TIMEOUT_MS) await cell.time.advance(POLL_MS)
      const waitMs = cell.time.nowMs - endedAt
      await cell.time.advance(AFTER_MS)
      cell.history.checkEnds()
      assert.deepEqual(cell.violations, [])
      assert.ok(waitMs <= maxWaitMs, `${Math.round(waitMs)} ms in place of ${maxWaitMs} ms`)
    } finally {
      cell.close()
    }
  })
}

// TWICE: the leader runs on, refuses connections at the port for members, and keeps a target that nobody else reaches.
test('dead targets: guards against the failure that a leader that refuses connections of members and runs on is taken for ended', async () => {
  const cell = VirtualCell.create(SEED, { members: 3, targets: TARGETS })
  try {
    await cell.time.advance(1_000)
    submitJobs(cell)
    await cell.time.advance(3_000)
    const leader = cell.leaders[0]!
    leader.refusesConnections = true
    leader.connection.service = 'silent'
    const besideLeader = new Set(pickTargets(cell).map(({ id }) => id))
    for (const host of cell.hosts) host.unreachedTargets = host === leader ? new Set() : besideLeader
    await cell.time.advance(20_000)
    assert.ok(cell.leaders.some((host) => host !== leader), 'another member leads')
    assert.ok(cell.logs.some(({ message }) => message === 'earlier-leader-silent'))
    cell.history.checkEnds()
    assert.deepEqual(cell.violations, [])
  } finally {
    cell.close()
  }
})
