import type { Resources } from '../model/resources.ts'
import { computeDominantShare, fitsWithinLimit, addScaled, createZeroResources } from './mutable-resources.ts'
import type { SchedulerState } from './scheduler-state.ts'
import type { OrganisationState, TeamState } from './team.ts'

/** Interval at which the entitled shares are recalculated. */
const ENTITLEMENT_INTERVAL_MS = 500
/** Maximum age of the entitled shares used to decide on a preemption; a team that is new to the group has none until they are recalculated. */
export const MAX_PREEMPTION_ENTITLEMENT_AGE_MS = 100
/** Time constant of the decay of past excess usage: usage a minute ago counts about an eighth. */
const EXCESS_DECAY_MS = 30_000
/** Maximum ratio of past excess to the entitled share: past usage changes a team's position in the order, but does not starve the team. */
const MAX_EXCESS_RATIO = 0.1
/** Number of bisection steps for the fill level. With 24 steps and a long queue the error exceeded the tolerance of `isAboveShare`. */
const BISECTION_STEPS = 40

/** Demand of one team: as a dominant share, limited by the grant, and as the amounts that correspond to a share of 1. */
type TeamDemand = { readonly team: TeamState, readonly share: number, readonly perShare: Resources }

type OrganisationDemand = { readonly organisation: OrganisationState, readonly share: number, readonly teams: readonly TeamDemand[] }

/**
 * Recalculates the entitled share and the past excess usage of each team and organisation, if the interval has passed.
 *
 * @example
 * updateEntitledShares(state)
 */
export function updateEntitledShares (state: SchedulerState, intervalMs = ENTITLEMENT_INTERVAL_MS): void {
  const elapsedMs = state.now - state.entitledSharesUpdatedAt
  if (elapsedMs < intervalMs) return
  state.entitledSharesUpdatedAt = state.now
  const demands = collectDemands(state)
  const level = findFillLevel(state, demands)
  for (const team of state.teams.byName.values()) team.entitledShare = 0
  distributeShares(demands, level, ({ team }, share) => { team.entitledShare = share })
  const decayFactor = Math.exp(-elapsedMs / EXCESS_DECAY_MS)
  const contended = demands.some(({ organisation, share }) => share > organisation.weight * level)
  for (const team of state.teams.byName.values()) team.pastExcess = computePastExcess(team, decayFactor, contended)
  updateOrganisations(state, decayFactor, contended)
}

function computePastExcess (holder: { readonly share: number, readonly entitledShare: number, readonly pastExcess: number }, decayFactor: number, contended: boolean): number {
  const excess = contended ? holder.share - holder.entitledShare : 0
  const bound = MAX_EXCESS_RATIO * holder.entitledShare
  return Math.max(-bound, Math.min(bound, holder.pastExcess * decayFactor + excess * (1 - decayFactor)))
}

function updateOrganisations (state: SchedulerState, decayFactor: number, contended: boolean): void {
  const entitledShares = new Map<OrganisationState, number>()
  for (const { organisation, entitledShare: teamShare } of state.teams.byName.values()) {
    entitledShares.set(organisation, (entitledShares.get(organisation) ?? 0) + teamShare)
  }
  for (const organisation of state.teams.organisationsByName.values()) {
    organisation.entitledShare = entitledShares.get(organisation) ?? 0
    organisation.pastExcess = computePastExcess(organisation, decayFactor, contended)
  }
}

function collectDemands (state: SchedulerState): readonly OrganisationDemand[] {
  const byOrganisation = new Map<OrganisationState, TeamDemand[]>()
  for (const team of state.teams.byName.values()) {
    const demand = computeDemand(state, team)
    if (demand === undefined) continue
    const teams = byOrganisation.get(team.organisation) ?? []
    teams.push(demand)
    byOrganisation.set(team.organisation, teams)
  }
  return [...byOrganisation].map(([organisation, teams]) => ({
    organisation,
    teams: teams.sort((left, right) => left.share / left.team.settings.weight - right.share / right.team.settings.weight),
    share: teams.reduce((sum, { share }) => sum + share, 0)
  }))
}

function computeDemand (state: SchedulerState, team: TeamState): TeamDemand | undefined {
  const total = createZeroResources()
  addScaled(total, team.used, 1)
  addScaled(total, team.waitingResources, 1)
  const share = computeDominantShare(total, state.fleet.capacity)
  if (share <= 0) return undefined
  const perShare = createZeroResources()
  addScaled(perShare, total, 1 / share)
  return { team, share: share * computeGrantedRatio(total, team.grant), perShare }
}

/** Computes the ratio of the demand that fits in the grant, at most 1. */
function computeGrantedRatio (demand: Resources, grant: Resources): number {
  return Math.min(1,
    computeRatio(grant.cpuMillis, demand.cpuMillis),
    computeRatio(grant.memoryMiB, demand.memoryMiB),
    computeRatio(grant.accelerators, demand.accelerators),
    computeRatio(grant.slots, demand.slots),
    computeRatio(grant.connections, demand.connections))
}

function computeRatio (available: number, demand: number): number {
  return demand > 0 ? available / demand : 1
}

/** Finds the highest share per unit of organisation weight at which the shares of all organisations fit in the group. */
function findFillLevel (state: SchedulerState, demands: readonly OrganisationDemand[]): number {
  let low = 0
  let high = demands.reduce((highest, { share, organisation }) => Math.max(highest, share / organisation.weight), 0)
  if (fitsAtLevel(state, demands, high)) return high
  for (let step = 0; step < BISECTION_STEPS; step += 1) {
    const middle = (low + high) / 2
    if (fitsAtLevel(state, demands, middle)) low = middle
    else high = middle
  }
  return low
}

function fitsAtLevel (state: SchedulerState, demands: readonly OrganisationDemand[], level: number): boolean {
  const total = createZeroResources()
  distributeShares(demands, level, ({ perShare }, share) => addScaled(total, perShare, share))
  return fitsWithinLimit(total, createZeroResources(), state.fleet.capacity)
}

/** Assigns each organisation its weight times the level, at most its demand, and divides this share among its teams. */
function distributeShares (demands: readonly OrganisationDemand[], level: number, assign: (demand: TeamDemand, share: number) => void): void {
  for (const { organisation, share, teams } of demands) {
    divideByWeight(teams, Math.min(share, organisation.weight * level), assign)
  }
}

/** Divides a share by weight; what a team does not need goes to the others. `teams` is sorted by demand divided by weight. */
function divideByWeight (teams: readonly TeamDemand[], share: number, assign: (demand: TeamDemand, share: number) => void): void {
  let remainingShare = share
  let remainingWeight = teams.reduce((sum, { team }) => sum + team.settings.weight, 0)
  for (const demand of teams) {
    const teamShare = Math.min(demand.share, remainingShare * demand.team.settings.weight / remainingWeight)
    assign(demand, teamShare)
    remainingShare -= teamShare
    remainingWeight -= demand.team.settings.weight
  }
}
