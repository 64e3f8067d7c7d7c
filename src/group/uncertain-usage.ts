import type { TeamName } from '../model/ids.ts'
import { add, NO_RESOURCES, RESOURCE_NAMES, type ResourceName, type Resources } from '../model/resources.ts'
import { schedule } from './apply-scheduler-event.ts'
import type { GroupState } from './state.ts'

/**
 * What a team uses here at most: what the scheduler has booked, and what tasks of an earlier owner may still use on
 * targets that are not listed yet. Without the second part, the keeper would give it to other groups while it runs.
 *
 * @example
 * claimedUsage(state, 'stock')
 */
export function claimedUsage (state: GroupState, team: TeamName): Resources {
  return add(state.scheduler.usage(team), uncertainUsage(state, team))
}

/**
 * Takes a grant; the part that tasks on targets not listed yet may use is kept from the scheduler.
 *
 * @example
 * changeGrant(state, now, 'stock', amount)
 */
export function changeGrant (state: GroupState, now: number, team: TeamName, amount: Resources): void {
  state.grants.set(team, amount)
  applyGrant(state, now, team, amount)
}

/**
 * Gives the scheduler the whole grants again when fewer targets are uncertain than before.
 *
 * @example
 * reapplyGrants(state, now)
 */
export function reapplyGrants (state: GroupState, now: number): void {
  const count = uncertainTargets(state).length
  if (count === state.uncertainTargets) return
  state.uncertainTargets = count
  for (const [team, amount] of state.grants) applyGrant(state, now, team, amount)
}

function applyGrant (state: GroupState, now: number, team: TeamName, amount: Resources): void {
  const uncertain = uncertainUsage(state, team)
  const used = state.scheduler.usage(team)
  // Never below what runs, because the scheduler stops work above a grant.
  const usable = combine((name) => Math.max(amount[name] - uncertain[name], Math.min(used[name], amount[name])))
  schedule(state, { type: 'grant-changed', now, team, amount: usable })
}

function uncertainUsage (state: GroupState, team: TeamName): Resources {
  const targets = uncertainTargets(state)
  if (targets.length === 0) return NO_RESOURCES
  const capacity = targets.reduce<Resources>((sum, target) => add(sum, target), NO_RESOURCES)
  const limit = state.configuration.teams.get(team)?.limit ?? NO_RESOURCES
  return combine((name) => Math.min(capacity[name], limit[name]))
}

function uncertainTargets (state: GroupState): readonly Resources[] {
  const capacities: Resources[] = []
  for (const id of state.recovery.inheritedTargets) {
    const session = state.sessions.get(id)
    if (session?.phase === 'unlisted') capacities.push(session.target.capacity)
  }
  return capacities
}

function combine (amount: (name: ResourceName) => number): Resources {
  const entries = RESOURCE_NAMES.map((name) => [name, amount(name)])
  return Object.fromEntries(entries) as Resources
}
