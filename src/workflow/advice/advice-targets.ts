import { countTargetsForLastAttempts } from '../attempts/targets-for-last-attempts.ts'
import { findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { getOpenTargets } from '../room/open-targets.ts'
import type { OpenTargets } from '../room/open-targets.ts'
import { computeScore, isUnwantedByAll } from '../room/placement.ts'
import { countStartableTasks } from '../order/startable.ts'
import { countFreeSlots, isSuitable } from '../room/target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import { acceptsTaskOf } from '../room/task-acceptance.ts'
import type { StepRun } from '../task.ts'

/** Ratio of requested targets that is expected to be allowed until the first response for the queue. */
const DEFAULT_ALLOWED_RATIO = 0.5
/** A request names targets for this many times the waiting tasks, because other steps book capacity in the meantime. */
export const CAPACITY_FACTOR = 2
/** The first request of a step names at least this many targets, so that there is a choice. */
const MIN_FIRST_REQUEST_TARGETS = 8
/**
 * A request of a step that has waited for a channel names more targets, until they take this ratio of the time of the
 * decision: another request for the same step would take that time once more.
 */
const SCARCE_TARGETS_TIME_RATIO = 0.25
/** The best targets are chosen among this many times as many as the request is expected to name. */
const CHOICE_FACTOR = 3
/**
 * Amount by which a hash varies the scores of targets from step to step, as a ratio of a target's capacity, so that steps do
 * not all name the same targets.
 */
const SCORE_SPREAD_RATIO = 0.25
/** Lowers the score of a target that all waiting tasks avoid below that of any other. */
const UNWANTED_PENALTY = 100
/** Weight of the latest response in the moving average of the allowed ratio. */
const ALLOWED_RATIO_SMOOTHING_FACTOR = 0.2

/**
 * `prefetch`: the step is not ready yet, so that its first request may name targets whose capacity is booked now. `changed`:
 * the targets that may have more room since a search that found none; undefined to search all. `neededAt`: when the tickets
 * must still be valid, on the scheduler's clock.
 */
export type TargetSearch = { readonly prefetch: boolean, readonly changed: readonly TargetState[] | undefined, readonly neededAt: number }

/**
 * Selects the targets of an advice request: those with free capacity and without a valid ticket, best score first. It
 * selects no more than the waiting tasks can use, because the advisor takes time for each target.
 */
export function selectAdviceTargets (state: CellState, step: StepRun, { prefetch, changed, neededAt }: TargetSearch): readonly string[] {
  if (changed?.length === 0) return []
  const pool = findQueue(state, step.job.definition)?.pool
  const open = getOpenTargets(state, pool)
  const isFirstRequest = !step.advice.hasResponse
  const hasRoom = open.mayFit(state, step)
  if (!hasRoom && !(prefetch && isFirstRequest)) return []
  const seed = hashText(step.key)
  // Such a gang needs a whole rack, and the free capacity of single targets does not show which racks are suitable.
  if (isFirstRequest && step.spec.gang && step.spec.sameRack) return selectForRack(state, step, open, prefetch)
  const neededSlots = countWantedSlots(state, step) * CAPACITY_FACTOR
  const choice = neededSlots * CHOICE_FACTOR
  const source = changed?.filter(({ entry }) => entry.pool === pool) ?? open.walk(seed)
  const withCapacity = hasRoom ? findCandidates(state, step, source, choice, (target) => acceptsTaskOf(state, target, step) && needsTicket(step, target, neededAt)) : []
  const selectable = withCapacity.length === 0 && prefetch && isFirstRequest ? findCandidates(state, step, open.walk(seed), choice, (target) => needsTicket(step, target, neededAt)) : withCapacity
  return limitToSlots(state, step, sortByScore(state, step, selectable, seed), neededSlots, computeMinTargets(state, step))
}

/** Number of targets that a request of the step names even if fewer are expected to have the needed slots. */
function computeMinTargets (state: CellState, step: StepRun): number {
  const { advice, job } = step
  const minTargets = advice.hasResponse ? countTargetsForLastAttempts(state, step) : MIN_FIRST_REQUEST_TARGETS
  const timings = findQueue(state, job.definition)?.advice
  if (advice.waitsForChannelSince === undefined || timings === undefined) return minTargets
  return Math.max(minTargets, Math.floor(timings.decisionMs * SCARCE_TARGETS_TIME_RATIO / timings.perTargetMs))
}

function selectForRack (state: CellState, step: StepRun, open: OpenTargets, prefetch: boolean): readonly string[] {
  if (!prefetch && !open.targets.some((target) => acceptsTaskOf(state, target, step))) return []
  return open.targets.filter((target) => isSuitable(target, step)).slice(0, state.options.maxAdviceTargets).map(({ id }) => id)
}

/**
 * Finds candidates among the given targets, until they are expected to have `wantedSlots` slots, and all on the rack
 * with its data.
 */
function findCandidates (state: CellState, step: StepRun, targets: Iterable<TargetState>, wantedSlots: number, accepts: (target: TargetState) => boolean): readonly TargetState[] {
  const { dataRack } = step.spec
  const candidates = new Set<TargetState>()
  const minCandidates = Math.max(MIN_FIRST_REQUEST_TARGETS, computeMinTargets(state, step)) * CHOICE_FACTOR
  let expectedSlots = 0
  for (const target of targets) {
    state.passWork.targets += 1
    state.searchBudget -= 1
    const isEnough = expectedSlots >= wantedSlots && candidates.size >= minCandidates
    if (isEnough && dataRack === undefined) break
    if (isEnough && target.entry.rack !== dataRack) continue
    if (!isSuitable(target, step) || !accepts(target)) continue
    candidates.add(target)
    expectedSlots += estimateSlots(state, step, target)
  }
  return [...candidates]
}

/** Whether the advisor may allow the target and no ticket for it is valid at the given time. */
function needsTicket ({ advice }: StepRun, { id, entry }: TargetState, time: number): boolean {
  if (advice.hasResponseFor(id) && !advice.isAllowed(id)) return false
  return advice.findTicket(id, entry.incarnation, time) === undefined
}

/** Number of tasks of the step that are expected to find a slot on the target, given how often the advisor allows one. */
function estimateSlots (state: CellState, step: StepRun, target: TargetState): number {
  const allowedRatio = state.allowedRatios.get(step.job.definition.queue) ?? DEFAULT_ALLOWED_RATIO
  return Math.max(1, countFreeSlots(target, step)) * (step.advice.isAllowed(target.id) ? 1 : allowedRatio)
}

function countWantedSlots (state: CellState, step: StepRun): number {
  return step.spec.speculative ? countStartableTasks(step, state.now) : step.waitingTasks
}

function sortByScore (state: CellState, step: StepRun, targets: readonly TargetState[], seed: number): readonly TargetState[] {
  const scored = targets.map((target, position) => ({ target, score: computeScore(state, target, step) - (isUnwantedByAll(target, step) ? UNWANTED_PENALTY : 0) + SCORE_SPREAD_RATIO * mixToFraction(seed, position) }))
  return scored.sort((left, right) => right.score - left.score).map(({ target }) => target)
}

/** Returns the first targets, as many as are expected to have the needed slots. */
function limitToSlots (state: CellState, step: StepRun, targets: readonly TargetState[], neededSlots: number, minTargets: number): readonly string[] {
  const selected: string[] = []
  let expectedSlots = 0
  for (const target of targets) {
    if (selected.length >= state.options.maxAdviceTargets) break
    if (selected.length >= minTargets && expectedSlots >= neededSlots) break
    selected.push(target.id)
    expectedSlots += estimateSlots(state, step, target)
  }
  return selected
}

const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Hashes a text to an unsigned 32-bit number with FNV-1a. */
function hashText (text: string): number {
  let hash = FNV_OFFSET
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash >>> 0
}

/** Maps a hash and a position to a number from 0 to 1. */
function mixToFraction (hash: number, position: number): number {
  let mixed = Math.imul(hash ^ position, FNV_PRIME)
  mixed = Math.imul(mixed ^ mixed >>> 15, FNV_PRIME)
  return ((mixed ^ mixed >>> 13) >>> 0) / 0xffffffff
}

/** Adds a response to the moving average of the allowed ratio of a queue. */
export function updateAllowedRatio (state: CellState, queue: string, requestedCount: number, allowedCount: number): void {
  if (requestedCount === 0) return
  const previousRatio = state.allowedRatios.get(queue) ?? DEFAULT_ALLOWED_RATIO
  state.allowedRatios.set(queue, previousRatio + ALLOWED_RATIO_SMOOTHING_FACTOR * (allowedCount / requestedCount - previousRatio))
}
