import type { PublishOutcome } from '../../src/cluster/index.ts'
import type { Change } from '../../src/model/configuration.ts'
import type { MemberId, TeamName } from '../../src/model/ids.ts'
import type { Resources } from '../../src/model/resources.ts'
import type { Simulation } from './simulation.ts'

/** Returns an amount with `count` slots and proportional amounts of the other resources. */
export function resourcesForSlots (count: number): Resources {
  return { cpuMillis: count * 1_000, memoryMiB: count * 100, accelerators: 0, slots: count, connections: count }
}

/** Builds the changes that create a team with a limit of `limit` slots. */
export function buildTeamChanges (team: TeamName, limit: number): readonly Change[] {
  return [
    { kind: 'organisation', name: 'org', value: { name: 'org', weight: 1 } },
    { kind: 'team', name: team, value: { name: team, organisation: 'org', weight: 1, limit: resourcesForSlots(limit), waitingLimit: 100 } }
  ]
}

/** Marks the failure domain `bole` as out. */
export const DOMAIN_OUT: readonly Change[] = [{ kind: 'failureDomain', name: 'bole', value: { name: 'bole', state: 'out' } }]

let requestCount = 0

/** Requests a publication. Returns a function that returns its outcome, or undefined until it is known. */
export function publish (simulation: Simulation, member: MemberId, changes: readonly Change[], expected?: number): () => PublishOutcome | undefined {
  requestCount += 1
  const requestId = `request-${requestCount}`
  simulation.apply(simulation.getMember(member), { type: 'publish-requested', requestId, author: `operator at ${member}`, at: 0, expected, changes })
  return () => {
    for (const { effect } of simulation.getMember(member).effects) {
      if (effect.type === 'publish-answered' && effect.requestId === requestId) return effect.outcome
    }
    return undefined
  }
}

/** Starts members `m0` to `m<count - 1>` and waits until all are in the roster and all groups are owned. */
export function bootstrap (simulation: Simulation, count: number): readonly MemberId[] {
  const ids = Array.from({ length: count }, (_, index) => `m${index}`)
  for (const id of ids) simulation.start(id, ids)
  const elapsedMs = simulation.advanceUntil(() => simulation.isEveryGroupOwned() && ids.every((id) => simulation.getMember(id).cluster.roster.members.length === count), 30_000)
  if (elapsedMs === undefined) throw new Error('the members did not bootstrap within 30 s')
  return ids
}
