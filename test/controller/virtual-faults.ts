import type { SimulatedTarget } from '../workflow/simulated-target.ts'
import type { VirtualCell, VirtualHost } from './virtual-cell.ts'

const MAX_OUTAGE_MS = 6_000
const MAX_PAUSE_MS = 12_000
/** Longer than the grace of a leader and the lease of its runs. */
const MAX_SPLIT_MS = 14_000
const MAX_POWER_CUT_MS = 9_500
/** Time after a removal by mistake in which the leader refuses connections. */
const REFUSAL_MS = 3_000
/** How long targets that go away stay away at least and at most, in milliseconds. */
const MIN_AWAY_MS = 20_000
const MAX_AWAY_MS = 30_000
/** Targets that restart and then go away do so after this time at least and at most, in milliseconds. */
const MIN_LIFE_MS = 500
const MAX_LIFE_MS = 20_000

/** A disturbance of a cell, which ends by itself. */
export type VirtualFault = { readonly name: string, readonly begin: (cell: VirtualCell) => void }

/** All disturbances; a leader is hit as often as all other members together. */
export const VIRTUAL_FAULTS: readonly VirtualFault[] = [
  { name: 'member killed', begin: (cell) => restartAfterPause(cell, pickHost(cell)) },
  { name: 'member at another address, another at its address', begin: exchangeAddresses },
  { name: 'host gone, member at another address', begin: replaceHost },
  { name: 'member paused', begin: pauseMember },
  { name: 'member stops as planned', begin: stopMember },
  { name: 'power cut', begin: cutPower },
  { name: 'store rejects a member', begin: (cell) => refuseMember(cell, 'rejected') },
  { name: 'store is silent to a member', begin: (cell) => refuseMember(cell, 'silent') },
  { name: 'store down', begin: stopStore },
  { name: 'writes carried out late', begin: (cell) => changeFor(cell, (active) => { cell.store.lateRatio = active ? 0.35 : 0 }) },
  { name: 'responses of the store lost', begin: (cell) => changeFor(cell, (active) => { cell.store.lostRatio = active ? 0.35 : 0 }) },
  { name: 'commands carried out late', begin: (cell) => changeFor(cell, (active) => { cell.targets.lateRatio = active ? 0.3 : 0 }) },
  { name: 'member cut from the others', begin: (cell) => changeHost(cell, 'cutFromMembers') },
  { name: 'member cut from the targets', begin: (cell) => changeHost(cell, 'cutFromTargets') },
  { name: 'member cut off', begin: cutMember },
  { name: 'leader removed by mistake', begin: removeLeader },
  { name: 'targets unreachable', begin: cutTargets },
  { name: 'cell split', begin: splitCell },
  { name: 'cell split, leader removed', begin: (cell) => { splitCell(cell); removeLeader(cell) } },
  { name: 'cell split, leader paused', begin: (cell) => { splitCell(cell); pauseLeader(cell) } },
  { name: 'cell split, claims unanswered', begin: (cell) => { splitCell(cell); changeFor(cell, (active) => { cell.store.lostRatio = active ? 0.6 : 0 }) } }
]

/** Targets that restart under their ids. */
export const TARGET_FAULTS: readonly VirtualFault[] = [
  { name: 'target restarts', begin: (cell) => restartTargets(cell, 1) },
  { name: 'targets restart', begin: (cell) => restartTargets(cell, 3) }
]

/** Targets and hosts that go away for long, and leaders that end again and again. */
export const DEPARTURE_FAULTS: readonly VirtualFault[] = [
  { name: 'targets gone, silent', begin: (cell) => takeTargetsAway(cell, 'silent') },
  { name: 'targets gone, refusing', begin: (cell) => takeTargetsAway(cell, 'refusing') },
  { name: 'targets restart and are gone later', begin: restartAndTakeAway },
  { name: 'leader at another address', begin: (cell) => moveLeader(cell, false) },
  { name: 'leader at another address, silent at its own', begin: (cell) => moveLeader(cell, true) },
  { name: 'leaders end one after another', begin: (cell) => endLeaders(cell, 2 + cell.random.nextInt(3)) }
]

/** Takes up to two targets away; at least half of them stay. */
export function takeTargetsAway (cell: VirtualCell, away: 'silent' | 'refusing', chosen = chooseTargets(cell)): void {
  const { targets, time, random } = cell
  for (const target of chosen) {
    const present = [...targets.targets.values()].filter((other) => other.away === undefined)
    if (target.away !== undefined || 2 * present.length <= targets.targets.size + 1) continue
    targets.takeAway(target, away)
    time.schedule(MIN_AWAY_MS + random.nextInt(MAX_AWAY_MS - MIN_AWAY_MS), () => targets.bringBack(target))
  }
}

function restartAndTakeAway (cell: VirtualCell): void {
  const { targets, time, random } = cell
  const chosen = chooseTargets(cell).filter(({ away }) => away === undefined)
  for (const target of chosen) targets.restart(target)
  time.schedule(MIN_LIFE_MS + random.nextInt(MAX_LIFE_MS - MIN_LIFE_MS), () => takeTargetsAway(cell, random.nextInt(2) === 0 ? 'silent' : 'refusing', chosen))
}

/** One or two targets. */
export function chooseTargets ({ targets, random }: VirtualCell): readonly SimulatedTarget[] {
  const all = [...targets.targets.values()]
  return Array.from({ length: 1 + random.nextInt(2) }, () => all[random.nextInt(all.length)]!)
}

/** The leader ends, and its host starts another process at another address. */
function moveLeader (cell: VirtualCell, isSilent: boolean): void {
  const leader = cell.leaders[0]
  if (leader === undefined) return
  if (isSilent) cell.takeAway(leader)
  else cell.kill(leader)
  cell.time.schedule(cell.random.nextInt(1_000), () => {
    if (leader.process.state === 'ended') cell.restart(leader, `${leader.name}-${Math.round(cell.time.nowMs)}:1`)
  })
}

/** Leaders end one after another, 2 to 8 s apart unless told otherwise. */
export function endLeaders (cell: VirtualCell, count: number, apartMs: () => number = () => 2_000 + cell.random.nextInt(6_000)): void {
  const kind = cell.random.nextInt(3)
  if (kind === 0 && cell.leaders[0] !== undefined) cell.restart(cell.leaders[0])
  else moveLeader(cell, kind === 1)
  if (count > 1) cell.time.schedule(apartMs(), () => endLeaders(cell, count - 1, apartMs))
}

function restartTargets (cell: VirtualCell, count: number): void {
  const targets = [...cell.targets.targets.values()].filter(({ away }) => away === undefined)
  for (let index = 0; index < count; index += 1) cell.targets.restart(targets[cell.random.nextInt(targets.length)]!)
}

function pickHost (cell: VirtualCell): VirtualHost {
  const { leaders, hosts, random } = cell
  const candidates = leaders.length > 0 && random.next() < 0.5 ? leaders : hosts
  return candidates[random.nextInt(candidates.length)]!
}

function changeFor (cell: VirtualCell, change: (active: boolean) => void): void {
  change(true)
  cell.time.schedule(500 + cell.random.nextInt(MAX_OUTAGE_MS), () => change(false))
}

function changeHost (cell: VirtualCell, flag: 'cutFromMembers' | 'cutFromTargets' | 'refusesConnections'): void {
  const host = pickHost(cell)
  changeFor(cell, (active) => { host[flag] = active })
}

function restartAfterPause (cell: VirtualCell, host: VirtualHost): void {
  cell.kill(host)
  cell.time.schedule(cell.random.nextInt(4_000), () => {
    if (host.process.state === 'ended') cell.restart(host)
  })
}

/** A member starts again at a new address, and another one at the address that it had. */
function exchangeAddresses (cell: VirtualCell): void {
  const { hosts, random } = cell
  const first = pickHost(cell)
  const second = hosts[random.nextInt(hosts.length)]!
  if (first === second) return
  cell.kill(first)
  cell.kill(second)
  const { address } = first
  cell.time.schedule(random.nextInt(2_000), () => {
    cell.restart(first, `${first.name}-${Math.round(cell.time.nowMs)}:1`)
    // Another exchange may have given the address away meanwhile.
    cell.time.schedule(random.nextInt(2_000), () => cell.restart(second, cell.isFree(address) ? address : second.address))
  })
}

/** A host goes away for good: nothing responds at its address. Its member starts again on another host. */
function replaceHost (cell: VirtualCell): void {
  const host = pickHost(cell)
  cell.takeAway(host)
  host.address = `${host.name}-${Math.round(cell.time.nowMs)}:1`
  cell.time.schedule(cell.random.nextInt(2_000), () => cell.restart(host))
}

function pauseMember (cell: VirtualCell): void {
  pause(cell, pickHost(cell))
}

function pauseLeader (cell: VirtualCell): void {
  if (cell.leaders[0] !== undefined) pause(cell, cell.leaders[0])
}

function pause (cell: VirtualCell, { process }: VirtualHost): void {
  cell.time.pause(process)
  cell.time.schedule(300 + cell.random.nextInt(MAX_PAUSE_MS), () => cell.time.resume(process))
}

/** The leader and some targets reach neither the store nor the other members, for longer than its successor may wait. */
function splitCell (cell: VirtualCell): void {
  const leader = cell.leaders[0]
  if (leader === undefined) return
  const { connection } = leader
  const targets = [...cell.targets.targets.keys()]
  const besideLeader = new Set(targets.filter(() => cell.random.nextInt(2) === 0))
  const besideOthers = new Set(targets.filter((target) => !besideLeader.has(target)))
  const split = (active: boolean): void => {
    connection.service = active ? 'silent' : 'served'
    leader.cutFromMembers = active
    for (const host of cell.hosts) host.unreachedTargets = active ? (host === leader ? besideOthers : besideLeader) : new Set()
  }
  split(true)
  cell.time.schedule(2_000 + cell.random.nextInt(MAX_SPLIT_MS), () => split(false))
}

function stopMember (cell: VirtualCell): void {
  const host = pickHost(cell)
  const { process } = host
  cell.time.schedule(0, () => { host.member.leadership.resign().catch(() => {}) }, process)
  cell.time.schedule(500, () => {
    if (host.process === process) restartAfterPause(cell, host)
  })
}

/** All members end and start again at the same time; nobody remembers anything. */
function cutPower (cell: VirtualCell): void {
  for (const host of cell.hosts) cell.kill(host)
  cell.time.schedule(100 + cell.random.nextInt(MAX_POWER_CUT_MS), () => {
    for (const host of cell.hosts) cell.restart(host)
  })
}

function refuseMember (cell: VirtualCell, service: 'rejected' | 'silent'): void {
  const host = pickHost(cell)
  const { connection } = host
  changeFor(cell, (active) => { connection.service = active ? service : 'served' })
}

function stopStore (cell: VirtualCell): void {
  const service = cell.random.nextInt(2) === 0 ? 'rejected' : 'silent'
  changeFor(cell, (active) => { cell.store.service = active ? service : 'served' })
}

/** A member reaches nothing but, sometimes, the targets. */
function cutMember (cell: VirtualCell): void {
  const host = pickHost(cell)
  const { connection } = host
  const cutsTargets = cell.random.nextInt(2) === 0
  changeFor(cell, (active) => {
    connection.service = active ? 'silent' : 'served'
    host.cutFromMembers = active
    host.cutFromTargets = active && cutsTargets
  })
}

/** Others take the leader for ended, because it refuses connections; sometimes it has lost the store too. */
function removeLeader (cell: VirtualCell): void {
  const leader = cell.leaders[0]
  const record = cell.hosts.map(({ member }) => member.leadership.leader).find((known) => known !== undefined && known.member === leader?.name)
  const remover = cell.hosts.find((host) => host !== leader && host.process.state === 'running')
  if (leader === undefined || record === undefined || remover === undefined) return
  const { connection } = leader
  leader.refusesConnections = true
  if (cell.random.nextInt(2) === 0) connection.service = 'silent'
  cell.time.schedule(0, () => { remover.member.leadership.removeEndedLeader(record).catch(() => {}) }, remover.process)
  cell.time.schedule(cell.random.nextInt(REFUSAL_MS), () => { leader.refusesConnections = false })
  cell.time.schedule(cell.random.nextInt(2 * MAX_OUTAGE_MS), () => { connection.service = 'served' })
}

function cutTargets (cell: VirtualCell): void {
  for (const target of cell.targets.targets.values()) {
    if (cell.random.nextInt(3) === 0) target.unreachableUntil = cell.time.nowMs + cell.random.nextInt(MAX_OUTAGE_MS)
  }
}
