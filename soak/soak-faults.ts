import { setTimeout as wait } from 'node:timers/promises'
import { assertNever } from '../src/util/assert-never.ts'
import type { Random } from '../src/util/random.ts'
import type { LinkState, LoopbackProxy } from './loopback-proxy.ts'
import type { SoakCell } from './soak-cell.ts'

/** One disturbance from outside the processes. Several may overlap. */
export type SoakFault =
  | { readonly type: 'kill' | 'terminate', readonly member: number }
  | { readonly type: 'pause', readonly member: number, readonly forMs: number }
  | { readonly type: 'kill-all' | 'terminate-all' }
  | { readonly type: 'store', readonly mode: 'busy' | 'silent' | 'reset', readonly forMs: number }
  | { readonly type: 'store-answers-lost', readonly count: number }
  | { readonly type: 'store-link', readonly member: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-link', readonly worker: number, readonly state: LinkState, readonly forMs: number }
  | { readonly type: 'worker-crash', readonly worker: number }
  | { readonly type: 'domain-out', readonly domain: string, readonly forMs: number }
  | { readonly type: 'configuration' }

const LINK_STATES: readonly LinkState[] = ['slow', 'silent', 'one-way', 'reset']
const STORE_MODES = ['busy', 'silent', 'reset'] as const
const MOST_LOST_ANSWERS = 6
/** Shortest and longest fault, and the time from one stop to the next when all members are stopped in turn, in milliseconds. */
const LEAST_MS = 500
const MOST_MS = 4_500
const STOP_GAP_MS = 500

/**
 * A random fault; the same numbers give the same fault.
 *
 * @example
 * drawFault(Random.create(7), 4, 8)
 */
export function drawFault (random: Random, members: number, workers: number): SoakFault {
  const forMs = LEAST_MS + random.below(MOST_MS - LEAST_MS)
  const member = random.below(members)
  const worker = random.below(workers)
  const state = LINK_STATES[random.below(LINK_STATES.length)]!
  const mode = STORE_MODES[random.below(STORE_MODES.length)]!
  const faults: readonly SoakFault[] = [
    { type: 'kill', member },
    { type: 'kill', member },
    { type: 'terminate', member },
    { type: 'pause', member, forMs },
    { type: 'pause', member, forMs },
    { type: 'kill-all' },
    { type: 'terminate-all' },
    { type: 'store', mode, forMs },
    { type: 'store-answers-lost', count: 1 + random.below(MOST_LOST_ANSWERS) },
    { type: 'store-link', member, state, forMs },
    { type: 'store-link', member, state, forMs },
    { type: 'worker-link', worker, state, forMs },
    { type: 'worker-crash', worker },
    { type: 'domain-out', domain: 'west', forMs },
    { type: 'configuration' }
  ]
  return faults[random.below(faults.length)]!
}

/** Brings a fault about and ends it. */
export async function injectFault (cell: SoakCell, fault: SoakFault): Promise<void> {
  switch (fault.type) {
    case 'kill': return cell.restart(fault.member, 'SIGKILL')
    case 'terminate': return cell.restart(fault.member, 'SIGTERM')
    case 'pause': return cell.pause(fault.member, fault.forMs)
    case 'kill-all': return restartAll(cell, 'SIGKILL', 0)
    case 'terminate-all': return restartAll(cell, 'SIGTERM', STOP_GAP_MS)
    case 'store':
      cell.kv.mode = fault.mode
      await wait(fault.forMs)
      cell.kv.mode = 'up'
      return
    case 'store-answers-lost':
      cell.kv.responsesToLose = fault.count
      return
    case 'store-link': return disturb(cell.members[fault.member]!.store, fault.state, fault.forMs)
    case 'worker-link': return disturb(cell.workers[fault.worker]!.link, fault.state, fault.forMs)
    case 'worker-crash': return cell.crashWorker(fault.worker)
    case 'domain-out':
      cell.setDomain(fault.domain, true)
      await wait(fault.forMs)
      cell.setDomain(fault.domain, false)
      return
    case 'configuration': return cell.configure()
    default: return assertNever(fault)
  }
}

async function restartAll (cell: SoakCell, signal: 'SIGKILL' | 'SIGTERM', gapMs: number): Promise<void> {
  await Promise.all(cell.members.map(async (_member, index) => {
    await wait(index * gapMs)
    await cell.restart(index, signal)
  }))
}

async function disturb (link: LoopbackProxy, state: LinkState, forMs: number): Promise<void> {
  link.set(state)
  await wait(forMs)
  link.set('open')
}
