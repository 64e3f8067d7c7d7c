import { findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { hasRecentStart } from '../crashes/crash-suspicion.ts'
import { hasRestartedLately } from '../takeover/earlier-leases.ts'
import { getOpenTargets } from './open-targets.ts'
import { hasJustRefused, hasRefused } from '../commands/start-refusal.ts'
import { isSuitable } from './target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import { acceptsTaskOf } from './task-acceptance.ts'
import type { StepRun, Task } from '../task.ts'

/** A target with a higher ratio of recent failures gets no tasks for a while after its last failure. */
const SUSPECT_FAILURE_RATIO = 0.45
/** A task whose next failure ends its job avoids targets with a higher failure ratio for a longer time. */
const TRUSTED_FAILURE_RATIO = 0.2
/**
 * How long a target is avoided after a failure, in milliseconds, for first and last attempts of a task. The time is limited
 * because advice may allow only one target for a step. First attempts return sooner, so that they test the target before
 * last attempts use it.
 */
const FAILURE_PAUSE_MS = { first: 1_500, last: 2_500 } as const

/** Weights in the score of a target, relative to its ratio of free capacity. */
const SCORE_WEIGHTS = { dataRack: 4, interference: 3, failures: 6, warmUp: 1, slowness: 0.5, recentStart: 5, foreignLease: 20, refusal: 40, crash: 30 } as const
/** Upper limit of the excess duration that lowers the score of a target, in multiples of the declared duration. */
const MAX_SLOWNESS_FACTOR = 6

/** Whether the target has a run of the task. */
function hasRunOf (target: TargetState, task: Task): boolean {
  for (const live of task.runs) {
    if (live.target === target) return true
  }
  return false
}

/**
 * Finds the targets on which tasks of the step may start if they have free capacity. For a step that needs advice, these
 * are the targets with a valid ticket; for others none if no target has room.
 */
export function findAllowedTargets (state: CellState, step: StepRun): readonly TargetState[] {
  const pool = findQueue(state, step.job.definition)?.pool
  if (!needsAdvice(state, step)) {
    const open = getOpenTargets(state, pool)
    return open.mayFit(state, step) ? open.targets.filter((target) => isSuitable(target, step)) : []
  }
  return step.advice.findTargetsWithTicket(state.now).flatMap((id) => {
    const target = state.targets.get(id)
    return target !== undefined && target.entry.pool === pool ? [target] : []
  })
}

/** Whether the task may start on the target now, advice included. */
export function canStart (state: CellState, target: TargetState, task: Task): boolean {
  const { step } = task
  if (!acceptsTaskOf(state, target, step) || hasRunOf(target, task)) return false
  return !needsAdvice(state, step) || step.advice.findTicket(target.id, target.entry.incarnation, state.now) !== undefined
}

/** Whether tasks of the step may start only on targets that the advisor allows. */
export function needsAdvice (state: CellState, step: StepRun): boolean {
  return findQueue(state, step.job.definition)?.advice !== undefined
}

/** Chooses the candidate with the highest score on which the task can start, or returns undefined. */
export function chooseTarget (state: CellState, candidates: readonly TargetState[], task: Task): TargetState | undefined {
  let best: TargetState | undefined
  let bestScore = -Infinity
  state.passWork.targets += candidates.length
  for (const target of candidates) {
    if (!canStart(state, target, task) || isAvoided(state, target, task)) continue
    const score = computeScore(state, target, task.step) - computeRiskPenalty(state, target, task) - (hasRefused(target, task) ? SCORE_WEIGHTS.refusal : 0)
    if (score <= bestScore) continue
    best = target
    bestScore = score
  }
  return best
}

/**
 * What runs on a target that may hold a lease of its life before must be waited for longer if the target is gone again soon. A
 * task that may crash its target prefers targets that have not crashed under it, and of these such where nothing else has just
 * started, so that a crash can be attributed; those that have just restarted are such targets.
 */
function computeRiskPenalty (state: CellState, target: TargetState, { crashes }: Task): number {
  if (crashes.isSuspect) return (crashes.includes(target.entry.address) ? SCORE_WEIGHTS.crash : 0) + (hasRecentStart(state, target) ? SCORE_WEIGHTS.recentStart : 0)
  return hasRestartedLately(state, target) ? SCORE_WEIGHTS.foreignLease : 0
}

/** Whether all waiting tasks of the step prefer other targets: this one has refused them, or has crashed under them. */
export function isUnwantedByAll (target: TargetState, { tasks }: StepRun): boolean {
  return tasks.unstartedCount === 0 && [...tasks.known()].every((task) => task.phase !== 'waiting' || hasRefused(target, task) || task.crashes.includes(target.entry.address))
}

/** Whether the task avoids the target because of recent refusals or failures. The last attempt uses trusted targets only. */
function isAvoided (state: CellState, target: TargetState, task: Task): boolean {
  if (hasJustRefused(target, task, state.now)) return true
  if (task.step.spec.longRunning) return false
  const sinceFailureMs = state.now - target.lastFailureAt
  if (sinceFailureMs > FAILURE_PAUSE_MS.last) return false
  const failureRatio = target.computeFailureRatio(state.now)
  if (failureRatio > SUSPECT_FAILURE_RATIO && sinceFailureMs < FAILURE_PAUSE_MS.first) return true
  const limit = findQueue(state, task.step.job.definition)?.maxAttempts ?? 0
  const failures = task.step.spec.gang ? task.step.gangFailedRuns.size : task.failures
  if (failures === 0) return false
  if (task.lastFailedTarget === target.id) return true
  return failures + 1 >= limit && failureRatio > TRUSTED_FAILURE_RATIO
}

/** Computes how well a target suits a task of the step. More remaining capacity gives a higher score. */
export function computeScore (state: CellState, target: TargetState, { spec }: StepRun): number {
  const { capacity, rack, warmUpRemainingMs } = target.entry
  const free = target.getFreeCapacity()
  const cpuLeft = (free.cpuMillis - spec.demand.cpuMillis - target.bestEffortCpuMillis) / capacity.cpuMillis
  const memoryLeft = (free.memoryMiB - spec.demand.memoryMiB) / capacity.memoryMiB
  let score = Math.min(cpuLeft, memoryLeft)
  if (spec.dataRack !== undefined && spec.dataRack === rack) score += SCORE_WEIGHTS.dataRack
  if (spec.fills && target.latencyBoundRuns > 0) score -= SCORE_WEIGHTS.interference
  if (spec.latencyTargetMs > 0 && target.bestEffortCpuMillis > 0) score -= SCORE_WEIGHTS.interference
  if (warmUpRemainingMs > 0) score -= SCORE_WEIGHTS.warmUp
  // What runs there must be waited for longer if the target is gone again soon.
  if (hasRestartedLately(state, target)) score -= SCORE_WEIGHTS.foreignLease
  score -= SCORE_WEIGHTS.slowness * Math.min(MAX_SLOWNESS_FACTOR, Math.max(0, target.slowness - 1))
  return score - SCORE_WEIGHTS.failures * target.computeFailureRatio(state.now)
}
