import type { FailureDomainName, TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import type { SchedulerState } from './scheduler-state.ts'
import { updateEvacuation } from './evacuation.ts'

/** Adds or changes a target, and unblocks work that fits on it. */
export function upsertTarget (state: SchedulerState, target: Target): void {
  const targetState = state.fleet.upsert(target)
  updateEvacuation(state, targetState)
  state.readiness.unblockForTarget(targetState)
}

/** Removes a lost target; its tasks stay booked until they are reported as ended. */
export function removeTarget (state: SchedulerState, targetId: TargetId): void {
  const targetState = state.fleet.remove(targetId)
  if (targetState !== undefined) updateEvacuation(state, targetState)
}

/** Excludes a failure domain from placement, or includes it again. */
export function changeDomain (state: SchedulerState, name: FailureDomainName, out: boolean): void {
  const domain = state.fleet.setDomainOut(name, out)
  for (const target of domain.targets) updateEvacuation(state, target)
  if (!out) state.readiness.unblockAllTeams()
}
