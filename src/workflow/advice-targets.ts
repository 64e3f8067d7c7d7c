import type { CellState } from './cell-state.ts'
import { acceptsTaskOf, computeScore, countFreeSlots, acceptsWork } from './placement.ts'
import { isStartable } from './startable.ts'
import type { TargetState } from './target-state.ts'
import type { StepRun } from './task.ts'

/** Ratio of requested targets that is expected to be allowed until the first response for the queue. */
const DEFAULT_ALLOWED_RATIO = 0.5
/** A request names targets for this many times the waiting tasks, because other steps book capacity in the meantime. */
const CAPACITY_FACTOR = 2
/** The first request of a step names at least this many targets, so that there is a choice. */
const MIN_FIRST_REQUEST_TARGETS = 8
/**
 * Amount by which a hash varies the scores of targets from step to step, as a ratio of a target's capacity, so that steps do
 * not all name the same targets.
 */
const SCORE_SPREAD_RATIO = 0.25
/** Weight of the latest response in the moving average of the allowed ratio. */
const ALLOWED_RATIO_SMOOTHING_FACTOR = 0.2

/**
 * Selects the targets of an advice request: those with free capacity and without a valid ticket, best score first. It
 * selects no more than the waiting tasks can use, because the advisor takes time for each target.
 */
export function selectAdviceTargets (state: CellState, step: StepRun, candidates: readonly TargetState[]): readonly string[] {
  const usable = candidates.filter((target) => acceptsWork(state, target) && mayBeAllowed(step, target) &&
    step.advice.findTicket(target.id, target.entry.incarnation, state.now) === undefined)
  const withCapacity = usable.filter((target) => acceptsTaskOf(state, target, step))
  const isFirstRequest = !step.advice.hasResponse
  const selectable = withCapacity.length === 0 && isFirstRequest ? usable : withCapacity
  // Such a gang needs a whole rack, and the free capacity of single targets does not show which racks are suitable.
  if (isFirstRequest && step.spec.gang && step.spec.sameRack) return usable.slice(0, state.options.maxAdviceTargets).map(({ id }) => id)
  return limitToWaitingTasks(state, step, sortByScore(state, step, selectable), isFirstRequest ? MIN_FIRST_REQUEST_TARGETS : 1)
}

function mayBeAllowed ({ advice }: StepRun, { id }: TargetState): boolean {
  return advice.isAllowed(id) || !advice.hasResponseFor(id)
}

function sortByScore (state: CellState, step: StepRun, targets: readonly TargetState[]): readonly TargetState[] {
  const scored = targets.map((target) => ({ target, score: computeScore(state, target, step) + SCORE_SPREAD_RATIO * hashToFraction(`${step.key} ${target.id}`) }))
  return scored.sort((left, right) => right.score - left.score).map(({ target }) => target)
}

/** Returns the first targets, as many as are expected to have capacity for all waiting tasks. */
function limitToWaitingTasks (state: CellState, step: StepRun, targets: readonly TargetState[], minTargets: number): readonly string[] {
  const waiting = step.tasks.filter((task) => isStartable(task, state.now)).length
  const allowedRatio = state.allowedRatios.get(step.job.definition.queue) ?? DEFAULT_ALLOWED_RATIO
  const selected: string[] = []
  let expectedSlots = 0
  for (const target of targets) {
    if (selected.length >= state.options.maxAdviceTargets) break
    if (selected.length >= minTargets && expectedSlots >= waiting * CAPACITY_FACTOR) break
    selected.push(target.id)
    expectedSlots += Math.max(1, countFreeSlots(target, step)) * (step.advice.isAllowed(target.id) ? 1 : allowedRatio)
  }
  return selected
}

/** Maps a text to a number from 0 to 1 with the FNV-1a hash. */
function hashToFraction (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  return (hash >>> 0) / 0xffffffff
}

/** Adds a response to the moving average of the allowed ratio of a queue. */
export function updateAllowedRatio (state: CellState, queue: string, requestedCount: number, allowedCount: number): void {
  if (requestedCount === 0) return
  const previousRatio = state.allowedRatios.get(queue) ?? DEFAULT_ALLOWED_RATIO
  state.allowedRatios.set(queue, previousRatio + ALLOWED_RATIO_SMOOTHING_FACTOR * (allowedCount / requestedCount - previousRatio))
}
