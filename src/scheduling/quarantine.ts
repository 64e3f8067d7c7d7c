import { fits, type Resources } from '../model/resources.ts'
import type { Cell } from './scheduler-state.ts'
import type { TaskEnd } from './event.ts'
import { failsEverywhere, familyOf, noteFamilyOutcome } from './family.ts'
import { type Domain, takesWork, type TargetState } from './fleet.ts'
import { startNext } from './placement.ts'
import type { ShapeQueue } from './queue.ts'
import type { Job, Task } from './task.ts'

/** Ends remembered of each target, and for how long. */
const ENDS_KEPT = 32
const ENDS_KEPT_MS = 120_000
/** Families that must have failed on a target; fewer when the group has run fewer. */
const FAMILIES_NEEDED = 3
const LEAST_FAMILIES_NEEDED = 2
/** Part of the recent ends that must be failures. */
const FAILED_PART_NEEDED = 0.7
/** Most targets of a failure domain in quarantine at once. */
const MOST_OF_DOMAIN = 0.1
const FIRST_PROBE_MS = 10_000
const LONGEST_PROBE_MS = 600_000
/** A target for which no work to probe with came in this time is readmitted: a gang may wait for just this target. */
const PROBE_OVERDUE_MS = 60_000
/** Successful probes in a row that readmit a target. */
const PROBES_NEEDED = 2
/** Targets probed in one tick, and queues read for work to probe with. */
const PROBED_PER_TICK = 4
const QUEUES_READ = 64

/** How a task of a family ended on a target. */
export type TargetEnd = { readonly family: string, readonly succeeded: boolean, readonly at: number }

/** State of a target in quarantine. */
export type Quarantine = {
  probeAt: number
  /** Number of probes that failed. */
  failedProbes: number
  successes: number
  probe: Task | undefined
}

/** Notes what the end of a task says about its target. */
export function noteHealth (cell: Cell, task: Task, end: TaskEnd): void {
  const { target, job: { work } } = task
  if (end === 'succeeded') cell.retries.noteSuccess(work.queue, cell.now)
  const quarantine = cell.quarantine.get(target)
  if (quarantine?.probe === task) return endProbe(cell, target, quarantine, end)
  if (end !== 'succeeded' && end !== 'failed') return
  const succeeded = end === 'succeeded'
  noteFamilyOutcome(familyOf(cell, work.family), target, succeeded)
  const history = target.ends
  history.push({ family: work.family, succeeded, at: cell.now })
  if (history.length > ENDS_KEPT) history.shift()
  if (!succeeded && quarantine === undefined && failsWidely(cell, history)) enterQuarantine(cell, target)
}

/** Whether most recent ends are failures that spread over families which run well elsewhere. */
function failsWidely (cell: Cell, history: readonly TargetEnd[]): boolean {
  const recent = history.filter(({ at, family }) => at > cell.now - ENDS_KEPT_MS && !failsEverywhere(familyOf(cell, family)))
  const failed = recent.filter(({ succeeded }) => !succeeded)
  const families = new Set(failed.map(({ family }) => family))
  const needed = Math.max(LEAST_FAMILIES_NEEDED, Math.min(FAMILIES_NEEDED, cell.families.size))
  return families.size >= needed && failed.length >= FAILED_PART_NEEDED * recent.length
}

function enterQuarantine (cell: Cell, target: TargetState): void {
  if (target.removed) return
  if (!mayQuarantine(cell, target.domain)) {
    cell.count('quarantine-refused', 'domain-part')
    return
  }
  cell.fleet.setQuarantined(target, true)
  cell.quarantine.set(target, { probeAt: probeTime(cell, 0), failedProbes: 0, successes: 0, probe: undefined })
  cell.emit({ type: 'quarantined', targetId: target.id })
  cell.emit({ type: 'log', level: 'warn', message: 'target-quarantined', fields: { targetId: target.id } })
}

function mayQuarantine (cell: Cell, domain: Domain): boolean {
  let count = 0
  for (const target of cell.quarantine.keys()) if (target.domain === domain) count += 1
  return count < Math.max(1, Math.floor(domain.targets.length * MOST_OF_DOMAIN))
}

function probeTime (cell: Cell, failedProbes: number): number {
  const delayMs = Math.min(LONGEST_PROBE_MS, FIRST_PROBE_MS * 2 ** failedProbes)
  return cell.now + delayMs * (0.75 + cell.random.next() / 2)
}

function endProbe (cell: Cell, target: TargetState, quarantine: Quarantine, end: TaskEnd): void {
  quarantine.probe = undefined
  if (end === 'succeeded') {
    quarantine.successes += 1
    quarantine.probeAt = cell.now
    if (quarantine.successes >= PROBES_NEEDED) readmit(cell, target)
  } else if (end !== 'stopped') {
    quarantine.successes = 0
    quarantine.failedProbes += 1
    quarantine.probeAt = probeTime(cell, quarantine.failedProbes)
  }
}

function readmit (cell: Cell, target: TargetState): void {
  cell.quarantine.delete(target)
  target.ends.length = 0
  cell.fleet.setQuarantined(target, false)
  cell.wakeForTarget(target)
  cell.emit({ type: 'readmitted', targetId: target.id })
  cell.emit({ type: 'log', level: 'info', message: 'target-readmitted', fields: { targetId: target.id } })
}

/** Starts waiting idempotent work on quarantined targets whose probe is due. */
export function probeQuarantined (cell: Cell): void {
  let left = PROBED_PER_TICK
  for (const [target, quarantine] of cell.quarantine) {
    if (target.removed) cell.quarantine.delete(target)
    if (left === 0 || !probeIsDue(cell, target, quarantine)) continue
    left -= 1
    const queue = findProbe(cell, target)
    if (queue !== undefined) startNext(cell, queue.head!, target)
    else if (cell.now - quarantine.probeAt > PROBE_OVERDUE_MS) readmit(cell, target)
  }
}

function probeIsDue (cell: Cell, target: TargetState, { probe, probeAt }: Quarantine): boolean {
  return probe === undefined && probeAt <= cell.now && !target.removed && !target.domain.out && target.target.state === 'live'
}

function findProbe (cell: Cell, target: TargetState): ShapeQueue | undefined {
  let read = 0
  for (const team of cell.teams.teams.values()) {
    for (const queue of team.queues.values()) {
      read += 1
      if (read > QUEUES_READ) return undefined
      if (suits(cell, queue, target)) return queue
    }
  }
  return undefined
}

function suits (cell: Cell, queue: ShapeQueue, target: TargetState): boolean {
  return queue.head !== undefined && mayProbe(queue.head) && fits(queue.shape.booked, target.free) &&
    cell.fitsGrant(queue.team, queue.shape.declared) && cell.fitsReserve(queue.shape.booked)
}

/** Batch work that may run again serves as a probe; a request could miss its deadline by one. */
function mayProbe ({ work }: Job): boolean {
  return work.idempotent && !work.urgent && work.kind === 'batch'
}

/** A quarantined target whose probe is due, when the job may probe it; used while no work waits. */
export function probeTarget (cell: Cell, job: Job, wanted: Resources): TargetState | undefined {
  if (cell.quarantine.size === 0 || !mayProbe(job)) return undefined
  for (const [target, quarantine] of cell.quarantine) {
    if (probeIsDue(cell, target, quarantine) && fits(wanted, target.free)) return target
  }
  return undefined
}

/** Notes a start on a quarantined target as its probe. */
export function noteProbe (cell: Cell, task: Task): void {
  if (takesWork(task.target)) return
  const quarantine = cell.quarantine.get(task.target)
  if (quarantine !== undefined) quarantine.probe = task
}
