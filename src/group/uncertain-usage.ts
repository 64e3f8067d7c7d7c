import type { TeamName } from '../model/ids.ts'
import { add, NO_RESOURCES, RESOURCE_NAMES, type ResourceName, type Resources } from '../model/resources.ts'
import { applySchedulerEvent } from './apply-scheduler-event.ts'
import type { GroupState } from './state.ts'

/**
 * Returns the most that a team may use in this group: what the scheduler has booked plus what tasks of a previous owner
 * may still use on targets that have not listed their tasks yet. Without the second part, the keeper would grant these
 * resources to other groups while the tasks run.
 *
 * @example
 * getClaimedUsage(state, 'stock')
 */
export function getClaimedUsage (state: GroupState, team: TeamName): Resources {
  return add(state.scheduler.usage(team), computeUncertainUsage(state, team))
}

/**
 * Applies a changed grant. The scheduler does not get the part that tasks may use on targets that have not listed them
 * yet.
 *
 * @example
 * changeGrant(state, now, 'stock', amount)
 */
export function changeGrant (state: GroupState, now: number, team: TeamName, amount: Resources): void {
  state.grants.set(team, amount)
  applyGrant(state, now, team, amount)
}

/**
 * Applies all grants to the scheduler again when the number of targets with uncertain usage has changed.
 *
 * @example
 * reapplyGrants(state, now)
 */
export function reapplyGrants (state: GroupState, now: number): void {
  const count = getUncertainCapacities(state).length
  if (count === state.uncertainTargetCount) return
  state.uncertainTargetCount = count
  for (const [team, amount] of state.grants) applyGrant(state, now, team, amount)
}

function applyGrant (state: GroupState, now: number, team: TeamName, amount: Resources): void {
  const uncertain = computeUncertainUsage(state, team)
  const used = state.scheduler.usage(team)
  // Not below what already runs within the grant, because the scheduler stops work that exceeds its grant.
  const usable = buildResources((name) => Math.max(amount[name] - uncertain[name], Math.min(used[name], amount[name])))
  applySchedulerEvent(state, { type: 'grant-changed', now, team, amount: usable })
}

function computeUncertainUsage (state: GroupState, team: TeamName): Resources {
  const capacities = getUncertainCapacities(state)
  if (capacities.length === 0) return NO_RESOURCES
  const capacity = capacities.reduce<Resources>((sum, targetCapacity) => add(sum, targetCapacity), NO_RESOURCES)
  const limit = state.configuration.teams.get(team)?.limit ?? NO_RESOURCES
  return buildResources((name) => Math.min(capacity[name], limit[name]))
}

function getUncertainCapacities (state: GroupState): readonly Resources[] {
  const capacities: Resources[] = []
  for (const id of state.recovery.inheritedTargets) {
    const session = state.sessions.get(id)
    if (session?.phase === 'unlisted') capacities.push(session.target.capacity)
  }
  return capacities
}

function buildResources (amount: (name: ResourceName) => number): Resources {
  const entries = RESOURCE_NAMES.map((name) => [name, amount(name)])
  return Object.fromEntries(entries) as Resources
}
