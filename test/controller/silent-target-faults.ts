import { chooseTargets, endLeaders, takeTargetsAway } from './virtual-faults.ts'
import type { VirtualFault } from './virtual-faults.ts'
import type { VirtualCell } from './virtual-cell.ts'

const MIN_CUT_MS = 500
const MAX_CUT_MS = 12_000
const MIN_APART_MS = 500
const MAX_APART_MS = 5_000
const MAX_STORE_OUTAGE_MS = 3_000
const MAX_PAUSE_MS = 9_000
const MAX_LEADERS = 6
/** Long enough to be stored, and shorter than a lease. */
const MIN_STORED_CUT_MS = 1_700
const MAX_STORED_CUT_MS = 3_400
const MAX_ISOLATED_BEFORE_MS = 500

/** Rows of leaders beside targets that answer nobody, or some members only, for a shorter or a longer time than their leases. */
export const SILENT_TARGET_FAULTS: readonly VirtualFault[] = [
  { name: 'targets gone, leaders end', begin: (cell) => { takeTargetsAway(cell, cell.random.nextInt(2) === 0 ? 'silent' : 'refusing'); endRow(cell) } },
  { name: 'targets cut off, leaders end', begin: (cell) => { cutTargets(cell); endRow(cell) } },
  { name: 'targets cut from some members, leaders end', begin: (cell) => { cutWays(cell); endRow(cell) } },
  { name: 'targets restart behind a cut, leaders end', begin: (cell) => { restartBehindCut(cell); endRow(cell) } },
  { name: 'targets cut off, store silent when they are back', begin: cutTargetsAndStore },
  { name: 'targets back for a leader alone that is cut off', begin: isolateLeader },
  { name: 'targets cut off, leader paused', begin: (cell) => { cutTargets(cell); pauseLeader(cell) } },
  { name: 'targets cut off, writes carried out late', begin: (cell) => { cutTargets(cell); delayWrites(cell); endRow(cell) } }
]

function endRow (cell: VirtualCell): void {
  const { random, time } = cell
  time.schedule(random.nextInt(MAX_APART_MS), () => endLeaders(cell, 1 + random.nextInt(MAX_LEADERS), () => MIN_APART_MS + random.nextInt(MAX_APART_MS - MIN_APART_MS)))
}

function drawCutMs ({ random }: VirtualCell): number {
  return MIN_CUT_MS + random.nextInt(MAX_CUT_MS - MIN_CUT_MS)
}

function cutTargets (cell: VirtualCell, cutMs = drawCutMs(cell)): void {
  for (const target of chooseTargets(cell)) target.unreachableUntil = cell.time.nowMs + cutMs
}

/** Some members do not reach the targets, so that a leader that does goes on giving leases there. */
function cutWays (cell: VirtualCell): void {
  const ids = new Set(chooseTargets(cell).map(({ id }) => id))
  for (const host of cell.hosts) {
    if (cell.random.nextInt(2) === 0) continue
    host.unreachedTargets = ids
    cell.time.schedule(drawCutMs(cell), () => { host.unreachedTargets = new Set() })
  }
}

function restartBehindCut (cell: VirtualCell): void {
  const { random, targets, time } = cell
  const cutMs = drawCutMs(cell)
  for (const target of chooseTargets(cell)) {
    target.unreachableUntil = time.nowMs + cutMs
    time.schedule(random.nextInt(cutMs), () => { if (target.away === undefined) targets.restart(target) })
  }
}

function cutTargetsAndStore (cell: VirtualCell): void {
  const { random, store, time } = cell
  const cutMs = drawCutMs(cell)
  cutTargets(cell, cutMs)
  time.schedule(Math.max(0, cutMs - random.nextInt(MAX_STORE_OUTAGE_MS)), () => {
    store.service = 'silent'
    time.schedule(random.nextInt(MAX_STORE_OUTAGE_MS), () => { store.service = 'served' })
  })
}

/** The leader reaches neither the store nor the members when the targets come back, and they come back to it alone. */
function isolateLeader (cell: VirtualCell): void {
  const { hosts, random, time } = cell
  const cutMs = MIN_STORED_CUT_MS + random.nextInt(MAX_STORED_CUT_MS - MIN_STORED_CUT_MS)
  const chosen = chooseTargets(cell)
  const ids = new Set(chosen.map(({ id }) => id))
  for (const target of chosen) target.unreachableUntil = time.nowMs + cutMs
  time.schedule(cutMs - random.nextInt(MAX_ISOLATED_BEFORE_MS), () => {
    const leader = cell.leaders[0]
    if (leader === undefined) return
    const { connection } = leader
    connection.service = 'silent'
    leader.cutFromMembers = random.nextInt(2) === 0
    for (const host of hosts) host.unreachedTargets = host === leader ? new Set() : ids
    time.schedule(drawCutMs(cell), () => {
      connection.service = 'served'
      leader.cutFromMembers = false
      for (const host of hosts) host.unreachedTargets = new Set()
    })
  })
}

function pauseLeader (cell: VirtualCell): void {
  const { random, time } = cell
  time.schedule(random.nextInt(MAX_APART_MS), () => {
    const leader = cell.leaders[0]
    if (leader === undefined) return
    const { process } = leader
    time.pause(process)
    time.schedule(random.nextInt(MAX_PAUSE_MS), () => { if (process.state === 'paused') time.resume(process) })
  })
}

function delayWrites (cell: VirtualCell): void {
  cell.store.lateRatio = 0.35
  cell.time.schedule(drawCutMs(cell), () => { cell.store.lateRatio = 0 })
}
