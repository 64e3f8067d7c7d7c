import { VirtualCell } from './virtual-cell.ts'
import { VIRTUAL_FAULTS } from './virtual-faults.ts'
import type { VirtualFault } from './virtual-faults.ts'

const MEMBERS = 4
const TARGETS = 6
const FAULTS_UNTIL_MS = 30_000
const END_MS = 80_000
const MAX_FAULT_INTERVAL_MS = 2_500
const MAX_SUBMISSION_INTERVAL_MS = 700
const MAX_TASK_MS = 4_000
/** Some tasks outlast the grace of a leader and the lease of its runs. */
const MAX_LONG_TASK_MS = 20_000
const LONG_RATIO = 0.2
/** How often faults that follow one another at once are played. */
const SERIES_RATIO = 0.3

/** What a chain of leaders has shown. */
export type ChainOutcome = {
  readonly violations: readonly string[]
  readonly faults: readonly string[]
  readonly terms: number
  readonly starts: number
  readonly accepted: number
  /** Jobs that were accepted, not cancelled, and have not ended. */
  readonly unfinished: readonly string[]
  readonly lateWrites: number
  readonly cell: VirtualCell
}

/**
 * Plays random faults of members, of the store and of the ways between them, while jobs are submitted.
 *
 * @example
 * const { violations } = await playLeaderChain(7)
 */
export async function playLeaderChain (seed: number, kinds: readonly VirtualFault[] = VIRTUAL_FAULTS): Promise<ChainOutcome> {
  const cell = VirtualCell.create(seed, { members: MEMBERS, targets: TARGETS })
  const faults: string[] = []
  try {
    scheduleFaults(cell, kinds, faults)
    scheduleJobs(cell)
    await cell.time.advance(END_MS)
    cell.history.checkEnds()
    return { violations: cell.violations, faults, terms: countTerms(cell), starts: cell.history.starts, accepted: cell.acceptedJobs.size, unfinished: findUnfinished(cell), lateWrites: cell.store.counts.lateApplied, cell }
  } finally {
    cell.close()
  }
}

function scheduleFaults (cell: VirtualCell, kinds: readonly VirtualFault[], faults: string[]): void {
  const { random, time } = cell
  const isSeries = random.next() < SERIES_RATIO
  time.schedule(random.nextInt(isSeries ? MAX_FAULT_INTERVAL_MS / 4 : MAX_FAULT_INTERVAL_MS), () => {
    if (time.nowMs > FAULTS_UNTIL_MS) return
    const fault = kinds[random.nextInt(kinds.length)]!
    faults.push(`${Math.round(time.nowMs)} ${fault.name}`)
    fault.begin(cell)
    scheduleFaults(cell, kinds, faults)
  })
}

function scheduleJobs (cell: VirtualCell, number = 0): void {
  const { random, time } = cell
  time.schedule(random.nextInt(MAX_SUBMISSION_INTERVAL_MS), () => {
    if (time.nowMs > FAULTS_UNTIL_MS) return
    const counts = Array.from({ length: 1 + random.nextInt(2) }, () => 1 + random.nextInt(3))
    const pickHost = (): VirtualCell['hosts'][number] => cell.hosts[random.nextInt(cell.hosts.length)]!
    cell.submit(pickHost(), `j${number}`, counts, 1 + random.nextInt(random.next() < LONG_RATIO ? MAX_LONG_TASK_MS : MAX_TASK_MS))
    if (random.nextInt(8) === 0) cell.cancel(pickHost(), `j${random.nextInt(number + 1)}`)
    scheduleJobs(cell, number + 1)
  })
}

function countTerms (cell: VirtualCell): number {
  return cell.logs.filter(({ message }) => message === 'leadership-won').length
}

function findUnfinished (cell: VirtualCell): readonly string[] {
  const owed = [...cell.acceptedJobs].filter((id) => !cell.cancelledJobs.has(id))
  return owed.map((id) => `${id} ${cell.store.readPhase(id) ?? 'without a record'}`).filter((text) => !text.endsWith(' completed'))
}
