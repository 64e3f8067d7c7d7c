import type { CellState } from '../cell-state.ts'
import { findQueue } from '../cell-state.ts'
import { computeLeasesExpiry } from '../takeover/expired-leases.ts'
import { computeTotalDemand } from '../room/gang-placement.ts'
import type { LiveRun } from '../live-run.ts'
import { checkMaximum } from '../room/organisation-maximum.ts'
import { needsAdvice } from '../room/placement.ts'
import { computeRemainingPauseMs } from '../commands/start-refusal.ts'
import type { StepRun, Task } from '../task.ts'

/** Why a task that lasts has no run, or none that its target confirms. */
export type TaskWait =
  /** It may still run where a previous owner started it: on a target that has not been listed. */
  | { readonly type: 'earlier-runs' }
  /** It may still run on closed targets of a previous owner that have not been listed. */
  | { readonly type: 'held-back', readonly targets: ReadonlySet<string> }
  /** Its run is booked on a target that does not answer, until the leases there have expired. */
  | { readonly type: 'silent-target', readonly live: LiveRun, readonly remainingMs: number }
  /** The leases there have expired, but this owner was not certainly alone after that. */
  | { readonly type: 'lease-unconfirmed', readonly live: LiveRun }
  /** Its target has restarted without it, but this owner was not certainly alone after that. */
  | { readonly type: 'restart-unconfirmed', readonly live: LiveRun }
  /** Its start has had no answer. */
  | { readonly type: 'starting', readonly live: LiveRun }
  /** Its run is being stopped. */
  | { readonly type: 'stopping', readonly live: LiveRun }
  /** Another member of its gang cannot start. */
  | { readonly type: 'gang-member', readonly member: Task }
  /** Targets have refused its starts. */
  | { readonly type: 'refused', readonly remainingMs: number }
  | StepWait

/** Why no task of a step starts: its queue, the maximum of its organisation, advice or room. */
export type StepWait =
  | { readonly type: 'unknown-queue' }
  /** The maximum of its organisation has no room. */
  | { readonly type: 'maximum' }
  /** What is left of the maximum is kept for urgent jobs. */
  | { readonly type: 'reserve' }
  /** What is left of the maximum is kept for jobs within the share of submissions. */
  | { readonly type: 'share' }
  /** A request has had no response from the advisor. */
  | { readonly type: 'advice-pending' }
  | { readonly type: 'no-advice-channel' }
  /** It has no ticket, and no target to ask for has room. */
  | { readonly type: 'no-ticket' }
  | { readonly type: 'no-room' }

/**
 * Finds why a task that lasts does not run; undefined if a target confirms a run of it.
 *
 * @example
 * const wait = findTaskWait(state, task)
 * if (wait !== undefined) log(state, 'info', 'task-without-run', formatTaskWait(state, task, wait))
 */
export function findTaskWait (state: CellState, task: Task): TaskWait | undefined {
  if (task.runs.size > 0) return findRunWait(state, task)
  const { step } = task
  if (step.job.restored && state.earlierRunsPossible) return { type: 'earlier-runs' }
  const targets = state.heldBackTasks.get(task)
  if (targets !== undefined) return { type: 'held-back', targets }
  const remainingMs = computeRemainingPauseMs(task, state.now)
  if (remainingMs > 0) return { type: 'refused', remainingMs }
  const member = step.spec.gang ? [...step.tasks.known()].find((other) => other !== task && !mayStartWithGang(state, other)) : undefined
  return member === undefined ? findStepWait(state, step) : { type: 'gang-member', member }
}

/** Finds why none of the runs of the task counts as one; undefined if one does. */
function findRunWait (state: CellState, task: Task): TaskWait | undefined {
  const waits: TaskWait[] = []
  for (const live of task.runs) {
    const wait = findLiveWait(state, live)
    if (wait === undefined) return undefined
    waits.push(wait)
  }
  return waits[0]
}

function findLiveWait (state: CellState, live: LiveRun): TaskWait | undefined {
  const { target, phase } = live
  if (!target.reachable) {
    const remainingMs = computeLeasesExpiry(state, target) - state.now
    return remainingMs > 0 ? { type: 'silent-target', live, remainingMs } : { type: 'lease-unconfirmed', live }
  }
  if (state.runsLostByRestarts.has(live)) return { type: 'restart-unconfirmed', live }
  return phase === 'running' ? undefined : { type: phase, live }
}

function mayStartWithGang (state: CellState, task: Task): boolean {
  return task.phase === 'waiting' && !state.heldBackTasks.has(task) && computeRemainingPauseMs(task, state.now) === 0
}

/** Finds why the last start pass started no task of the step. */
function findStepWait (state: CellState, step: StepRun): StepWait {
  const { advice } = step
  if (findQueue(state, step.job.definition) === undefined) return { type: 'unknown-queue' }
  const check = checkMaximum(state, step, step.spec.gang ? computeTotalDemand(step) : step.spec.demand)
  if (check === 'exceeded') return { type: 'maximum' }
  if (check === 'reserved') return { type: step.job.exceedsShare ? 'share' : 'reserve' }
  if (!needsAdvice(state, step)) return { type: 'no-room' }
  if (advice.requestPending) return { type: 'advice-pending' }
  if (advice.waitsForChannelSince !== undefined) return { type: 'no-advice-channel' }
  return { type: advice.findTargetsWithTicket(state.now).length === 0 ? 'no-ticket' : 'no-room' }
}
