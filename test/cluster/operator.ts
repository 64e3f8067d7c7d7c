import type { PublishOutcome } from '../../src/cluster/index.ts'
import type { Change } from '../../src/model/configuration.ts'
import type { MemberId, TeamName } from '../../src/model/ids.ts'
import type { Resources } from '../../src/model/resources.ts'
import type { Simulation } from './simulation.ts'

/** The amount with `slots` slots and a proportional rest. */
export function slots (count: number): Resources {
  return { cpuMillis: count * 1_000, memoryMiB: count * 100, accelerators: 0, slots: count, connections: count }
}

/** The changes that create a team with that many slots as its limit. */
export function teamChanges (team: TeamName, limit: number): readonly Change[] {
  return [
    { kind: 'organisation', name: 'org', value: { name: 'org', weight: 1 } },
    { kind: 'team', name: team, value: { name: team, organisation: 'org', weight: 1, limit: slots(limit), waitingLimit: 100 } }
  ]
}

export const DOMAIN_OUT: readonly Change[] = [{ kind: 'failureDomain', name: 'bole', value: { name: 'bole', state: 'out' } }]

let asks = 0

/** Asks for a publication and returns a function that yields its outcome, once it is known. */
export function publish (simulation: Simulation, member: MemberId, changes: readonly Change[], expected?: number): () => PublishOutcome | undefined {
  asks += 1
  const askId = `ask-${asks}`
  simulation.apply(simulation.member(member), { type: 'publish-requested', askId, author: `operator at ${member}`, at: 0, expected, changes })
  return () => {
    for (const { effect } of simulation.member(member).effects) {
      if (effect.type === 'publish-answered' && effect.askId === askId) return effect.outcome
    }
    return undefined
  }
}

/** Starts members `m0` to `m<count - 1>` and waits until all are in the roster and all groups are owned. */
export function bootstrap (simulation: Simulation, count: number): readonly MemberId[] {
  const ids = Array.from({ length: count }, (_, index) => `m${index}`)
  for (const id of ids) simulation.start(id, ids)
  const took = simulation.until(() => simulation.allOwned() && ids.every((id) => simulation.member(id).cluster.roster.members.length === count), 30_000)
  if (took === undefined) throw new Error('the members did not bootstrap within 30 s')
  return ids
}
