import type { Resources } from '../model/resources.ts'
import { dominantShare, fitsBeside, increase, noAmounts } from './mutable-resources.ts'
import type { Cell } from './scheduler-state.ts'
import type { OrganisationState, TeamState } from './team.ts'

/** How often entitled shares are calculated anew. */
const ENTITLEMENT_INTERVAL_MS = 500
/** Age up to which entitled shares are used for a decision to preempt; a team that is new to the group has none before. */
export const PREEMPTION_ENTITLEMENT_MS = 100
/** Time constant of the memory of past use: use a minute ago counts about an eighth. */
const MEMORY_MS = 30_000
/** The memory moves a team's place by at most this part of its entitled share, so that it never starves a team. */
const MEMORY_BOUND = 0.1
/** Halvings of the interval of the filling level. With 24 and a long queue the error was larger than the tolerance of `isAbove`. */
const BISECTIONS = 40

/** Demand of one team, as a dominant share and as amounts for one whole of that share. */
type Demand = { readonly team: TeamState, readonly share: number, readonly perShare: Resources }

type OrganisationDemand = { readonly organisation: OrganisationState, readonly share: number, readonly teams: readonly Demand[] }

/**
 * Recalculates the entitled share of each team and the memory of past use, when the interval has passed.
 *
 * @example
 * updateEntitlement(cell)
 */
export function updateEntitlement (cell: Cell, intervalMs = ENTITLEMENT_INTERVAL_MS): void {
  const passedMs = cell.now - cell.entitledAt
  if (passedMs < intervalMs) return
  cell.entitledAt = cell.now
  const demands = demandsOf(cell)
  const level = findLevel(cell, demands)
  for (const team of cell.teams.teams.values()) team.entitled = 0
  fill(demands, level, ({ team }, share) => { team.entitled = share })
  const kept = Math.exp(-passedMs / MEMORY_MS)
  const contended = demands.some(({ organisation, share }) => share > organisation.weight * level)
  for (const team of cell.teams.teams.values()) team.memory = remembered(team, kept, contended)
  updateOrganisations(cell, kept, contended)
}

function remembered (state: { readonly share: number, readonly entitled: number, readonly memory: number }, kept: number, contended: boolean): number {
  const excess = contended ? state.share - state.entitled : 0
  const bound = MEMORY_BOUND * state.entitled
  return Math.max(-bound, Math.min(bound, state.memory * kept + excess * (1 - kept)))
}

function updateOrganisations (cell: Cell, kept: number, contended: boolean): void {
  const entitled = new Map<OrganisationState, number>()
  for (const { organisation, entitled: part } of cell.teams.teams.values()) {
    entitled.set(organisation, (entitled.get(organisation) ?? 0) + part)
  }
  for (const organisation of cell.teams.organisations.values()) {
    organisation.entitled = entitled.get(organisation) ?? 0
    organisation.memory = remembered(organisation, kept, contended)
  }
}

function demandsOf (cell: Cell): readonly OrganisationDemand[] {
  const byOrganisation = new Map<OrganisationState, Demand[]>()
  for (const team of cell.teams.teams.values()) {
    const demand = demandOf(cell, team)
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

function demandOf (cell: Cell, team: TeamState): Demand | undefined {
  const total = noAmounts()
  increase(total, team.used, 1)
  increase(total, team.wanted, 1)
  const share = dominantShare(total, cell.fleet.capacity)
  if (share <= 0) return undefined
  const perShare = noAmounts()
  increase(perShare, total, 1 / share)
  return { team, share: share * granted(total, team.grant), perShare }
}

/** Part of the demand that the grant admits. */
function granted (demand: Resources, grant: Resources): number {
  return Math.min(1,
    partOf(grant.cpuMillis, demand.cpuMillis),
    partOf(grant.memoryMiB, demand.memoryMiB),
    partOf(grant.accelerators, demand.accelerators),
    partOf(grant.slots, demand.slots),
    partOf(grant.connections, demand.connections))
}

function partOf (available: number, demand: number): number {
  return demand > 0 ? available / demand : 1
}

/** The highest level of share for each unit of organisation weight at which all shares together fit in the group. */
function findLevel (cell: Cell, demands: readonly OrganisationDemand[]): number {
  let low = 0
  let high = demands.reduce((most, { share, organisation }) => Math.max(most, share / organisation.weight), 0)
  if (fitsAt(cell, demands, high)) return high
  for (let step = 0; step < BISECTIONS; step += 1) {
    const middle = (low + high) / 2
    if (fitsAt(cell, demands, middle)) low = middle
    else high = middle
  }
  return low
}

function fitsAt (cell: Cell, demands: readonly OrganisationDemand[], level: number): boolean {
  const total = noAmounts()
  fill(demands, level, ({ perShare }, share) => increase(total, perShare, share))
  return fitsBeside(total, noAmounts(), cell.fleet.capacity)
}

/** Gives each organisation its weight times the level, or its demand if that is less, and divides it among its teams. */
function fill (demands: readonly OrganisationDemand[], level: number, give: (demand: Demand, share: number) => void): void {
  for (const { organisation, share, teams } of demands) {
    divide(teams, Math.min(share, organisation.weight * level), give)
  }
}

/** Divides a share by weight; what a team does not want goes to the others. `teams` is sorted by demand over weight. */
function divide (teams: readonly Demand[], share: number, give: (demand: Demand, share: number) => void): void {
  let left = share
  let weights = teams.reduce((sum, { team }) => sum + team.settings.weight, 0)
  for (const demand of teams) {
    const part = Math.min(demand.share, left * demand.team.settings.weight / weights)
    give(demand, part)
    left -= part
    weights -= demand.team.settings.weight
  }
}
