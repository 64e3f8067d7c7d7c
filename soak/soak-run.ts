import { setTimeout as wait } from 'node:timers/promises'
import { Random } from '../src/util/random.ts'
import { SoakCallers } from './soak-callers.ts'
import { SoakCell } from './soak-cell.ts'
import type { SoakCellOptions } from './soak-cell.ts'
import { drawFault, injectFault } from './soak-faults.ts'
import type { SoakFault } from './soak-faults.ts'

export type SoakOptions = SoakCellOptions & {
  readonly seed: number
  /** How long traffic and faults last, in seconds. */
  readonly seconds: number
  readonly jobsPerSecond: number
}

export type SoakReport = {
  readonly seed: number
  readonly faults: readonly SoakFault[]
  readonly accepted: number
  readonly refused: number
  readonly doubtful: number
  readonly breaches: readonly string[]
}

const SETTLE_MS = 2_500
const MS_PER_SECOND = 1_000
/** Least time from one fault to the next, and how much longer it may be, in milliseconds. */
const FAULT_GAP_MS = { least: 300, spread: 1_400 } as const
/** No fault begins in the last part of the traffic, in milliseconds. */
const CALM_MS = 2_000
/** Jobs have to reach their end within this time after the traffic: `finish_s` and the time that a busy machine takes. */
const FINISH_MS = 25_000

/**
 * Plays one seed: traffic and faults on member processes, then time to recover, with the checks running all the while.
 *
 * @example
 * const { breaches } = await playSoak({ seed: 7, seconds: 20, members: 3, workers: 6, jobsPerSecond: 6, bundle, folder, subnet: 20 })
 */
export async function playSoak (options: SoakOptions): Promise<SoakReport> {
  const cell = await SoakCell.start(options)
  const callers = SoakCallers.create(cell, Random.create(options.seed + 1))
  try {
    await wait(SETTLE_MS)
    const [faults] = await Promise.all([injectAll(cell, options), submitAll(callers, options)])
    cell.heal()
    const unfinished = await callers.unfinished(performance.now() + FINISH_MS)
    const lost = unfinished.map((id) => `LOST: ${id} was accepted and has not ended${cell.history.isDone(id) ? ', although all its tasks have' : ''}`)
    const { refused, doubtful } = callers
    return { seed: options.seed, faults, accepted: callers.accepted.size, refused, doubtful, breaches: [...cell.history.breaches, ...lost] }
  } finally {
    await callers.close()
    await cell.close()
  }
}

async function injectAll (cell: SoakCell, { seed, seconds, members, workers }: SoakOptions): Promise<readonly SoakFault[]> {
  const random = Random.create(seed)
  const until = performance.now() + seconds * MS_PER_SECOND - CALM_MS
  const faults: SoakFault[] = []
  const pending: Array<Promise<void>> = []
  while (performance.now() < until) {
    await wait(FAULT_GAP_MS.least + random.nextInt(FAULT_GAP_MS.spread))
    const fault = drawFault(random, members, workers)
    faults.push(fault)
    pending.push(injectFault(cell, fault))
  }
  await Promise.all(pending)
  return faults
}

async function submitAll (callers: SoakCallers, { seconds, jobsPerSecond }: SoakOptions): Promise<void> {
  const pending: Array<Promise<void>> = []
  for (let number = 1; number <= seconds * jobsPerSecond; number += 1) {
    pending.push(callers.play(number))
    await wait(MS_PER_SECOND / jobsPerSecond)
  }
  await Promise.all(pending)
}
