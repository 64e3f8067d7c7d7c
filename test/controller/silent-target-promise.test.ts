import assert from 'node:assert/strict'
import { test } from 'node:test'
import { VirtualCell } from './virtual-cell.ts'
import type { VirtualHost } from './virtual-cell.ts'

const SEEDS = [1, 2]
const MEMBERS = 4
const TARGETS = 4
/** One task on each target. */
const TASKS = 4
const SETTLE_MS = 4_000
/** A leader has read the store and asked the targets this time after its election, in milliseconds. */
const RESTORE_MS = 150
/** The leader has stored a target that answers nothing this time after the cut, in milliseconds. */
const RECORDED_MS = 1_900
const PAUSE_MS = 5_000
const OUTAGE_MS = 12_000
const WATCH_MS = 30_000

/** `cut-off`: the leader reaches neither the store nor the members, so that it goes on. `store-silent`: only the store. */
type LeaderTrouble = 'cut-off' | 'store-silent' | 'paused'

type Case = {
  readonly trouble: LeaderTrouble
  /** From the cut until the leader alone reaches the target again, in milliseconds. */
  readonly backAfterMs: number
  /** From the trouble of the leader until then, in milliseconds. */
  readonly troubleBeforeMs: number
  /** Whether another leader has taken over the record in between. */
  readonly inherited: boolean
}

const cases: readonly Case[] = (['cut-off', 'store-silent', 'paused'] as const).flatMap((trouble) => [1_300, 1_800, 2_400, 3_000, 3_300].flatMap((backAfterMs) => [0, 300].flatMap((troubleBeforeMs) =>
  [false, true].map((inherited) => ({ trouble, backAfterMs, troubleBeforeMs, inherited })))))

async function findLeader (cell: VirtualCell): Promise<VirtualHost> {
  while (cell.leaders[0] === undefined) await cell.time.advance(50)
  return cell.leaders[0]
}

function trouble (cell: VirtualCell, leader: VirtualHost, kind: LeaderTrouble): void {
  if (kind === 'paused') {
    cell.time.pause(leader.process)
    cell.time.schedule(PAUSE_MS, () => cell.time.resume(leader.process))
    return
  }
  leader.connection.service = 'silent'
  leader.cutFromMembers = kind === 'cut-off'
  cell.time.schedule(OUTAGE_MS, () => {
    leader.connection.service = 'served'
    leader.cutFromMembers = false
  })
}

/** Returns what broke a rule, and the tasks without a run at the end. */
async function play (seed: number, { trouble: kind, backAfterMs, troubleBeforeMs, inherited }: Case): Promise<readonly string[]> {
  const cell = VirtualCell.create(seed, { members: MEMBERS, targets: TARGETS })
  try {
    await cell.time.advance(1_000)
    cell.submitLasting(cell.hosts[0]!, 'lasting', TASKS)
    await cell.time.advance(SETTLE_MS)
    const target = cell.targets.targets.get('t0')!
    const cutAt = cell.time.nowMs
    target.unreachableUntil = Infinity
    if (inherited) {
      await cell.time.advance(RECORDED_MS)
      cell.restart(await findLeader(cell))
      await findLeader(cell)
      await cell.time.advance(RESTORE_MS)
    }
    await cell.time.advance(Math.max(0, cutAt + backAfterMs - troubleBeforeMs - cell.time.nowMs))
    const leader = await findLeader(cell)
    for (const host of cell.hosts) host.unreachedTargets = new Set(host === leader ? [] : ['t0'])
    trouble(cell, leader, kind)
    await cell.time.advance(Math.max(0, cutAt + backAfterMs - cell.time.nowMs))
    target.unreachableUntil = 0
    await cell.time.advance(WATCH_MS)
    const running = new Set([...cell.targets.targets.values()].flatMap(({ runs }) => [...runs.keys()]))
    return [...cell.violations, ...(running.size === TASKS ? [] : [`${running.size} tasks run`])]
  } finally {
    cell.close()
  }
}

for (const { trouble: kind, backAfterMs, troubleBeforeMs, inherited } of cases) {
  // TWICE: the next leader counts on a record that this one cannot change any more.
  test(`silent target promise: guards against the failure that a target which comes back gets a lease while a record says that it gets none: after ${backAfterMs} ms, leader ${kind} ${troubleBeforeMs} ms before, ${inherited ? 'record taken over' : 'record its own'}`, async () => {
    for (const seed of SEEDS) assert.deepEqual(await play(seed, { trouble: kind, backAfterMs, troubleBeforeMs, inherited }), [], `seed ${seed}`)
  })
}
