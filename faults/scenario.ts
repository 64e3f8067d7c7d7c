import type { Change, Team } from '../src/model/configuration.ts'
import type { MemberId } from '../src/model/ids.ts'
import { NO_RESOURCES, type Resources } from '../src/model/resources.ts'
import type { Target } from '../src/model/target.ts'

/** The small cluster of every run: three members, three failure domains and twelve targets in three groups of two to five. */
export const MEMBERS: readonly MemberId[] = ['m1', 'm2', 'm3']
export const FAILURE_DOMAINS: readonly string[] = ['d1', 'd2', 'd3']
export const GROUPS = 3
export const TARGET_COUNT = 12

const TARGET_CAPACITY: Resources = { cpuMillis: 16_000, memoryMiB: 65_536, accelerators: 0, slots: 8, connections: 60 }

export const TARGETS: readonly Target[] = Array.from({ length: TARGET_COUNT }, (_, index) => ({
  id: `t${index}`,
  host: `h${index}`,
  address: `http://127.0.0.1:${9001 + index}`,
  failureDomain: FAILURE_DOMAINS[index % FAILURE_DOMAINS.length]!,
  rack: `r${index % FAILURE_DOMAINS.length}`,
  capacity: TARGET_CAPACITY,
  state: 'live'
}))

/** Returns the resources of a task that uses `slots` slots. */
export function resourcesForSlots (slots: number): Resources {
  return { ...NO_RESOURCES, cpuMillis: 1_500 * slots, memoryMiB: 2_048 * slots, slots, connections: slots }
}

/** Limit of each team in slots. The limits are low so that the groups constantly request, return and recall grants. */
export const TEAM_SLOTS: Readonly<Record<string, number>> = { a: 14, b: 10, o: 8 }

/** Queue of each team; `public` is open to all callers. */
export const QUEUES: Readonly<Record<string, { readonly team: string, readonly open: boolean }>> = {
  'queue-a': { team: 'a', open: false },
  'queue-b': { team: 'b', open: false },
  public: { team: 'o', open: true }
}

export function createTeam (name: string, slots: number): Team {
  return { name, organisation: `org-${name}`, weight: 1, limit: resourcesForSlots(slots), waitingLimit: 200 }
}

export function createKeyChange (id: string, team: string): Change {
  return { kind: 'key', name: id, value: { id, team, salt: '00', hash: '00' } }
}

/** Changes of the first revision of the configuration. */
export const INITIAL_CHANGES: readonly Change[] = [
  ...Object.keys(TEAM_SLOTS).map((name): Change => ({ kind: 'organisation', name: `org-${name}`, value: { name: `org-${name}`, weight: 1 } })),
  ...Object.entries(TEAM_SLOTS).map(([name, slots]): Change => ({ kind: 'team', name, value: createTeam(name, slots) })),
  ...Object.entries(QUEUES).map(([name, queue]): Change => ({ kind: 'queue', name, value: { name, access: { type: queue.open ? 'open' : 'team', team: queue.team } } })),
  ...FAILURE_DOMAINS.map((name): Change => ({ kind: 'failureDomain', name, value: { name, state: 'in' } })),
  createKeyChange('key-a', 'a'),
  createKeyChange('key-b', 'b')
]

/** Phases of a run in milliseconds of virtual time. */
export const PHASES = {
  publishAt: 6_000,
  loadFrom: 10_000,
  loadUntil: 60_000,
  /** Injections count messages from this time on, when the cluster is under load. */
  faultsFrom: 15_000,
  /** By this time the longest deadline and the grace period of the answer check have passed. */
  end: 126_000
} as const
