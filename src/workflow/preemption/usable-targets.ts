import { findQueue } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { getOpenTargets } from '../room/open-targets.ts'
import { needsAdvice } from '../room/placement.ts'
import { isSuitable } from '../room/target-acceptance.ts'
import type { TargetState } from '../target-state.ts'
import type { StepRun } from '../task.ts'

/**
 * The targets that accept work and that the advisor allows for a step, or may allow, whether they have room or not. A ticket may
 * have expired: the step requests another one once there is room.
 */
export function findUsableTargets (state: CellState, step: StepRun): readonly TargetState[] {
  const { targets } = getOpenTargets(state, findQueue(state, step.job.definition)?.pool)
  const isLimited = needsAdvice(state, step) && step.advice.hasResponse
  return targets.filter((target) => (!isLimited || step.advice.isAllowed(target.id)) && isSuitable(target, step))
}
