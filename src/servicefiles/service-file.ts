import type { FailureDomain, Organisation, Profile, ServiceDefinition, Team } from '../model/configuration.ts'
import type { QueueName, TeamName } from '../model/ids.ts'
import { NAME_PATTERN } from '../settings/settings-table.ts'
import type { JsonField, JsonShape } from '../util/json-shape.ts'

/** Suffix of the names of service files. */
export const SERVICE_FILE_SUFFIX = '.damaskfield.json'

/** A queue in a service file. If it is `open`, anyone may submit without a key, and `team` is charged. */
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

/** A service file without entries. */
export const EMPTY_SERVICE_FILE: ServiceFile = { organisations: [], teams: [], queues: [], services: [], failureDomains: [] }

/** Maximum number of entries of one kind in one file; a cell of full size has 340 teams in total. */
const MAX_ENTRIES = 10_000

/** Maximum amounts: ten times a fleet of 3,800 hosts with 128 cores and 1 TiB each. */
const MAX_CPU_MILLIS = 5_000_000_000
const MAX_MEMORY_MIB = 40_000_000_000
const MAX_UNITS = 10_000_000

export const NAME_SHAPE: JsonShape = { type: 'text', format: 'name of up to 63 lower-case letters, digits and hyphens', pattern: NAME_PATTERN }
export const WEIGHT_SHAPE: JsonShape = { type: 'number', integer: false, min: 0.001, max: 1_000_000 }

function integerShape (min: number, max: number): JsonShape {
  return { type: 'number', integer: true, min, max }
}

function recordShape (fields: Readonly<Record<string, JsonField>>): JsonShape {
  return { type: 'record', fields }
}

/** Shape of an amount of resources. */
export const RESOURCES_SHAPE: JsonShape = recordShape({
  cpuMillis: { shape: integerShape(0, MAX_CPU_MILLIS) },
  memoryMiB: { shape: integerShape(0, MAX_MEMORY_MIB) },
  accelerators: { shape: integerShape(0, MAX_UNITS), default: 0 },
  slots: { shape: integerShape(0, MAX_UNITS) },
  connections: { shape: integerShape(0, MAX_UNITS), default: 0 }
})

/** Shapes of the entries of each kind. */
export const ENTRY_SHAPES = {
  organisation: recordShape({ name: { shape: NAME_SHAPE }, weight: { shape: WEIGHT_SHAPE, default: 1 } }),
  team: recordShape({
    name: { shape: NAME_SHAPE },
    organisation: { shape: NAME_SHAPE },
    weight: { shape: WEIGHT_SHAPE, default: 1 },
    limit: { shape: RESOURCES_SHAPE },
    waitingLimit: { shape: integerShape(0, 1_000_000), default: 1000 }
  }),
  queue: recordShape({ name: { shape: NAME_SHAPE }, team: { shape: NAME_SHAPE }, open: { shape: { type: 'boolean' }, default: false } }),
  service: recordShape({
    name: { shape: NAME_SHAPE },
    queue: { shape: NAME_SHAPE },
    count: { shape: integerShape(0, 100_000), default: 1 },
    family: { shape: NAME_SHAPE },
    resources: { shape: RESOURCES_SHAPE },
    payload: { shape: { type: 'any' }, default: null }
  }),
  failureDomain: recordShape({ name: { shape: NAME_SHAPE }, state: { shape: { type: 'choice', options: ['in', 'out'] }, default: 'in' } })
} as const

/** Shape of the scheduling profile. */
export const PROFILE_SHAPE: JsonShape = { type: 'choice', options: ['packing', 'prompt'] }

function listField (item: JsonShape): JsonField {
  return { shape: { type: 'list', max: MAX_ENTRIES, item }, default: [] }
}

/** Shape of a service file. */
export const SERVICE_FILE_SHAPE: JsonShape = recordShape({
  organisations: listField(ENTRY_SHAPES.organisation),
  teams: listField(ENTRY_SHAPES.team),
  queues: listField(ENTRY_SHAPES.queue),
  services: listField(ENTRY_SHAPES.service),
  failureDomains: listField(ENTRY_SHAPES.failureDomain),
  profile: { shape: PROFILE_SHAPE, optional: true }
})
