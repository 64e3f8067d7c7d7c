import { NO_DELAY } from '../platform/standin/worker-server.ts'
import type { WorkerDelay } from '../platform/standin/worker-server.ts'
import type { Random } from '../src/util/random.ts'
import { chooseIndexes } from './choose-indexes.ts'
import type { LinkState } from './proxied-stream.ts'
import { createRandomLoss } from './random-loss.ts'
import { createRandomRecut } from './random-recut.ts'
import { getKind } from './soak-fault.ts'
import type { LeaderFailure, SoakFault, WorkersCut } from './soak-fault.ts'
import { STORE_TROUBLES } from './store-trouble.ts'

export type RandomFaultOptions = {
  readonly random: Random
  /** Random numbers of the losses of workers and leaders. */
  readonly lossRandom: Random
  /** Random numbers of the restarts with a cut. */
  readonly recutRandom: Random
  /** Time until the end of the traffic, which a recut should not outlast. */
  readonly remainingMs: number
  readonly members: number
  readonly workers: number
  /** Beginnings of the kinds; all kinds if empty. */
  readonly kinds?: readonly string[]
}

const LINK_STATES: readonly LinkState[] = ['slow', 'held', 'held', 'silent', 'one-way', 'reset']
const STORE_MODES = ['busy', 'silent', 'reset'] as const
const LEADER_FAILURES: readonly LeaderFailure[] = ['kill', 'terminate', 'power', 'replace', 'replace-planned', 'pause', 'cut', 'hold', 'none']
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

/**
 * Creates a random fault, of a kind that begins with one of `kinds` if there are any. The same sequences of random numbers
 * give the same fault.
 *
 * @example
 * createRandomFault({ random: Random.create(7), lossRandom: Random.create(8), recutRandom: Random.create(9), remainingMs: 20_000, members: 4, workers: 8 })
 */
export function createRandomFault (options: RandomFaultOptions): SoakFault {
  const { random, lossRandom, recutRandom, remainingMs, members, workers, kinds = [] } = options
  const forMs = MIN_FAULT_MS + random.nextInt(MAX_FAULT_MS - MIN_FAULT_MS)
  const member = random.nextInt(members)
  const worker = random.nextInt(workers)
  const state = LINK_STATES[random.nextInt(LINK_STATES.length)]!
  const delay: WorkerDelay = { calls: random.next() < SLOW_LISTS_RATIO ? 'all' : 'starts', beforeMs: random.nextInt(MAX_WORKER_DELAY_MS), afterMs: random.nextInt(MAX_WORKER_DELAY_MS) }
  const leader = LEADER_FAILURES[random.nextInt(LEADER_FAILURES.length)]!
  const cut: WorkersCut = { workers: chooseIndexes(random, workers, WORKERS_RATIO.min + WORKERS_RATIO.spread * random.next()), state: random.next() < 0.5 ? 'held' : 'silent', reborn: random.next() < 0.5 }
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
    ...Array.from({ length: POWER_CUT_SHARE }, (): SoakFault => ({ type: 'power-cut', members: chooseIndexes(random, members, POWER_CUT_RATIOS[random.nextInt(POWER_CUT_RATIOS.length)]!), forMs: POWER_CUT_MS.min + random.nextInt(POWER_CUT_MS.spread) })),
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
  const candidates = [createRandomRecut({ random: recutRandom, workers, remainingMs }), createRandomLoss(lossRandom, workers), faults[random.nextInt(faults.length)]]
  const chosen = candidates.find((fault) => fault !== undefined && (kinds.length === 0 || kinds.some((kind) => getKind(fault).startsWith(kind))))
  // A kind that would outlast the traffic may be the only one.
  return chosen ?? createRandomFault({ ...options, remainingMs: Infinity })
}
