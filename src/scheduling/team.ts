import type { Organisation, Team } from '../model/configuration.ts'
import type { OrganisationName, TeamName } from '../model/ids.ts'
import { type Amounts, noAmounts } from './mutable-resources.ts'
import type { ShapeQueue, WorkClass } from './queue.ts'

/** An organisation with the summed shares of its teams. */
export type OrganisationState = {
  readonly name: OrganisationName
  weight: number
  share: number
  /** Sum of the entitled shares of its teams. */
  entitled: number
  /** Remembered use above the entitled share, as a part of the whole; decays. */
  memory: number
  /** Key in the fair orders; follows the share with a small lag. */
  orderKey: number
}

/** A team with its grant, its use and its waiting work. */
export type TeamState = {
  readonly name: TeamName
  settings: Team
  organisation: OrganisationState
  /** Whether the configuration holds the team. */
  known: boolean
  readonly grant: Amounts
  /** Whether a grant has been received; without one nothing that was recovered is stopped. */
  granted: boolean
  /** Booked amounts of its tasks and claims. */
  readonly used: Amounts
  /** Booked amounts of its claims alone. */
  readonly claimed: Amounts
  /** Declared amounts of its tasks that have been asked to stop. */
  readonly leaving: Amounts
  /** Dominant share of `used` in the capacity of the group. */
  share: number
  /** Share that it would get with its present demand when all is full. */
  entitled: number
  /** Remembered use above the entitled share, as a part of the whole; decays. */
  memory: number
  /** Key in the fair orders; follows the share with a small lag. */
  orderKey: number
  readonly waiting: Record<WorkClass, number>
  /** Declared amounts of all waiting tasks. */
  readonly wanted: Amounts
  /** All queues by class and shape. */
  readonly queues: Map<string, ShapeQueue>
  /** Queues that can be tried, in each class. */
  readonly ready: Record<WorkClass, Set<ShapeQueue>>
  /** Queues, other than urgent ones, that wait for room. */
  readonly blocked: Set<ShapeQueue>
  /** Queues that wait for the team's grant. */
  readonly limited: Set<ShapeQueue>
  /** Queues that wait until what is free exceeds the urgent reserve. */
  readonly reserveBlocked: Set<ShapeQueue>
  /** When the team, below its entitled share, first could not start anything; undefined otherwise. */
  starvedSince: number | undefined
  /** Since when it has used more than its grant. */
  overGrantSince: number | undefined
  /** Starts per second, averaged; for the advice when to try again. */
  startRate: number
  startsThisSecond: number
}

/** Shares are divided by the weight, so it must not be 0. */
const LEAST_WEIGHT = 1e-6

const FALLBACK_TEAM: Omit<Team, 'name' | 'organisation'> = {
  weight: 1,
  limit: { cpuMillis: Infinity, memoryMiB: Infinity, accelerators: Infinity, slots: Infinity, connections: Infinity },
  waitingLimit: Number.POSITIVE_INFINITY
}

/**
 * State of a team that the configuration may not know yet, as for a task recovered before the configuration arrived.
 *
 * @example
 * createTeam('sewing', organisation)
 */
export function createTeam (name: TeamName, organisation: OrganisationState): TeamState {
  return {
    name,
    settings: { ...FALLBACK_TEAM, name, organisation: organisation.name },
    organisation,
    known: false,
    grant: noAmounts(),
    granted: false,
    used: noAmounts(),
    claimed: noAmounts(),
    leaving: noAmounts(),
    share: 0,
    entitled: 0,
    memory: 0,
    orderKey: 0,
    waiting: { urgent: 0, request: 0, service: 0, gang: 0, batch: 0 },
    wanted: noAmounts(),
    queues: new Map(),
    ready: { urgent: new Set(), request: new Set(), service: new Set(), gang: new Set(), batch: new Set() },
    blocked: new Set(),
    limited: new Set(),
    reserveBlocked: new Set(),
    starvedSince: undefined,
    overGrantSince: undefined,
    startRate: 0,
    startsThisSecond: 0
  }
}

/**
 * Number of waiting tasks in all classes.
 *
 * @example
 * waitingTasks(team) // 12
 */
export function waitingTasks (team: TeamState): number {
  const { urgent, request, service, gang, batch } = team.waiting
  return urgent + request + service + gang + batch
}

/** The teams and organisations of the group. */
export class Teams {
  readonly teams = new Map<TeamName, TeamState>()
  readonly organisations = new Map<OrganisationName, OrganisationState>()

  static create (): Teams {
    return new Teams()
  }

  /** Replaces the settings; a team that is gone keeps its state while work of it remains, with a grant of nothing. */
  configure (organisations: readonly Organisation[], teams: readonly Team[]): void {
    for (const { name, weight } of organisations) this.organisation(name).weight = Math.max(LEAST_WEIGHT, weight)
    for (const team of this.teams.values()) team.known = false
    for (const settings of teams) {
      const state = this.team(settings.name)
      this.move(state, this.organisation(settings.organisation))
      state.settings = { ...settings, weight: Math.max(LEAST_WEIGHT, settings.weight) }
      state.known = true
    }
  }

  private move (team: TeamState, organisation: OrganisationState): void {
    if (team.organisation === organisation) return
    team.organisation.share -= team.share
    organisation.share += team.share
    team.organisation = organisation
  }

  team (name: TeamName): TeamState {
    const known = this.teams.get(name)
    if (known !== undefined) return known
    const team = createTeam(name, this.organisation('unknown'))
    this.teams.set(name, team)
    return team
  }

  private organisation (name: OrganisationName): OrganisationState {
    const known = this.organisations.get(name)
    if (known !== undefined) return known
    const organisation = { name, weight: 1, share: 0, entitled: 0, memory: 0, orderKey: 0 }
    this.organisations.set(name, organisation)
    return organisation
  }
}
