import { fits, type Resources } from '../model/resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { TaskCompletion } from './event.ts'
import { failsOnMostTargets, getOrCreateFamily, recordFamilyOutcome } from './family.ts'
import { type Domain, acceptsWork, type TargetState } from './fleet.ts'
import { startNextTask } from './placement.ts'
import type { ShapeQueue } from './queue.ts'
import type { Job, Task } from './task.ts'

/** Maximum number of completions kept for each target, and how long they count. */
const MAX_COMPLETIONS_PER_TARGET = 32
const COMPLETION_RETENTION_MS = 120_000
/** Number of families that must have failed on a target; lower, down to the minimum, when the group has run fewer families. */
const REQUIRED_FAILED_FAMILIES = 3
const MIN_REQUIRED_FAILED_FAMILIES = 2
/** Minimum ratio of failures among the recent completions on a target. */
const MIN_FAILED_RATIO = 0.7
/** Maximum fraction of the targets of a failure domain that may be in quarantine; one target always may. */
const MAX_QUARANTINED_RATIO = 0.1
const FIRST_PROBE_DELAY_MS = 10_000
const MAX_PROBE_DELAY_MS = 600_000
/** A target for which there was no work to probe it in this time is readmitted: a gang may wait for exactly this target. */
const PROBE_OVERDUE_MS = 60_000
/** Number of consecutive successful probes after which a target is readmitted. */
const REQUIRED_SUCCESSFUL_PROBES = 2
/** Maximum number of targets probed in one tick, and of queues read to find work for a probe. */
const MAX_PROBES_PER_TICK = 4
const MAX_QUEUES_READ = 64

/** Result of a run of a family on a target. */
export type TargetCompletion = { readonly family: string, readonly succeeded: boolean, readonly at: number }

/** State of a target in quarantine. */
export type Quarantine = {
  /** Time from which on the next probe may start. */
  probeAt: number
  /** Number of failed probes, from which the delay of the next one is computed. */
  failedProbes: number
  /** Number of successful probes since the last failed one. */
  successfulProbes: number
  /** Task that currently runs as a probe. */
  probe: Task | undefined
}

/** Updates the health of a target after a task ended there; may quarantine or readmit the target. */
export function updateTargetHealth (state: SchedulerState, task: Task, completion: TaskCompletion): void {
  const { target, job: { work } } = task
  if (completion === 'succeeded') state.retries.recordSuccess(work.queue, state.now)
  const quarantine = state.quarantines.get(target)
  if (quarantine?.probe === task) return handleProbeCompletion(state, target, quarantine, completion)
  if (completion !== 'succeeded' && completion !== 'failed') return
  const succeeded = completion === 'succeeded'
  recordFamilyOutcome(getOrCreateFamily(state, work.family), target, succeeded)
  const history = target.completions
  history.push({ family: work.family, succeeded, at: state.now })
  if (history.length > MAX_COMPLETIONS_PER_TARGET) history.shift()
  if (!succeeded && quarantine === undefined && failsAcrossFamilies(state, history)) quarantineTarget(state, target)
}

/** Whether most recent completions are failures, of several families that run successfully on other targets. */
function failsAcrossFamilies (state: SchedulerState, history: readonly TargetCompletion[]): boolean {
  const recent = history.filter(({ at, family }) => at > state.now - COMPLETION_RETENTION_MS && !failsOnMostTargets(getOrCreateFamily(state, family)))
  const failed = recent.filter(({ succeeded }) => !succeeded)
  const families = new Set(failed.map(({ family }) => family))
  const needed = Math.max(MIN_REQUIRED_FAILED_FAMILIES, Math.min(REQUIRED_FAILED_FAMILIES, state.families.size))
  return families.size >= needed && failed.length >= MIN_FAILED_RATIO * recent.length
}

function quarantineTarget (state: SchedulerState, target: TargetState): void {
  if (target.removed) return
  if (!canQuarantine(state, target.domain)) {
    state.emitCount('quarantine-refused', 'domain-part')
    return
  }
  state.fleet.setQuarantined(target, true)
  state.quarantines.set(target, { probeAt: computeProbeTime(state, 0), failedProbes: 0, successfulProbes: 0, probe: undefined })
  state.emit({ type: 'quarantined', targetId: target.id })
  state.emit({ type: 'log', level: 'warn', message: 'target-quarantined', fields: { targetId: target.id } })
}

function canQuarantine (state: SchedulerState, domain: Domain): boolean {
  let count = 0
  for (const target of state.quarantines.keys()) if (target.domain === domain) count += 1
  return count < Math.max(1, Math.floor(domain.targets.length * MAX_QUARANTINED_RATIO))
}

function computeProbeTime (state: SchedulerState, failedProbes: number): number {
  const delayMs = Math.min(MAX_PROBE_DELAY_MS, FIRST_PROBE_DELAY_MS * 2 ** failedProbes)
  return state.now + delayMs * (0.75 + state.random.next() / 2)
}

function handleProbeCompletion (state: SchedulerState, target: TargetState, quarantine: Quarantine, completion: TaskCompletion): void {
  quarantine.probe = undefined
  if (completion === 'succeeded') {
    quarantine.successfulProbes += 1
    quarantine.probeAt = state.now
    if (quarantine.successfulProbes >= REQUIRED_SUCCESSFUL_PROBES) readmitTarget(state, target)
  } else if (completion !== 'stopped') {
    quarantine.successfulProbes = 0
    quarantine.failedProbes += 1
    quarantine.probeAt = computeProbeTime(state, quarantine.failedProbes)
  }
}

function readmitTarget (state: SchedulerState, target: TargetState): void {
  state.quarantines.delete(target)
  target.completions.length = 0
  state.fleet.setQuarantined(target, false)
  state.readiness.unblockForTarget(target)
  state.emit({ type: 'readmitted', targetId: target.id })
  state.emit({ type: 'log', level: 'info', message: 'target-readmitted', fields: { targetId: target.id } })
}

/** Starts waiting idempotent work on quarantined targets whose probe is due. */
export function probeQuarantinedTargets (state: SchedulerState): void {
  let remaining = MAX_PROBES_PER_TICK
  for (const [target, quarantine] of state.quarantines) {
    if (target.removed) state.quarantines.delete(target)
    if (remaining === 0 || !isProbeDue(state, target, quarantine)) continue
    remaining -= 1
    const queue = findProbeQueue(state, target)
    if (queue !== undefined) startNextTask(state, queue.head!, target)
    else if (state.now - quarantine.probeAt > PROBE_OVERDUE_MS) readmitTarget(state, target)
  }
}

function isProbeDue (state: SchedulerState, target: TargetState, { probe, probeAt }: Quarantine): boolean {
  return probe === undefined && probeAt <= state.now && !target.removed && !target.domain.out && target.target.state === 'live'
}

function findProbeQueue (state: SchedulerState, target: TargetState): ShapeQueue | undefined {
  let readCount = 0
  for (const team of state.teams.byName.values()) {
    for (const queue of team.queues.values()) {
      readCount += 1
      if (readCount > MAX_QUEUES_READ) return undefined
      if (canProbeFromQueue(state, queue, target)) return queue
    }
  }
  return undefined
}

function canProbeFromQueue (state: SchedulerState, queue: ShapeQueue, target: TargetState): boolean {
  return queue.head !== undefined && isProbeCandidate(queue.head) && fits(queue.shape.booked, target.free) &&
    state.fitsGrant(queue.team, queue.shape.declared) && state.leavesUrgentReserve(queue.shape.booked)
}

/** Whether the job may be used as a probe: idempotent batch work that is not urgent; a request could miss its deadline. */
function isProbeCandidate ({ work }: Job): boolean {
  return work.idempotent && !work.urgent && work.kind === 'batch'
}

/** Finds a quarantined target whose probe is due and on which a task of the job fits, if the job may be used as a probe. */
export function findTargetToProbe (state: SchedulerState, job: Job, wanted: Resources): TargetState | undefined {
  if (state.quarantines.size === 0 || !isProbeCandidate(job)) return undefined
  for (const [target, quarantine] of state.quarantines) {
    if (isProbeDue(state, target, quarantine) && fits(wanted, target.free)) return target
  }
  return undefined
}

/** Records a start on a quarantined target as its probe. */
export function recordProbe (state: SchedulerState, task: Task): void {
  if (acceptsWork(task.target)) return
  const quarantine = state.quarantines.get(task.target)
  if (quarantine !== undefined) quarantine.probe = task
}
