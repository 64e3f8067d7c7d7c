import type { CellState } from './cell-state.ts'
import { hasRoomNow, scoreOf, slotsOn, takesWork } from './placement.ts'
import { isStartable } from './startable.ts'
import type { TargetState } from './target-state.ts'
import type { StepRun } from './task.ts'

/** Share of the named targets that is expected to be allowed while no answer for the queue is known. */
const UNKNOWN_SHARE = 0.5
/** A question names targets for this many times the tasks that wait: other steps take room meanwhile. */
const ROOM_FACTOR = 2
/** A first question names at least this many targets, so that the step has a choice. */
const LEAST_FIRST = 8
/** Spread of the order in which targets are named, in parts of a target's room, so that steps do not all name the same. */
const SPREAD = 0.25
/** Weight of the newest answer in the share of allowed targets. */
const SHARE_GAIN = 0.2

/**
 * Targets to name in a question: those with room whose tickets are missing, the best first, and no more than the waiting
 * tasks can use, because the advisor takes time for each.
 */
export function targetsToAsk (state: CellState, step: StepRun, candidates: readonly TargetState[]): readonly string[] {
  const usable = candidates.filter((target) => takesWork(state, target) && mayBeAllowed(step, target) &&
    step.advice.ticket(target.id, target.entry.incarnation, state.now) === undefined)
  const withRoom = usable.filter((target) => hasRoomNow(state, target, step))
  const first = !step.advice.answered
  const choice = withRoom.length === 0 && first ? usable : withRoom
  // The members of such a gang need a whole rack, whose targets cannot be told from the others by their room.
  if (first && step.spec.gang && step.spec.sameRack) return usable.slice(0, state.options.adviceTargets).map(({ id }) => id)
  return enough(state, step, inOrder(state, step, choice), first ? LEAST_FIRST : 1)
}

function mayBeAllowed ({ advice }: StepRun, { id }: TargetState): boolean {
  return advice.allows(id) || !advice.knows(id)
}

function inOrder (state: CellState, step: StepRun, targets: readonly TargetState[]): readonly TargetState[] {
  const scored = targets.map((target) => ({ target, score: scoreOf(state, target, step) + SPREAD * fraction(`${step.key} ${target.id}`) }))
  return scored.sort((left, right) => right.score - left.score).map(({ target }) => target)
}

/** The first targets that are expected to have room for all waiting tasks. */
function enough (state: CellState, step: StepRun, targets: readonly TargetState[], least: number): readonly string[] {
  const waiting = step.tasks.filter((task) => isStartable(task, state.now)).length
  const share = state.allowedShare.get(step.job.definition.queue) ?? UNKNOWN_SHARE
  const named: string[] = []
  let expected = 0
  for (const target of targets) {
    if (named.length >= state.options.adviceTargets) break
    if (named.length >= least && expected >= waiting * ROOM_FACTOR) break
    named.push(target.id)
    expected += Math.max(1, slotsOn(target, step)) * (step.advice.allows(target.id) ? 1 : share)
  }
  return named
}

/** A number from 0 to 1 that depends on the text only: FNV-1a. */
function fraction (text: string): number {
  let hash = 0x811c9dc5
  for (let index = 0; index < text.length; index += 1) hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193)
  return (hash >>> 0) / 0xffffffff
}

/** Takes the share of allowed targets in an answer into account. */
export function noteAllowedShare (state: CellState, queue: string, asked: number, allowed: number): void {
  if (asked === 0) return
  const known = state.allowedShare.get(queue) ?? UNKNOWN_SHARE
  state.allowedShare.set(queue, known + SHARE_GAIN * (allowed / asked - known))
}
