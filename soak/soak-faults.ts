import { setTimeout as wait } from 'node:timers/promises'
import { assertNever } from '../src/util/assert-never.ts'
import type { Random } from '../src/util/random.ts'
import type { LinkState, LoopbackProxy } from './loopback-proxy.ts'
import type { SoakCell } from './soak-cell.ts'

/** A fault that is caused from outside the member processes. Several faults may overlap. */
export type SoakFault =
  | { readonly type: 'kill' | 'terminate', readonly member: number }
  | { readonly type: 'pause', readonly member: number, readonly forMs: number }
  | { readonly type: 'kill-all' | 'terminate-all' }
  | { readonly type: 'store', readonly mode: 'busy' | 'silent' | 'reset', readonly forMs: number }
  | { readonly type: 'store-answers-lost', readonly count: number }
  | { readonly type: 'store-link', readonly member: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-link', readonly worker: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'advisor-link', readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-crash', readonly worker: number }
  | { readonly type: 'domain-out', readonly domain: string, readonly forMs: number }
  | { readonly type: 'configuration' }

const LINK_STATES: readonly LinkState[] = ['slow', 'silent', 'one-way', 'reset']
const STORE_MODES = ['busy', 'silent', 'reset'] as const
const MAX_LOST_RESPONSES = 6
/** Bounds of the duration of a fault. */
const MIN_FAULT_MS = 500
const MAX_FAULT_MS = 4_500
/** Time between the stops of two members when all members are terminated in turn. */
const RESTART_INTERVAL_MS = 500

/**
 * Creates a random fault. The same sequence of random numbers gives the same fault.
 *
 * @example
 * createRandomFault(Random.create(7), 4, 8)
 */
export function createRandomFault (random: Random, members: number, workers: number): SoakFault {
  const forMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS)
  const member = random.nextInt(members)
  const worker = random.nextInt(workers)
  const state = LINK_STATES[random.nextInt(LINK_STATES.length)]!
  const mode = STORE_MODES[random.nextInt(STORE_MODES.length)]!
  const faults: readonly SoakFault[] = [
    { type: 'kill', member },
    { type: 'kill', member },
    { type: 'terminate', member },
    { type: 'pause', member, forMs },
    { type: 'pause', member, forMs },
    { type: 'kill-all' },
    { type: 'terminate-all' },
    { type: 'store', mode, forMs },
    { type: 'store-answers-lost', count: 1 + random.nextInt(MAX_LOST_RESPONSES) },
    { type: 'store-link', member, state, forMs },
    { type: 'store-link', member, state, forMs },
    { type: 'worker-link', worker, state, forMs },
    { type: 'advisor-link', state, forMs },
    { type: 'worker-crash', worker },
    { type: 'domain-out', domain: 'west', forMs },
    { type: 'configuration' }
  ]
  return faults[random.nextInt(faults.length)]!
}

/** Starts a fault and ends it after its duration. */
export async function injectFault (cell: SoakCell, fault: SoakFault): Promise<void> {
  switch (fault.type) {
    case 'kill': return cell.restartMember(fault.member, 'SIGKILL')
    case 'terminate': return cell.restartMember(fault.member, 'SIGTERM')
    case 'pause': return cell.pauseMember(fault.member, fault.forMs)
    case 'kill-all': return restartAllMembers(cell, 'SIGKILL', 0)
    case 'terminate-all': return restartAllMembers(cell, 'SIGTERM', RESTART_INTERVAL_MS)
    case 'store':
      cell.kv.mode = fault.mode
      await wait(fault.forMs)
      cell.kv.mode = 'up'
      return
    case 'store-answers-lost':
      cell.kv.responsesToLose = fault.count
      return
    case 'store-link': return disturbLink(cell.members[fault.member]!.storeLink, fault.state, fault.forMs)
    case 'worker-link': return disturbLink(cell.workers[fault.worker]!.link, fault.state, fault.forMs)
    case 'advisor-link': return disturbLink(cell.advisorLink, fault.state, fault.forMs)
    case 'worker-crash': return cell.crashWorker(fault.worker)
    case 'domain-out':
      cell.setDomainEvacuated(fault.domain, true)
      await wait(fault.forMs)
      cell.setDomainEvacuated(fault.domain, false)
      return
    case 'configuration': return cell.publishConfiguration()
    default: return assertNever(fault)
  }
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
