import type { Random } from '../src/util/random.ts'
import { chooseIndexes } from './choose-indexes.ts'
import type { LeaderFailure, SoakFault, WorkersGone } from './soak-fault.ts'

/** Ratio of the faults that are losses. */
const LOSSES_RATIO = 0.1
const LEADER_FAILURES: readonly LeaderFailure[] = ['kill', 'power', 'replace', 'replace-silent', 'replace-closing']
/** Bounds of the time for which a leader without power is away. */
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
    { type: 'leader', leader: LEADER_FAILURES[random.nextInt(LEADER_FAILURES.length)]!, forMs: LEADER_AWAY_MS.min + random.nextInt(LEADER_AWAY_MS.spread) }
  ]
  const loss = losses[random.nextInt(losses.length)]
  return isLoss ? loss : undefined
}
