import { setTimeout as wait } from 'node:timers/promises'
import { Random } from '../src/util/random.ts'
import { SoakCallers } from './soak-callers.ts'
import { SoakCell } from './soak-cell.ts'
import type { SoakCellOptions } from './soak-cell.ts'
import { createFaultSchedule } from './fault-schedule.ts'
import type { FaultScheduleOptions, ScheduledFault } from './fault-schedule.ts'
import { injectFault } from './inject-fault.ts'

/** Options of one soak run. */
export type SoakOptions = SoakCellOptions & FaultScheduleOptions & {
  readonly jobsPerSecond: number
  /** Kinds of jobs; all kinds if empty. */
  readonly jobKinds?: readonly string[]
  /** Replaces the random faults of the seed, so that faults that have broken a rule can be played again. */
  readonly schedule?: readonly ScheduledFault[]
}

/** Injected faults, numbers of jobs by outcome, and breaches of one soak run. */
export type SoakResult = {
  readonly seed: number
  readonly schedule: readonly ScheduledFault[]
  readonly accepted: number
  readonly refused: number
  readonly doubtful: number
  readonly breaches: readonly string[]
  /** The longest time for which a task that lasts had no run after its first one. */
  readonly longestGapMs: number
}

const STARTUP_MS = 2_500
const MS_PER_SECOND = 1_000
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
    const schedule = options.schedule ?? createFaultSchedule(options)
    await await Promise.all([injectFaults(cell, schedule), submitJobs(callers, options)])
    cell.repairAll()
    const unfinished = await callers.waitForFinalStates(performance.now() + FINISH_TIMEOUT_MS)
    const lost = unfinished.map((id) => `LOST: ${id} was accepted and has not ended${cell.history.isDone(id) ? ', although all its tasks have' : ''}`)
    const { refusedJobs: refused, doubtfulJobs: doubtful } = callers
    return { seed: options.seed, schedule, accepted: callers.acceptedPaths.size, refused, doubtful, breaches: [...cell.history.breaches, ...lost], longestGapMs: cell.history.longestGapMs }
  } finally {
    await callers.close()
    await cell.close()
  }
}

async function injectFaults (cell: SoakCell, schedule: readonly ScheduledFault[]): Promise<void> {
  await Promise.all(schedule.map(async ({ atMs, fault }) => {
    await wait(atMs)
    await injectFault(cell, fault)
  }))
}

async function submitJobs (callers: SoakCallers, { seconds, jobsPerSecond }: SoakOptions): Promise<void> {
  const pending: Array<Promise<void>> = []
  for (let number = 1; number <= seconds * jobsPerSecond; number += 1) {
    pending.push(callers.runJob(number))
    await wait(MS_PER_SECOND / jobsPerSecond)
  }
  await Promise.all(pending)
}
