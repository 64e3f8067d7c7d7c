import { setTimeout as wait } from 'node:timers/promises'
import { NO_DELAY } from '../platform/standin/worker-server.ts'
import type { WorkerDelay } from '../platform/standin/worker-server.ts'
import { assertNever } from '../src/util/assert-never.ts'
import { Random } from '../src/util/random.ts'
import type { LoopbackProxy } from './loopback-proxy.ts'
import type { LinkState } from './proxied-stream.ts'
import type { SoakCell } from './soak-cell.ts'
import type { LeaderFailure, LeaderLoss, Recut, SoakFault, Takeover, WorkersCut } from './soak-fault.ts'
import type { SoakWorker } from './soak-worker.ts'
import { troubleStore } from './store-trouble.ts'

/** Faults that are planned work: requests must be answered during these. */
const PLANNED_FAULTS: ReadonlyArray<SoakFault['type']> = ['terminate', 'terminate-all', 'replace-planned', 'domain-out', 'configuration']
/** Time for which watches hear nothing before the history is discarded. */
const MUTE_WATCHES_MS = 1_000
/** Time between the stops of two members when all members are terminated in turn. */
const RESTART_INTERVAL_MS = 500

/** Starts a fault and ends it after its duration. */
export async function injectFault (cell: SoakCell, fault: SoakFault): Promise<void> {
  const isUnplanned = !PLANNED_FAULTS.includes(fault.type)
  if (isUnplanned) cell.history.recordDisruption(performance.now(), false)
  await cell.countAsFault(causeFault(cell, fault))
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
    case 'worker-link': return disturbWorkerLink(cell.workers[fault.worker]!, fault.state, fault.forMs)
    case 'advisor-link': return disturbLink(cell.advisorLink, fault.state, fault.forMs)
    case 'worker-crash': return cell.workers[fault.worker]!.crash()
    case 'workers-cut': return cutWorkers(cell, fault.cut, fault.forMs)
    case 'workers-flap': return runAll(fault.workers, (worker) => cell.workers[worker]!.flap(fault.reborn, fault.forMs))
    case 'workers-gone': return cell.sendWorkersAway(fault.gone)
    case 'workers-reborn-gone':
      for (const worker of fault.gone.workers) cell.workers[worker]!.crash()
      await wait(fault.afterMs)
      return cell.sendWorkersAway(fault.gone)
    case 'departures':
      await cell.sendWorkersAway(fault.gone)
      return failLeadersInTurn(cell, fault.leaders)
    case 'recut': return restartAndCutWorkers(cell, fault)
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
    case 'leader': return failLeaders(cell, fault.leader, fault.forMs)
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
  await Promise.all([causeTrouble(), failLeaders(cell, leader, forMs)])
}

async function failLeaders (cell: SoakCell, failure: LeaderFailure, forMs: number): Promise<void> {
  await runAll(findLeaders(cell), (member) => failLeader(cell, member, failure, forMs))
}

async function failLeadersInTurn (cell: SoakCell, losses: readonly LeaderLoss[]): Promise<void> {
  const failures: Array<Promise<void>> = []
  for (const { afterMs, leader, forMs } of losses) {
    await wait(afterMs)
    failures.push(failLeaders(cell, leader, forMs))
  }
  await Promise.all(failures)
}

async function failLeader (cell: SoakCell, member: number, failure: LeaderFailure, forMs: number): Promise<void> {
  switch (failure) {
    case 'kill': return cell.restartMember(member, 'SIGKILL')
    case 'terminate': return cell.restartMember(member, 'SIGTERM')
    case 'power': return cell.cutPower([member], forMs)
    case 'replace': return cell.replaceMember(member, 'SIGKILL')
    case 'replace-silent': return cell.replaceMember(member, 'SIGKILL', 'silent')
    case 'replace-closing': return cell.replaceMember(member, 'SIGKILL', 'closing')
    case 'replace-planned': return cell.replaceMember(member, 'SIGTERM')
    case 'pause': return cell.pauseMember(member, forMs)
    case 'cut': return disturbLink(cell.members[member]!.storeLink, 'silent', forMs)
    case 'hold': return disturbLink(cell.members[member]!.storeLink, 'held', forMs)
    case 'refuse': return cell.isolateMember(member, forMs)
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

async function restartAndCutWorkers (cell: SoakCell, { workers, restart, leaders, cutAfterMs, state, forMs }: Recut): Promise<void> {
  await runAll(workers, (worker) => cell.workers[worker]!.restartUnseen(restart))
  const cut = async (): Promise<void> => {
    await wait(cutAfterMs)
    await cutWorkers(cell, { workers, state, reborn: false }, forMs)
  }
  await Promise.all([cut(), failLeadersInTurn(cell, leaders)])
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

async function disturbWorkerLink (worker: SoakWorker, state: LinkState, forMs: number): Promise<void> {
  worker.setLinkState(state)
  await wait(forMs)
  worker.setLinkState('open')
}

async function disturbLink (link: LoopbackProxy, state: LinkState, forMs: number): Promise<void> {
  link.setState(state)
  await wait(forMs)
  link.setState('open')
}
