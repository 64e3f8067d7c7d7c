import type { FailureDomain, Organisation, Profile, ServiceDefinition, Team } from '../model/configuration.ts'
import type { QueueName, TeamName } from '../model/ids.ts'
import { NAME_PATTERN } from '../settings/settings-table.ts'
import type { JsonField, JsonShape } from '../util/json-shape.ts'

/** Ending of the names of service files. */
export const SERVICE_FILE_ENDING = '.damaskfield.json'

/** A queue in a service file; `open` lets any team submit without a key, on account of `team`. */
export type QueueEntry = { readonly name: QueueName, readonly team: TeamName, readonly open: boolean }

/** Content of a service file; all lists are optional in the file. */
export type ServiceFile = {
  readonly organisations: readonly Organisation[]
  readonly teams: readonly Team[]
  readonly queues: readonly QueueEntry[]
  readonly services: readonly ServiceDefinition[]
  readonly failureDomains: readonly FailureDomain[]
  readonly profile?: Profile['weighs']
}

export const EMPTY_SERVICE_FILE: ServiceFile = { organisations: [], teams: [], queues: [], services: [], failureDomains: [] }

/** Most entries of one kind in one file; the full size has 340 teams in all. */
const ENTRIES_LIMIT = 10_000

/** Largest amounts: ten times a fleet of 3,800 hosts with 128 cores and 1 TiB each. */
const MAX_CPU_MILLIS = 5_000_000_000
const MAX_MEMORY_MIB = 40_000_000_000
const MAX_PIECES = 10_000_000

export const NAME: JsonShape = { type: 'text', format: 'name of up to 63 lower-case letters, digits and hyphens', pattern: NAME_PATTERN }
export const WEIGHT: JsonShape = { type: 'number', integer: false, min: 0.001, max: 1_000_000 }

function whole (min: number, max: number): JsonShape {
  return { type: 'number', integer: true, min, max }
}

function record (fields: Readonly<Record<string, JsonField>>): JsonShape {
  return { type: 'record', fields }
}

export const RESOURCES: JsonShape = record({
  cpuMillis: { shape: whole(0, MAX_CPU_MILLIS) },
  memoryMiB: { shape: whole(0, MAX_MEMORY_MIB) },
  accelerators: { shape: whole(0, MAX_PIECES), default: 0 },
  slots: { shape: whole(0, MAX_PIECES) },
  connections: { shape: whole(0, MAX_PIECES), default: 0 }
})

/** Shapes of the entries of each kind. */
export const ENTRY_SHAPES = {
  organisation: record({ name: { shape: NAME }, weight: { shape: WEIGHT, default: 1 } }),
  team: record({
    name: { shape: NAME },
    organisation: { shape: NAME },
    weight: { shape: WEIGHT, default: 1 },
    limit: { shape: RESOURCES },
    waitingLimit: { shape: whole(0, 1_000_000), default: 1000 }
  }),
  queue: record({ name: { shape: NAME }, team: { shape: NAME }, open: { shape: { type: 'boolean' }, default: false } }),
  service: record({
    name: { shape: NAME },
    queue: { shape: NAME },
    count: { shape: whole(0, 100_000), default: 1 },
    family: { shape: NAME },
    resources: { shape: RESOURCES },
    payload: { shape: { type: 'any' }, default: null }
  }),
  failureDomain: record({ name: { shape: NAME }, state: { shape: { type: 'choice', options: ['in', 'out'] }, default: 'in' } })
} as const

export const PROFILE_SHAPE: JsonShape = { type: 'choice', options: ['packing', 'prompt'] }

function list (item: JsonShape): JsonField {
  return { shape: { type: 'list', max: ENTRIES_LIMIT, item }, default: [] }
}

/** Shape of a service file. */
export const SERVICE_FILE_SHAPE: JsonShape = record({
  organisations: list(ENTRY_SHAPES.organisation),
  teams: list(ENTRY_SHAPES.team),
  queues: list(ENTRY_SHAPES.queue),
  services: list(ENTRY_SHAPES.service),
  failureDomains: list(ENTRY_SHAPES.failureDomain),
  profile: { shape: PROFILE_SHAPE, optional: true }
})
