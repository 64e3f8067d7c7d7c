import { isUrgent, queueOf, usedBy } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { Demand } from './job.ts'
import { sum } from './job.ts'
import type { TargetState } from './target-state.ts'
import type { Job, StepRun, Task } from './task.ts'

/** A target with a larger part of recent failures gets no work for a while after the last one. */
const SUSPECT_FAILURE_SHARE = 0.45
/** A task whose next failure ends its job waits longer for targets that fail more than this. */
const TRUSTED_FAILURE_SHARE = 0.2
/**
 * How long a failure keeps work away, in milliseconds. It must end, because advice may allow a step only one target;
 * first attempts come back sooner and so probe the target for the last ones.
 */
const FAILURE_PAUSE_MS = { first: 1_500, last: 2_500 } as const

/** Parts of an organisation's maximum that work beyond its share, work of queues with priority 0 and other work may use. */
const USABLE_PART = { surplus: 0.6, urgent: 1, other: 0.85 } as const

/** Part of a target that tasks of other queues than those with priority 0 may take. */
const OTHERS_PART = 0.85

const BONUS = { dataRack: 4, serving: 3, failures: 6, cold: 1, slowness: 0.5 } as const
/** A target that takes longer than this many times the declared time counts as no slower. */
const MOST_SLOWNESS = 6

/** Whether the organisation of the job may start tasks of this size in all. */
export function withinMaximum (state: CellState, job: Job, demand: Demand): boolean {
  const { organisation } = job.definition
  const maximum = state.organisations.get(organisation)?.maximum
  if (maximum === undefined) return true
  const used = sum(usedBy(state, organisation), state.uncertain)
  const part = usablePart(state, job)
  return within(used.cpuMillis, demand.cpuMillis, maximum.cpuMillis, part) &&
    within(used.memoryMiB, demand.memoryMiB, maximum.memoryMiB, part) &&
    within(used.accelerators, demand.accelerators, maximum.accelerators, part)
}

/** Less urgent work leaves a part of its organisation's maximum to the urgent work that may come. */
function usablePart (state: CellState, job: Job): number {
  if (job.surplus) return USABLE_PART.surplus
  return isUrgent(state, job.definition) ? USABLE_PART.urgent : USABLE_PART.other
}

/** A single task may be larger than the whole maximum. */
function within (used: number, wanted: number, maximum: number, part: number): boolean {
  return maximum === 0 || wanted === 0 || used === 0 || used + wanted <= maximum * part
}

/** Whether a target takes new work at all. */
export function takesWork (state: CellState, target: TargetState): boolean {
  return target.reachable && target.listed && target.published && target.unknownRuns === 0 && !target.entry.draining &&
    target.pausedUntil <= state.now && !state.domainsOut.has(target.entry.failureDomain) && state.storedTargets.has(target.id)
}

/** Whether a target has room for one task of the step, apart from advice. */
export function hasRoom (target: TargetState, step: StepRun): boolean {
  const { spec } = step
  const free = target.free()
  if (!spec.fills && spec.demand.cpuMillis > free.cpuMillis) return false
  return spec.demand.memoryMiB <= free.memoryMiB && spec.demand.accelerators <= free.accelerators
}

/** How many tasks of the step a target has room for, apart from advice. */
export function slotsOn (target: TargetState, { spec }: StepRun): number {
  const { demand } = spec
  const free = target.free()
  const limit = spec.perTargetLimit === 0 ? Infinity : spec.perTargetLimit
  const byCpu = spec.fills ? Infinity : slots(free.cpuMillis, demand.cpuMillis)
  return Math.min(limit, byCpu, slots(free.memoryMiB, demand.memoryMiB), slots(free.accelerators, demand.accelerators))
}

function slots (free: number, demand: number): number {
  return demand === 0 ? Infinity : Math.floor(free / demand)
}

/** Targets that the step could use if advice allowed it, whatever their present room. */
export function suitableTargets (state: CellState, step: StepRun): readonly TargetState[] {
  const { spec, job } = step
  const pool = queueOf(state, job.definition)?.pool
  return [...state.targets.values()].filter(({ entry }) => (
    entry.pool === pool && (spec.requiredLabel === undefined || entry.labels.includes(spec.requiredLabel)) &&
      spec.demand.memoryMiB <= entry.capacity.memoryMiB && spec.demand.accelerators <= entry.capacity.accelerators &&
      (spec.fills || spec.demand.cpuMillis <= entry.capacity.cpuMillis)
  ))
}

/** Less urgent tasks leave a part of each target to urgent ones; a single one may be larger than that. */
function leavesUrgentRoom (state: CellState, target: TargetState, { spec, job }: StepRun): boolean {
  if (isUrgent(state, job.definition)) return true
  const { capacity } = target.entry
  const { cpuMillis, memoryMiB } = target.bookedByOthers
  const cpuFits = spec.fills || cpuMillis === 0 || cpuMillis + spec.demand.cpuMillis <= capacity.cpuMillis * OTHERS_PART
  return cpuFits && (memoryMiB === 0 || memoryMiB + spec.demand.memoryMiB <= capacity.memoryMiB * OTHERS_PART)
}

/** Whether a task may be put beside the tasks of its step that the target already has. */
function withinPerTargetLimit (target: TargetState, step: StepRun): boolean {
  const limit = step.spec.perTargetLimit
  if (limit === 0) return true
  let present = 0
  for (const live of target.runs.values()) {
    if (live.task.step === step) present += 1
  }
  return present < limit
}

/** Whether a run of the task is present on the target. */
function holds (target: TargetState, task: Task): boolean {
  for (const live of task.runs) {
    if (live.target === target) return true
  }
  return false
}

/** Whether the target takes one more task of the step now, apart from advice. */
export function hasRoomNow (state: CellState, target: TargetState, step: StepRun): boolean {
  return takesWork(state, target) && hasRoom(target, step) && leavesUrgentRoom(state, target, step) && withinPerTargetLimit(target, step)
}

/** Targets on which tasks of the step may start if they have room: for a step with advice those with a valid ticket. */
export function allowedTargets (state: CellState, step: StepRun): readonly TargetState[] {
  if (!needsAdvice(state, step)) return suitableTargets(state, step)
  const pool = queueOf(state, step.job.definition)?.pool
  return step.advice.ticketHolders(state.now).flatMap((id) => {
    const target = state.targets.get(id)
    return target !== undefined && target.entry.pool === pool ? [target] : []
  })
}

/** Whether the task may start on the target now, advice included. */
export function canStart (state: CellState, target: TargetState, task: Task): boolean {
  const { step } = task
  if (!hasRoomNow(state, target, step) || holds(target, task)) return false
  return !needsAdvice(state, step) || step.advice.ticket(target.id, target.entry.incarnation, state.now) !== undefined
}

export function needsAdvice (state: CellState, step: StepRun): boolean {
  return queueOf(state, step.job.definition)?.advice !== undefined
}

/** The best target for a task among the given ones, or undefined. */
export function chooseTarget (state: CellState, candidates: readonly TargetState[], task: Task): TargetState | undefined {
  let best: TargetState | undefined
  let bestScore = -Infinity
  for (const target of candidates) {
    if (!canStart(state, target, task) || isAvoided(state, target, task)) continue
    const score = scoreOf(state, target, task.step)
    if (score <= bestScore) continue
    best = target
    bestScore = score
  }
  return best
}

/** Targets that fail much are left to others; the last attempt goes to trusted targets only. */
function isAvoided (state: CellState, target: TargetState, task: Task): boolean {
  if (task.step.spec.longRunning) return false
  const quietMs = state.now - target.failedAt
  if (quietMs > FAILURE_PAUSE_MS.last) return false
  const share = target.failureShare(state.now)
  if (share > SUSPECT_FAILURE_SHARE && quietMs < FAILURE_PAUSE_MS.first) return true
  const limit = queueOf(state, task.step.job.definition)?.maxAttempts ?? 0
  const failures = task.step.spec.gang ? task.step.gangFailedRuns.size : task.failures
  if (failures === 0) return false
  if (task.failedOn === target.id) return true
  return failures + 1 >= limit && share > TRUSTED_FAILURE_SHARE
}

/** How well a target suits a task of the step; the more room is left, the better. */
export function scoreOf (state: CellState, target: TargetState, { spec }: StepRun): number {
  const { capacity, rack, coldMs } = target.entry
  const free = target.free()
  const cpuLeft = (free.cpuMillis - spec.demand.cpuMillis - target.fillCpuMillis) / capacity.cpuMillis
  const memoryLeft = (free.memoryMiB - spec.demand.memoryMiB) / capacity.memoryMiB
  let score = Math.min(cpuLeft, memoryLeft)
  if (spec.dataRack !== undefined && spec.dataRack === rack) score += BONUS.dataRack
  if (spec.fills && target.serving > 0) score -= BONUS.serving
  if (spec.latencyTargetMs > 0 && target.fillCpuMillis > 0) score -= BONUS.serving
  if (coldMs > 0) score -= BONUS.cold
  score -= BONUS.slowness * Math.min(MOST_SLOWNESS, Math.max(0, target.slowness - 1))
  return score - BONUS.failures * target.failureShare(state.now)
}
