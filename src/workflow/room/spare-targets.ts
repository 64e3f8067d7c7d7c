import { findQueue, recordRoom } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { hasRestartedLately } from '../takeover/earlier-leases.ts'
import { needsAdvice } from './placement.ts'
import { hasStartableTask } from '../order/startable.ts'
import { acceptsWork, isSuitable } from './target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'
import { removeOutdatedStarts } from '../commands/unanswered-starts.ts'

/** Whether nothing that was started on a target can be on its next incarnation. */
export function isEmptiedByRestart (state: CellState, target: TargetState): boolean {
  removeOutdatedStarts(state, target)
  return target.unansweredStarts.size === 0 && target.unknownRunCount === 0 && [...target.runs.values()].every(({ endsWithTarget }) => endsWithTarget)
}

/** Whether another target of its pool accepts work. */
export function hasOpenTargetBeside (state: CellState, target: TargetState): boolean {
  for (const other of state.targets.values()) {
    if (other !== target && other.entry.pool === target.entry.pool && acceptsWork(state, other)) return true
  }
  return false
}

/**
 * Lets spare targets be used whose leases end as early as those of any other, and those that are needed. Returns whether there
 * were any.
 */
export function releaseSpareTargets (state: CellState): boolean {
  const spares = [...state.targets.values()].filter(({ spare }) => spare)
  if (spares.length === 0) return false
  const waiting = [...state.openSteps].filter((step) => waitsForTarget(state, step))
  const released = spares.filter((target) => !hasRestartedLately(state, target) || !hasOpenTargetBeside(state, target) || waiting.some((step) => mayUse(state, step, target)))
  for (const target of released) {
    target.spare = false
    recordRoom(state, target)
  }
  return released.length > 0
}

/** Whether a step has found no room, or may have found no target that it could ask advice for. */
function waitsForTarget (state: CellState, step: StepRun): boolean {
  if (!step.job.active || !step.ready || !hasStartableTask(step, state.now)) return false
  return step.blockedBy === 'no-room' || (needsAdvice(state, step) && !step.advice.hasResponse)
}

function mayUse (state: CellState, step: StepRun, target: TargetState): boolean {
  return findQueue(state, step.job.definition)?.pool === target.entry.pool && isSuitable(target, step)
}
