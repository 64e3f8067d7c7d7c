import { KeyedHeap } from '../util/keyed-heap.ts'
import type { OrganisationState, TeamState } from './team.ts'

/** Maximum number of teams that `find` tries. */
const MAX_TEAMS_TRIED = 12

/** Teams in the order of hierarchical weighted shares: first the organisation furthest below its share, in it the team furthest below. */
export class FairOrder {
  private readonly organisations = KeyedHeap.create<OrganisationState>()
  private readonly teams = new Map<OrganisationState, KeyedHeap<TeamState>>()

  static create (): FairOrder {
    return new FairOrder()
  }

  get isEmpty (): boolean {
    return this.organisations.size === 0
  }

  add (team: TeamState): void {
    const { organisation } = team
    const known = this.teams.get(organisation)
    const heap = known ?? KeyedHeap.create<TeamState>()
    if (known === undefined) this.teams.set(organisation, heap)
    heap.set(team, team.orderKey)
    this.organisations.set(organisation, organisation.orderKey)
  }

  /** Moves the team and its organisation to the positions of their current keys, if they are in the order. */
  update (team: TeamState): void {
    const heap = this.teams.get(team.organisation)
    if (heap === undefined || heap.size === 0) return
    if (heap.has(team)) heap.set(team, team.orderKey)
    this.organisations.set(team.organisation, team.organisation.orderKey)
  }

  delete (team: TeamState): void {
    const heap = this.teams.get(team.organisation)
    if (heap?.delete(team) === true && heap.size === 0) this.organisations.delete(team.organisation)
  }

  /** Returns the first defined result of `select`; tries a bounded number of teams in order. */
  find<Result> (select: (team: TeamState) => Result | undefined): Result | undefined {
    const triedTeams: TeamState[] = []
    let result: Result | undefined
    while (result === undefined && triedTeams.length < MAX_TEAMS_TRIED) {
      const team = this.first()
      if (team === undefined) break
      result = select(team)
      if (result !== undefined) break
      triedTeams.push(team)
      this.delete(team)
    }
    for (const team of triedTeams) this.add(team)
    return result
  }

  /** Returns the first team of the order. */
  first (): TeamState | undefined {
    const organisation = this.organisations.top()
    return organisation === undefined ? undefined : this.teams.get(organisation)?.top()
  }
}

/**
 * Whether the left team comes before the right one in the fair order.
 *
 * @example
 * precedes(team, other)
 */
export function precedes (left: TeamState, right: TeamState): boolean {
  const a = left.organisation.orderKey
  const b = right.organisation.orderKey
  return a === b ? left.orderKey < right.orderKey : a < b
}
