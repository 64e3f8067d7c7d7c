import type { Random } from '../src/util/random.ts'
import { chooseIndexes } from './choose-indexes.ts'
import type { LeaderFailure, LeaderLoss, Recut } from './soak-fault.ts'

export type RandomRecutOptions = {
  readonly random: Random
  readonly workers: number
  /** Time until the end of the traffic; a recut that would outlast it is left out. */
  readonly remainingMs: number
}

/** Ratio of the faults that are recuts. */
const RECUTS_RATIO = 0.1
/** Ratio of the recuts that hit a whole failure domain, which holds every second worker; the others hit some workers. */
const DOMAIN_RATIO = 0.6
const DOMAINS = 2
/** Bounds of the ratio of the workers that are hit otherwise. */
const WORKERS_RATIO = { min: 0.1, spread: 0.4 } as const
/** A leader that is killed may be followed by a second one. */
const LEADER_FAILURES: readonly LeaderFailure[] = ['kill', 'kill', 'terminate', 'pause', 'none']
const SECOND_KILL_RATIO = 0.5
const DOWN_MS = { min: 300, spread: 600 } as const
/** Bounds of the time until the next heartbeat. */
const HEARTBEAT_MS = { min: 50, spread: 1_450 } as const
/** Bounds of the time from the return of the workers until the leader fails, and from one leader to the next. */
const LEADER_AFTER_MS = { min: 100, spread: 1_700 } as const
const SECOND_KILL_AFTER_MS = { min: 2_000, spread: 4_000 } as const
const PAUSE_MS = { min: 3_000, spread: 6_500 } as const
/** Bounds of the time from the failure of the leader until the cut, which may come before it. */
const CUT_AFTER_LEADER_MS = { min: -200, spread: 600 } as const
const CUT_MS = { min: 8_000, spread: 3_000 } as const

/**
 * Creates a restart of workers that no connection shows, followed by the failure of the leader and a cut; in most cases none. Recuts
 * have random numbers of their own, so that they do not change the other faults that a seed draws.
 *
 * @example
 * createRandomRecut({ random: Random.create(7), workers: 6, remainingMs: 20_000 })
 */
export function createRandomRecut ({ random, workers, remainingMs }: RandomRecutOptions): Recut | undefined {
  const isRecut = random.next() < RECUTS_RATIO
  const leaders = createLeaderLosses(random)
  const restart = { downMs: draw(random, DOWN_MS), heartbeatAfterMs: draw(random, HEARTBEAT_MS) }
  const cutAfterMs = Math.max(0, leaders[0]!.afterMs + draw(random, CUT_AFTER_LEADER_MS))
  const forMs = draw(random, CUT_MS)
  const recut: Recut = { type: 'recut', workers: chooseWorkers(random, workers), restart, leaders, cutAfterMs, state: random.next() < 0.5 ? 'held' : 'silent', forMs }
  return isRecut && computeRecutMs(recut) <= remainingMs ? recut : undefined
}

/** Time from the crash of the workers until the end of their cut. */
export function computeRecutMs ({ restart, cutAfterMs, forMs }: Recut): number {
  return restart.downMs + cutAfterMs + forMs
}

function createLeaderLosses (random: Random): readonly LeaderLoss[] {
  const first: LeaderLoss = { afterMs: draw(random, LEADER_AFTER_MS), leader: LEADER_FAILURES[random.nextInt(LEADER_FAILURES.length)]!, forMs: draw(random, PAUSE_MS) }
  const second: LeaderLoss = { afterMs: draw(random, SECOND_KILL_AFTER_MS), leader: 'kill', forMs: 0 }
  return random.next() < SECOND_KILL_RATIO && first.leader === 'kill' ? [first, second] : [first]
}

function chooseWorkers (random: Random, workers: number): readonly number[] {
  const some = chooseIndexes(random, workers, WORKERS_RATIO.min + WORKERS_RATIO.spread * random.next())
  const domain = random.nextInt(DOMAINS)
  return random.next() < DOMAIN_RATIO ? Array.from({ length: workers }, (_, index) => index).filter((index) => index % DOMAINS === domain) : some
}

function draw (random: Random, { min, spread }: { readonly min: number, readonly spread: number }): number {
  return min + random.nextInt(spread)
}
