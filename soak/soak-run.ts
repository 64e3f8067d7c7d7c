import { setTimeout as wait } from 'node:timers/promises'
import { Random } from '../src/util/random.ts'
import { SoakCallers } from './soak-callers.ts'
import { SoakCell } from './soak-cell.ts'
import type { SoakCellOptions } from './soak-cell.ts'
import { createRandomFault, injectFault } from './soak-faults.ts'
import type { SoakFault } from './soak-faults.ts'

/** Options of one soak run. */
export type SoakOptions = SoakCellOptions & {
  readonly seed: number
  /** Duration of traffic and faults. */
  readonly seconds: number
  readonly jobsPerSecond: number
  /** Mean time between two faults. */
  readonly faultIntervalMs?: number
  /** Beginnings of the kinds of the faults; all kinds if empty. */
  readonly faultKinds?: readonly string[]
  /** Kinds of the jobs; all kinds if empty. */
  readonly jobKinds?: readonly string[]
}

/** Injected faults, numbers of jobs by outcome, and breaches of one soak run. */
export type SoakResult = {
  readonly seed: number
  readonly faults: readonly SoakFault[]
  readonly accepted: number
  readonly refused: number
  readonly doubtful: number
  readonly breaches: readonly string[]
}

const STARTUP_MS = 2_500
const MS_PER_SECOND = 1_000
const DEFAULT_FAULT_INTERVAL_MS = 1_000
/** Minimum time between two faults, and the range of the random time that is added to it, as ratios of the mean. */
const FAULT_INTERVAL = { min: 0.3, spread: 1.4 } as const
/** No fault starts in this last part of the traffic. */
const FAULT_FREE_MS = 2_000
/** Jobs must reach a final state within this time after the traffic ends: `finish_s` plus a margin for a busy machine. */
const FINISH_TIMEOUT_MS = 25_000

/**
 * Runs one seed: traffic and faults on member processes, then time to recover, with all checks active throughout.
 *
 * @example
 * const { breaches } = await runSoak({ seed: 7, seconds: 20, members: 3, workers: 6, jobsPerSecond: 6, bundle, folder, subnet: 20 })
 */
export async function runSoak (options: SoakOptions): Promise<SoakResult> {
  const cell = await SoakCell.start(options)
  const callers = SoakCallers.create(cell, Random.create(options.seed + 1), options.jobKinds)
  try {
    await wait(STARTUP_MS)
    const [faults] = await Promise.all([injectFaults(cell, options), submitJobs(callers, options)])
    cell.repairAll()
    const unfinished = await callers.waitForFinalStates(performance.now() + FINISH_TIMEOUT_MS)
    const lost = unfinished.map((id) => `LOST: ${id} was accepted and has not ended${cell.history.isDone(id) ? ', although all its tasks have' : ''}`)
    const { refusedJobs: refused, doubtfulJobs: doubtful } = callers
    return { seed: options.seed, faults, accepted: callers.acceptedPaths.size, refused, doubtful, breaches: [...cell.history.breaches, ...lost] }
  } finally {
    await callers.close()
    await cell.close()
  }
}

async function injectFaults (cell: SoakCell, { seed, seconds, members, workers, faultKinds = [], faultIntervalMs = DEFAULT_FAULT_INTERVAL_MS }: SoakOptions): Promise<readonly SoakFault[]> {
  const random = Random.create(seed)
  const deadline = performance.now() + seconds * MS_PER_SECOND - FAULT_FREE_MS
  const faults: SoakFault[] = []
  const pending: Array<Promise<void>> = []
  while (performance.now() < deadline) {
    await wait(FAULT_INTERVAL.min * faultIntervalMs + random.nextInt(FAULT_INTERVAL.spread * faultIntervalMs))
    const fault = createRandomFault(random, members, workers, faultKinds)
    faults.push(fault)
    pending.push(injectFault(cell, fault))
  }
  await Promise.all(pending)
  return faults
}

async function submitJobs (callers: SoakCallers, { seconds, jobsPerSecond }: SoakOptions): Promise<void> {
  const pending: Array<Promise<void>> = []
  for (let number = 1; number <= seconds * jobsPerSecond; number += 1) {
    pending.push(callers.runJob(number))
    await wait(MS_PER_SECOND / jobsPerSecond)
  }
  await Promise.all(pending)
}
