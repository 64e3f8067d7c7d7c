import type { Random } from '../src/util/random.ts'
import { chooseIndexes } from './choose-indexes.ts'
import type { LeaderFailure, LeaderLoss, SoakFault, WorkersGone } from './soak-fault.ts'

/** Ratio of the faults that are losses. */
const LOSSES_RATIO = 0.25
/** Half of the leaders end without a sign that their successors could see. */
const LEADER_FAILURES: readonly LeaderFailure[] = ['kill', 'terminate', 'power', 'replace', 'pause', 'replace-silent', 'replace-silent', 'replace-silent', 'replace-closing', 'replace-closing']
/** Number of departures in the list from which a loss is chosen. */
const DEPARTURES_SHARE = 5
const MAX_LEADER_LOSSES = 6
/** Bounds of the time between two leaders that are lost beside workers. The first may go at the same time as they. */
const LEADER_INTERVAL_MS = { min: 2_500, spread: 3_000 } as const
/** Bounds of the time for which a leader is paused or without power. */
const LEADER_AWAY_MS = { min: 3_000, spread: 6_500 } as const
/** Bounds of the ratio of the workers that go away together, and of the time for which they do. */
const WORKERS_RATIO = { min: 0.05, spread: 0.3 } as const
const WORKERS_GONE_MS = { min: 20_000, spread: 10_000 } as const
/** Bounds of the time from the crash of workers until they go away. */
const REBORN_MS = { min: 500, spread: 12_000 } as const

/**
 * Creates a loss of workers or of the leader, or in most cases none. Losses have random numbers of their own, so that they do
 * not change the other faults that a seed draws.
 *
 * @example
 * createRandomLoss(Random.create(7), 6)
 */
export function createRandomLoss (random: Random, workers: number): SoakFault | undefined {
  const isLoss = random.next() < LOSSES_RATIO
  const gone: WorkersGone = {
    workers: chooseIndexes(random, workers, WORKERS_RATIO.min + WORKERS_RATIO.spread * random.next()),
    state: random.next() < 0.5 ? 'dark' : 'refused',
    forMs: WORKERS_GONE_MS.min + random.nextInt(WORKERS_GONE_MS.spread)
  }
  const losses: readonly SoakFault[] = [
    { type: 'workers-gone', gone },
    { type: 'workers-reborn-gone', gone, afterMs: REBORN_MS.min + random.nextInt(REBORN_MS.spread) },
    { type: 'leader', ...chooseFailure(random) },
    ...Array<SoakFault>(DEPARTURES_SHARE).fill({ type: 'departures', gone, leaders: createLeaderLosses(random) })
  ]
  const loss = losses[random.nextInt(losses.length)]
  return isLoss ? loss : undefined
}

function chooseFailure (random: Random): { readonly leader: LeaderFailure, readonly forMs: number } {
  return { leader: LEADER_FAILURES[random.nextInt(LEADER_FAILURES.length)]!, forMs: LEADER_AWAY_MS.min + random.nextInt(LEADER_AWAY_MS.spread) }
}

/** One leader in half of the cases, else a row of them. */
function createLeaderLosses (random: Random): readonly LeaderLoss[] {
  const count = random.next() < 0.5 ? 1 : 1 + random.nextInt(MAX_LEADER_LOSSES)
  return Array.from({ length: count }, (_, index) => ({ afterMs: (index === 0 ? 0 : LEADER_INTERVAL_MS.min) + random.nextInt(LEADER_INTERVAL_MS.spread), ...chooseFailure(random) }))
}
