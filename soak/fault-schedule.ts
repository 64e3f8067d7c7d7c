import { Random } from '../src/util/random.ts'
import { createRandomFault } from './random-fault.ts'
import { computeRecutMs } from './random-recut.ts'
import type { LeaderLoss, SoakFault } from './soak-fault.ts'

/** A fault and its time from the start of the traffic. */
export type ScheduledFault = { readonly atMs: number, readonly fault: SoakFault }

export type FaultScheduleOptions = {
  readonly seed: number
  /** Duration of the traffic. */
  readonly seconds: number
  readonly members: number
  readonly workers: number
  /** Mean time between two faults. */
  readonly faultIntervalMs?: number
  /** Beginnings of the kinds of the faults; all kinds if empty. */
  readonly faultKinds?: readonly string[]
}

const MS_PER_SECOND = 1_000
const DEFAULT_FAULT_INTERVAL_MS = 1_000
/** Difference between the seed of the losses and that of the other faults. */
const LOSS_SEED_OFFSET = 1_000_000_000
/** Difference between the seed of the recuts and that of the faults that are neither recuts nor losses. */
const RECUT_SEED_OFFSET = 2_000_000_000
/** Minimum time between two faults, and the range of the random time that is added to it, as ratios of the mean. */
const FAULT_INTERVAL = { min: 0.3, spread: 1.4 } as const
/** Time without other faults after departures, as a ratio of the mean: tasks count as lost only in calm time. */
const CALM_RATIO = 2
/** No time between two faults starts in this last part of the traffic. */
const FAULT_FREE_MS = 2_000

/**
 * Creates the faults of a seed. The same options give the same faults at the same times.
 *
 * @example
 * createFaultSchedule({ seed: 7, seconds: 20, members: 3, workers: 6 })
 */
export function createFaultSchedule ({ seed, seconds, members, workers, faultKinds = [], faultIntervalMs = DEFAULT_FAULT_INTERVAL_MS }: FaultScheduleOptions): readonly ScheduledFault[] {
  const random = Random.create(seed)
  const lossRandom = Random.create(seed + LOSS_SEED_OFFSET)
  const recutRandom = Random.create(seed + RECUT_SEED_OFFSET)
  const schedule: ScheduledFault[] = []
  const endMs = seconds * MS_PER_SECOND
  let atMs = 0
  while (atMs < endMs - FAULT_FREE_MS) {
    atMs += FAULT_INTERVAL.min * faultIntervalMs + random.nextInt(FAULT_INTERVAL.spread * faultIntervalMs)
    const fault = createRandomFault({ random, lossRandom, recutRandom, remainingMs: endMs - atMs, members, workers, kinds: faultKinds })
    const nextFromMs = atMs + (fault.type === 'departures' ? computeLossesMs(fault.leaders) + CALM_RATIO * faultIntervalMs : 0)
    if (fault.type === 'departures' && nextFromMs > endMs) continue
    if (fault.type === 'recut' && atMs + computeRecutMs(fault) > endMs) continue
    schedule.push({ atMs, fault })
    atMs = nextFromMs
  }
  return schedule
}

/** Time until the last of the leaders has failed. */
function computeLossesMs (losses: readonly LeaderLoss[]): number {
  return losses.reduce((sum, { afterMs }) => sum + afterMs, 0)
}
