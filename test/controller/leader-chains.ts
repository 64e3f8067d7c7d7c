import type { JobMemory } from '../../src/workflow/held-jobs.ts'
import { VirtualCell } from './virtual-cell.ts'
import { VIRTUAL_FAULTS } from './virtual-faults.ts'
import type { VirtualFault } from './virtual-faults.ts'
import { VirtualLiveness } from './virtual-liveness.ts'

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
const LASTING_TASKS = 3
const FIRST_LASTING_AT_MS = 1_000
/** After this time without an acceptance the tasks that last are submitted again, as another job. */
const RESUBMIT_AFTER_MS = 3_500
/** The tasks that last are cancelled this time before the end, in milliseconds. */
const CANCEL_TIME_MS = 6_000
const LONGEST_LEASE_MS = 10_000

export type ChainOptions = {
  readonly endMs?: number
  /** Whether a command that an incarnation has not carried out yet ends with it; else the next one carries it out. */
  readonly lateCommandsEndWithTarget?: boolean
  /** Targets that close each connection after their answer. */
  readonly closingIds?: ReadonlySet<string>
  /** Whether members call the store through others while it refuses them alone. */
  readonly hasDetour?: boolean
  /** Memory of a leader for jobs; without it, the default one. */
  readonly jobMemory?: JobMemory
}

/** What a chain of leaders has shown. */
export type ChainOutcome = {
  readonly violations: readonly string[]
  readonly faults: readonly string[]
  readonly terms: number
  readonly starts: number
  readonly accepted: number
  /** Jobs that were accepted, not cancelled, and have not ended. */
  readonly unfinished: readonly string[]
  /** What was not started in time. */
  readonly delays: readonly string[]
  readonly lateWrites: number
  readonly cell: VirtualCell
}

/**
 * Plays random faults of members, of the store and of the ways between them, while jobs are submitted.
 *
 * @example
 * const { violations } = await playLeaderChain(7)
 */
export async function playLeaderChain (seed: number, kinds: readonly VirtualFault[] = VIRTUAL_FAULTS, { endMs = END_MS, lateCommandsEndWithTarget = false, closingIds = new Set(), hasDetour = false, jobMemory }: ChainOptions = {}): Promise<ChainOutcome> {
  const cell = VirtualCell.create(seed, { members: MEMBERS, targets: TARGETS, longestLeaseMs: LONGEST_LEASE_MS, hasDetour, ...jobMemory !== undefined && { jobMemory } })
  const faults: string[] = []
  cell.targets.lateCommandsEndWithTarget = lateCommandsEndWithTarget
  cell.targets.closingIds = closingIds
  try {
    scheduleFaults(cell, kinds, faults)
    scheduleJobs(cell)
    scheduleLastingJob(cell)
    const liveness = VirtualLiveness.start(cell)
    await cell.time.advance(endMs - CANCEL_TIME_MS)
    cancelLastingJobs(cell)
    await cell.time.advance(CANCEL_TIME_MS)
    cell.history.checkEnds()
    return { violations: cell.violations, faults, terms: countTerms(cell), starts: cell.history.starts, accepted: cell.acceptedJobs.size, unfinished: [...findUnfinished(cell), ...findLastingRuns(cell)], delays: liveness.finish(), lateWrites: cell.store.counts.lateApplied, cell }
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

/** Submits tasks that last until the end; again, as another job, if they are not accepted. */
function scheduleLastingJob (cell: VirtualCell, number = 0): void {
  const { hosts, random, time } = cell
  time.schedule(number === 0 ? FIRST_LASTING_AT_MS : RESUBMIT_AFTER_MS, () => {
    if (cell.acceptances.some(({ definition }) => isLasting(definition.id)) || time.nowMs > FAULTS_UNTIL_MS) return
    cell.submitLasting(hosts[random.nextInt(hosts.length)]!, `lasting${number}`, LASTING_TASKS)
    scheduleLastingJob(cell, number + 1)
  })
}

function cancelLastingJobs (cell: VirtualCell): void {
  for (const { definition: { id } } of cell.acceptances) {
    if (isLasting(id)) cell.cancel(cell.hosts[0]!, id)
  }
}

/** The runs of accepted tasks that last after their job was cancelled. */
function findLastingRuns (cell: VirtualCell): readonly string[] {
  const tasks = [...cell.targets.targets.values()].flatMap(({ runs }) => [...runs.keys()])
  return tasks.filter((task) => cell.cancelledJobs.has(task.split('.')[0]!)).map((task) => `${task} runs on`)
}

function isLasting (id: string): boolean {
  return id.startsWith('lasting')
}

function countTerms (cell: VirtualCell): number {
  return cell.logs.filter(({ message }) => message === 'leadership-won').length
}

function findUnfinished (cell: VirtualCell): readonly string[] {
  const owed = [...cell.acceptedJobs].filter((id) => !cell.cancelledJobs.has(id))
  return owed.map((id) => `${id} ${cell.store.readPhase(id) ?? 'without a record'}`).filter((text) => !text.endsWith(' completed'))
}
