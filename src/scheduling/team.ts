import type { Organisation, Team } from '../model/configuration.ts'
import type { OrganisationName, TeamName } from '../model/ids.ts'
import { type MutableResources, createZeroResources } from './mutable-resources.ts'
import type { ShapeQueue, WorkClass } from './queue.ts'

/** An organisation with the sums of the shares of its teams. */
export type OrganisationState = {
  readonly name: OrganisationName
  weight: number
  share: number
  /** Sum of the entitled shares of its teams. */
  entitledShare: number
  /** Decaying average of `share` minus `entitledShare` while capacity is contended, within bounds. */
  pastExcess: number
  /** Sort key in the team orders; updated only when it has changed enough. */
  orderKey: number
}

/** A team with its grant, its usage and its waiting work. */
export type TeamState = {
  readonly name: TeamName
  settings: Team
  organisation: OrganisationState
  /** Whether the team is in the configuration. */
  configured: boolean
  readonly grant: MutableResources
  /** Whether a grant was received; before that no recovered task is stopped for exceeding the grant. */
  grantReceived: boolean
  /** Declared amounts of its tasks and claims. */
  readonly used: MutableResources
  /** Declared amounts of its claims alone. */
  readonly claimed: MutableResources
  /** Declared amounts of its tasks for which a stop was sent. */
  readonly stopping: MutableResources
  /** Dominant share: the largest fraction of the group's capacity that `used` has in any resource. */
  share: number
  /** Share that the team gets with its current demand when the group is full. */
  entitledShare: number
  /** Decaying average of `share` minus `entitledShare` while capacity is contended, within bounds. */
  pastExcess: number
  /** Sort key in the team orders; updated only when it has changed enough. */
  orderKey: number
  readonly waitingByClass: Record<WorkClass, number>
  /** Declared amounts of all waiting tasks. */
  readonly waitingResources: MutableResources
  /** All queues by class and shape. */
  readonly queues: Map<string, ShapeQueue>
  /** Queues that can be tried, in each class. */
  readonly readyQueues: Record<WorkClass, Set<ShapeQueue>>
  /** Queues other than urgent ones that wait for free capacity. */
  readonly blockedQueues: Set<ShapeQueue>
  /** Queues whose tasks do not fit in what is left of the team's grant. */
  readonly grantBlockedQueues: Set<ShapeQueue>
  /** Queues that wait until the free capacity exceeds the urgent reserve. */
  readonly reserveBlockedQueues: Set<ShapeQueue>
  /** Since when the team has had tasks waiting for free capacity although it is below its entitled share. */
  starvedSince: number | undefined
  /** Since when the team has used more than its grant. */
  overGrantSince: number | undefined
  /** Moving average of the starts per second; a refusal derives from it when to retry. */
  startsPerSecond: number
  /** Starts since the last update of `startsPerSecond`. */
  startsSinceUpdate: number
}

/** Shares are divided by the weight, so it must not be 0. */
const MIN_WEIGHT = 1e-6

const DEFAULT_TEAM_SETTINGS: Omit<Team, 'name' | 'organisation'> = {
  weight: 1,
  limit: { cpuMillis: Infinity, memoryMiB: Infinity, accelerators: Infinity, slots: Infinity, connections: Infinity },
  waitingLimit: Number.POSITIVE_INFINITY
}

/**
 * Creates the state of a team that may not be in the configuration yet: a task can be recovered before the
 * configuration arrives.
 *
 * @example
 * createTeamState('sewing', organisation)
 */
export function createTeamState (name: TeamName, organisation: OrganisationState): TeamState {
  return {
    name,
    settings: { ...DEFAULT_TEAM_SETTINGS, name, organisation: organisation.name },
    organisation,
    configured: false,
    grant: createZeroResources(),
    grantReceived: false,
    used: createZeroResources(),
    claimed: createZeroResources(),
    stopping: createZeroResources(),
    share: 0,
    entitledShare: 0,
    pastExcess: 0,
    orderKey: 0,
    waitingByClass: { urgent: 0, request: 0, service: 0, gang: 0, batch: 0 },
    waitingResources: createZeroResources(),
    queues: new Map(),
    readyQueues: { urgent: new Set(), request: new Set(), service: new Set(), gang: new Set(), batch: new Set() },
    blockedQueues: new Set(),
    grantBlockedQueues: new Set(),
    reserveBlockedQueues: new Set(),
    starvedSince: undefined,
    overGrantSince: undefined,
    startsPerSecond: 0,
    startsSinceUpdate: 0
  }
}

/**
 * Counts the waiting tasks of all classes.
 *
 * @example
 * countWaitingTasks(team) // 12
 */
export function countWaitingTasks (team: TeamState): number {
  const { urgent, request, service, gang, batch } = team.waitingByClass
  return urgent + request + service + gang + batch
}

/** The teams and organisations of the group. */
export class Teams {
  readonly byName = new Map<TeamName, TeamState>()
  readonly organisationsByName = new Map<OrganisationName, OrganisationState>()

  static create (): Teams {
    return new Teams()
  }

  /** Replaces the settings; a team that is no longer configured keeps its state, because work of it may remain. */
  configure (organisations: readonly Organisation[], teams: readonly Team[]): void {
    for (const { name, weight } of organisations) this.getOrCreateOrganisation(name).weight = Math.max(MIN_WEIGHT, weight)
    for (const team of this.byName.values()) team.configured = false
    for (const settings of teams) {
      const state = this.getOrCreateTeam(settings.name)
      this.moveTeam(state, this.getOrCreateOrganisation(settings.organisation))
      state.settings = { ...settings, weight: Math.max(MIN_WEIGHT, settings.weight) }
      state.configured = true
    }
  }

  private moveTeam (team: TeamState, organisation: OrganisationState): void {
    if (team.organisation === organisation) return
    team.organisation.share -= team.share
    organisation.share += team.share
    team.organisation = organisation
  }

  getOrCreateTeam (name: TeamName): TeamState {
    const known = this.byName.get(name)
    if (known !== undefined) return known
    const team = createTeamState(name, this.getOrCreateOrganisation('unknown'))
    this.byName.set(name, team)
    return team
  }

  private getOrCreateOrganisation (name: OrganisationName): OrganisationState {
    const known = this.organisationsByName.get(name)
    if (known !== undefined) return known
    const organisation = { name, weight: 1, share: 0, entitledShare: 0, pastExcess: 0, orderKey: 0 }
    this.organisationsByName.set(name, organisation)
    return organisation
  }
}
