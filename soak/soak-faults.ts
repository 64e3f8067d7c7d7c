import { setTimeout as wait } from 'node:timers/promises'
import { NO_DELAY } from '../platform/standin/worker-server.ts'
import type { WorkerDelay } from '../platform/standin/worker-server.ts'
import { assertNever } from '../src/util/assert-never.ts'
import { Random } from '../src/util/random.ts'
import type { LoopbackProxy } from './loopback-proxy.ts'
import type { LinkState } from './proxied-stream.ts'
import type { SoakCell } from './soak-cell.ts'
import type { CutState } from './soak-worker.ts'
import { STORE_TROUBLES, troubleStore } from './store-trouble.ts'
import type { StoreTrouble } from './store-trouble.ts'

/** A fault that is caused from outside the member processes. Several faults may overlap. */
export type SoakFault =
  | { readonly type: 'kill' | 'terminate', readonly member: number }
  | { readonly type: 'pause', readonly member: number, readonly forMs: number }
  | { readonly type: 'kill-all' | 'terminate-all' }
  /** The members are away for a while and start at the same time. */
  | { readonly type: 'power-cut', readonly members: readonly number[], readonly forMs: number }
  /** The member starts again at another address. */
  | { readonly type: 'replace' | 'replace-planned', readonly member: number }
  | { readonly type: 'store', readonly mode: 'busy' | 'silent' | 'reset', readonly pausesLeases: boolean, readonly forMs: number }
  /** Watches hear nothing for a while. Then the history is discarded and they must read again. */
  | { readonly type: 'store-compact' }
  | { readonly type: 'store-answers-lost', readonly count: number }
  | { readonly type: 'store-link', readonly member: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-link', readonly worker: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'advisor-link', readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-crash', readonly worker: number }
  /** Some workers are cut off from the members and the store; with `reborn` they crash behind the cut. */
  | { readonly type: 'workers-cut', readonly cut: WorkersCut, readonly forMs: number }
  | { readonly type: 'workers-flap', readonly workers: readonly number[], readonly reborn: boolean, readonly forMs: number }
  /** Some workers drain for a while and leave for good, and new ones join. */
  | { readonly type: 'workers-drain', readonly workers: readonly number[], readonly forMs: number }
  | { readonly type: 'late-orders', readonly share: number, readonly forMs: number }
  | { readonly type: 'domain-out', readonly domain: string, readonly forMs: number }
  | { readonly type: 'configuration' }
  | { readonly type: 'stutter', readonly members: 'all' | 'leader', readonly runMs: number, readonly pauseMs: number, readonly forMs: number }
  | { readonly type: 'slow-workers', readonly delay: WorkerDelay, readonly forMs: number }
  /** The current leader fails, and after a while the store too, so that the members take over during its trouble. */
  | Takeover

type Takeover = {
  readonly type: 'takeover'
  readonly leader: LeaderFailure
  readonly afterMs: number
  readonly trouble: StoreTrouble
  readonly delay: WorkerDelay
  /** The workers that are cut off meanwhile. */
  readonly cut: WorkersCut
  /** Ratio of the calls to workers that are carried out late meanwhile. */
  readonly lateOrders: number
  readonly forMs: number
  readonly seed: number
}

type WorkersCut = { readonly workers: readonly number[], readonly state: CutState, readonly reborn: boolean }

type LeaderFailure = 'kill' | 'terminate' | 'power' | 'replace' | 'replace-planned' | 'pause' | 'cut' | 'hold' | 'none'

const LINK_STATES: readonly LinkState[] = ['slow', 'held', 'held', 'silent', 'one-way', 'reset']
const STORE_MODES = ['busy', 'silent', 'reset'] as const
const LEADER_FAILURES: readonly LeaderFailure[] = ['kill', 'terminate', 'power', 'replace', 'replace-planned', 'pause', 'cut', 'hold', 'none']
/** Faults that are planned work: requests must be answered during these. */
const PLANNED_FAULTS: ReadonlyArray<SoakFault['type']> = ['terminate', 'terminate-all', 'replace-planned', 'domain-out', 'configuration']
/** Time for which watches hear nothing before the history is discarded. */
const MUTE_WATCHES_MS = 1_000
const MAX_LOST_RESPONSES = 6
/** Bounds of the duration of a fault. */
const MIN_FAULT_MS = 500
const MAX_FAULT_MS = 4_500
/** Bounds of the time for which members have no power. */
const POWER_CUT_MS = { min: 3_000, spread: 6_500 } as const
/** Ratios of the members that lose their power together. */
const POWER_CUT_RATIOS = [0, 0.33, 1, 1] as const
/** Longest time between the failure of a leader and the trouble of the store. */
const MAX_TROUBLE_DELAY_MS = 1_500
/** Bounds of the times for which an overloaded host runs and suspends a member. */
const STUTTER_MS = { run: 150, pause: 1_000 } as const
/** The leader's lease: a takeover lasts at least until the others may claim. */
const LEASE_MS = 1_500
/** Ratio of slow workers that delay all calls and not only starts. */
const SLOW_LISTS_RATIO = 0.75
const MAX_WORKER_DELAY_MS = 900
/** Bounds of the ratio of the workers that fail together, and of the time for which they do. */
const WORKERS_RATIO = { min: 0.05, spread: 0.3 } as const
const WORKERS_FAULT_MS = { min: 1_000, spread: 7_000 } as const
const MAX_LATE_ORDERS_RATIO = 0.5
/** Ratio of the takeovers during which workers are also cut off, and of those during which orders are late. */
const WORKER_TROUBLE_RATIO = 0.35
/** Number of power cuts in the list from which a fault is chosen. */
const POWER_CUT_SHARE = 2
/** Number of takeovers in the list from which a fault is chosen. */
const TAKEOVER_SHARE = 5
const SEED_RANGE = 1_000_000
/** Time between the stops of two members when all members are terminated in turn. */
const RESTART_INTERVAL_MS = 500

/**
 * Creates a random fault, of a kind that begins with one of `kinds` if there are any. The same sequence of random numbers gives the same fault.
 *
 * @example
 * createRandomFault(Random.create(7), 4, 8)
 */
export function createRandomFault (random: Random, members: number, workers: number, kinds: readonly string[] = []): SoakFault {
  const forMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS)
  const member = random.nextInt(members)
  const worker = random.nextInt(workers)
  const state = LINK_STATES[random.nextInt(LINK_STATES.length)]!
  const delay: WorkerDelay = { calls: random.next() < SLOW_LISTS_RATIO ? 'all' : 'starts', beforeMs: random.nextInt(MAX_WORKER_DELAY_MS), afterMs: random.nextInt(MAX_WORKER_DELAY_MS) }
  const leader = LEADER_FAILURES[random.nextInt(LEADER_FAILURES.length)]!
  const cut: WorkersCut = { workers: choose(random, workers, WORKERS_RATIO.min + WORKERS_RATIO.spread * random.next()), state: random.next() < 0.5 ? 'held' : 'silent', reborn: random.next() < 0.5 }
  const workersForMs = WORKERS_FAULT_MS.min + random.nextInt(WORKERS_FAULT_MS.spread)
  const share = MAX_LATE_ORDERS_RATIO * random.next()
  const trouble = STORE_TROUBLES[random.nextInt(STORE_TROUBLES.length)]!
  const mode = STORE_MODES[random.nextInt(STORE_MODES.length)]!
  const faults: readonly SoakFault[] = [
    { type: 'kill', member },
    { type: 'kill', member },
    { type: 'terminate', member },
    { type: 'pause', member, forMs },
    { type: 'pause', member, forMs },
    { type: 'kill-all' },
    ...Array.from({ length: POWER_CUT_SHARE }, (): SoakFault => ({ type: 'power-cut', members: choose(random, members, POWER_CUT_RATIOS[random.nextInt(POWER_CUT_RATIOS.length)]!), forMs: POWER_CUT_MS.min + random.nextInt(POWER_CUT_MS.spread) })),
    { type: 'replace', member },
    { type: 'replace-planned', member },
    { type: 'terminate-all' },
    { type: 'store', mode, pausesLeases: random.next() < 0.5, forMs },
    { type: 'store-compact' },
    { type: 'store-answers-lost', count: 1 + random.nextInt(MAX_LOST_RESPONSES) },
    { type: 'store-link', member, state, forMs },
    { type: 'store-link', member, state, forMs },
    { type: 'worker-link', worker, state, forMs },
    { type: 'advisor-link', state, forMs },
    { type: 'worker-crash', worker },
    { type: 'workers-cut', cut, forMs: workersForMs },
    { type: 'workers-cut', cut, forMs: workersForMs },
    { type: 'workers-flap', workers: cut.workers, reborn: cut.reborn, forMs: workersForMs },
    { type: 'workers-drain', workers: cut.workers, forMs: workersForMs },
    { type: 'late-orders', share, forMs: workersForMs },
    { type: 'domain-out', domain: 'west', forMs },
    { type: 'configuration' },
    { type: 'stutter', members: random.next() < 0.5 ? 'all' : 'leader', runMs: 10 + random.nextInt(STUTTER_MS.run), pauseMs: 50 + random.nextInt(STUTTER_MS.pause), forMs },
    { type: 'slow-workers', delay, forMs },
    ...Array.from({ length: TAKEOVER_SHARE }, (): SoakFault => ({
      type: 'takeover',
      leader,
      afterMs: random.next() < 0.5 ? 0 : random.nextInt(MAX_TROUBLE_DELAY_MS),
      trouble,
      delay: random.next() < 0.5 ? delay : NO_DELAY,
      cut: random.next() < WORKER_TROUBLE_RATIO ? cut : { ...cut, workers: [] },
      lateOrders: random.next() < WORKER_TROUBLE_RATIO ? share : 0,
      forMs: forMs + LEASE_MS,
      seed: random.nextInt(SEED_RANGE)
    }))
  ]
  const fault = faults[random.nextInt(faults.length)]!
  return kinds.length === 0 || kinds.some((kind) => getKind(fault).startsWith(kind)) ? fault : createRandomFault(random, members, workers, kinds)
}

/** Random indexes below `total`: the given ratio of them, but at least one. */
function choose (random: Random, total: number, ratio: number): readonly number[] {
  const order = Array.from({ length: total }, (_, index) => ({ index, rank: random.next() })).sort((left, right) => left.rank - right.rank)
  return order.slice(0, Math.max(1, Math.floor(ratio * total))).map(({ index }) => index)
}

/**
 * The type of a fault; for a takeover with the trouble of the store and the failure of the leader, for a trouble of the
 * store alone with its mode.
 *
 * @example
 * getKind({ type: 'store', mode: 'busy', pausesLeases: false, forMs: 500 }) // 'store/busy'
 */
export function getKind (fault: SoakFault): string {
  switch (fault.type) {
    case 'takeover': return `${fault.type}/${fault.trouble}/${fault.leader}`
    case 'store': return `${fault.type}/${fault.mode}`
    default: return fault.type
  }
}

/** Starts a fault and ends it after its duration. */
export async function injectFault (cell: SoakCell, fault: SoakFault): Promise<void> {
  const isUnplanned = !PLANNED_FAULTS.includes(fault.type)
  if (isUnplanned) cell.history.recordDisruption(performance.now(), false)
  await causeFault(cell, fault)
  if (isUnplanned) cell.history.recordDisruption(performance.now(), true)
}

async function causeFault (cell: SoakCell, fault: SoakFault): Promise<void> {
  switch (fault.type) {
    case 'kill': return cell.restartMember(fault.member, 'SIGKILL')
    case 'terminate': return cell.restartMember(fault.member, 'SIGTERM')
    case 'pause': return cell.pauseMember(fault.member, fault.forMs)
    case 'kill-all': return restartAllMembers(cell, 'SIGKILL', 0)
    case 'power-cut': return cell.cutPower(fault.members, fault.forMs)
    case 'replace': return cell.replaceMember(fault.member, 'SIGKILL')
    case 'replace-planned': return cell.replaceMember(fault.member, 'SIGTERM')
    case 'terminate-all': return restartAllMembers(cell, 'SIGTERM', RESTART_INTERVAL_MS)
    case 'store':
      cell.kv.pausesLeases = fault.pausesLeases
      cell.kv.mode = fault.mode
      await wait(fault.forMs)
      cell.kv.mode = 'up'
      return
    case 'store-compact':
      cell.kv.mutesWatches = true
      await wait(MUTE_WATCHES_MS)
      cell.kv.dropHistory()
      cell.kv.mutesWatches = false
      return
    case 'store-answers-lost':
      cell.kv.responsesToLose = fault.count
      return
    case 'store-link': return disturbLink(cell.members[fault.member]!.storeLink, fault.state, fault.forMs)
    case 'worker-link': return disturbLink(cell.workers[fault.worker]!.link, fault.state, fault.forMs)
    case 'advisor-link': return disturbLink(cell.advisorLink, fault.state, fault.forMs)
    case 'worker-crash': return cell.workers[fault.worker]!.crash()
    case 'workers-cut': return cutWorkers(cell, fault.cut, fault.forMs)
    case 'workers-flap': return runAll(fault.workers, (worker) => cell.workers[worker]!.flap(fault.reborn, fault.forMs))
    case 'workers-drain': return runAll(fault.workers, (worker) => cell.drainWorker(worker, fault.forMs))
    case 'late-orders': return delayOrders(cell, fault.share, fault.forMs)
    case 'domain-out':
      cell.setDomainEvacuated(fault.domain, true)
      await wait(fault.forMs)
      cell.setDomainEvacuated(fault.domain, false)
      return
    case 'configuration': return cell.publishConfiguration()
    case 'stutter': return cell.stutterMembers(fault.members === 'all' ? [...cell.members.keys()] : findLeaders(cell), fault.runMs, fault.pauseMs, fault.forMs)
    case 'slow-workers': return delayWorkers(cell, fault.delay, fault.forMs)
    case 'takeover': return forceTakeover(cell, fault)
    default: return assertNever(fault)
  }
}

function findLeaders (cell: SoakCell): readonly number[] {
  const leader = cell.findLeader()
  return leader === undefined ? [] : [leader]
}

async function forceTakeover (cell: SoakCell, { leader, afterMs, trouble, delay, cut, lateOrders, forMs, seed }: Takeover): Promise<void> {
  const causeTrouble = async (): Promise<void> => {
    if (afterMs > 0) await wait(afterMs)
    await Promise.all([troubleStore(cell, trouble, forMs, Random.create(seed)), delayWorkers(cell, delay, forMs), cutWorkers(cell, cut, forMs), delayOrders(cell, lateOrders, forMs)])
  }
  await Promise.all([causeTrouble(), ...findLeaders(cell).map((member) => failLeader(cell, member, leader, forMs))])
}

async function failLeader (cell: SoakCell, member: number, failure: LeaderFailure, forMs: number): Promise<void> {
  switch (failure) {
    case 'kill': return cell.restartMember(member, 'SIGKILL')
    case 'terminate': return cell.restartMember(member, 'SIGTERM')
    case 'power': return cell.cutPower([member], forMs)
    case 'replace': return cell.replaceMember(member, 'SIGKILL')
    case 'replace-planned': return cell.replaceMember(member, 'SIGTERM')
    case 'pause': return cell.pauseMember(member, forMs)
    case 'cut': return disturbLink(cell.members[member]!.storeLink, 'silent', forMs)
    case 'hold': return disturbLink(cell.members[member]!.storeLink, 'held', forMs)
    case 'none': return
    default: return assertNever(failure)
  }
}

async function delayWorkers (cell: SoakCell, delay: WorkerDelay, forMs: number): Promise<void> {
  cell.delayWorkers(delay)
  await wait(forMs)
  cell.delayWorkers(NO_DELAY)
}

async function cutWorkers (cell: SoakCell, { workers, state, reborn }: WorkersCut, forMs: number): Promise<void> {
  await runAll(workers, (worker) => cell.workers[worker]!.cutOff(state, reborn, forMs))
}

async function delayOrders (cell: SoakCell, share: number, forMs: number): Promise<void> {
  if (share === 0) return
  cell.setLateOrders({ share, survivesCrash: false })
  await wait(forMs)
  cell.setLateOrders(undefined)
}

async function runAll (indexes: readonly number[], run: (index: number) => Promise<void>): Promise<void> {
  await Promise.all(indexes.map(run))
}

async function restartAllMembers (cell: SoakCell, signal: 'SIGKILL' | 'SIGTERM', intervalMs: number): Promise<void> {
  await Promise.all(cell.members.map(async (_member, index) => {
    await wait(index * intervalMs)
    await cell.restartMember(index, signal)
  }))
}

async function disturbLink (link: LoopbackProxy, state: LinkState, forMs: number): Promise<void> {
  link.setState(state)
  await wait(forMs)
  link.setState('open')
}
