import { isDeepStrictEqual } from 'node:util'
import type { Change, Configuration, Queue } from '../model/configuration.ts'
import type { QueueEntry, ServiceFile } from './service-file.ts'

/** Options for computing changes. */
export type ChangeOptions = {
  /** Removes organisations, teams with their keys, queues and services that are absent from the files. Default false. */
  readonly prune: boolean
  /** Also changes the state of failure domains that already exist. Default false, because operators set this state. */
  readonly domainStates: boolean
}

const DEFAULT_OPTIONS: ChangeOptions = { prune: false, domainStates: false }

/** Kinds of changes to named entries of the configuration. */
type EntryKind = Exclude<Change['kind'], 'profile'>

/**
 * Computes the changes from the configuration in force to the content of the service files; empty if nothing differs.
 * Entries of other files stay unless `prune` is set. Drains never change.
 *
 * @example
 * computeChanges(content, configuration, { prune: false })
 */
export function computeChanges (content: ServiceFile, configuration: Configuration, options: Partial<ChangeOptions> = {}): readonly Change[] {
  const { prune, domainStates } = { ...DEFAULT_OPTIONS, ...options }
  const domains = content.failureDomains.filter(({ name }) => domainStates || !configuration.failureDomains.has(name))
  const wanted: readonly Change[] = [
    ...content.organisations.map((value) => ({ kind: 'organisation', name: value.name, value }) as const),
    ...content.teams.map((value) => ({ kind: 'team', name: value.name, value }) as const),
    ...content.queues.map((entry) => ({ kind: 'queue', name: entry.name, value: toQueue(entry) }) as const),
    ...content.services.map((value) => ({ kind: 'service', name: value.name, value }) as const),
    ...domains.map((value) => ({ kind: 'failureDomain', name: value.name, value }) as const),
    ...(content.profile === undefined ? [] : [{ kind: 'profile', name: 'profile', value: { name: 'profile', weighs: content.profile } } as const])
  ]
  const changed = wanted.filter((change) => !isDeepStrictEqual(getValueInForce(configuration, change), change.value))
  return prune ? [...changed, ...createRemovals(content, configuration)] : changed
}

/**
 * Returns the value that a change would replace, or undefined if there is none.
 *
 * @example
 * getValueInForce(configuration, { kind: 'team', name: 'stock', value: null })
 */
export function getValueInForce (configuration: Configuration, change: Change): unknown {
  if (change.kind === 'profile') return configuration.profile
  return getEntriesInForce(configuration, change.kind).get(change.name)
}

/**
 * Computes the changes that restore the organisations, teams, queues, services and profile of an earlier configuration.
 * Keys, states of failure domains and drains do not change: a rollback must not restore a withdrawn key, or a failure
 * domain that operators have taken out. Keys of teams that the rollback removes are withdrawn.
 *
 * @example
 * computeRollbackChanges(earlier, inForce)
 */
export function computeRollbackChanges (earlier: Configuration, inForce: Configuration): readonly Change[] {
  const content: ServiceFile = {
    organisations: [...earlier.organisations.values()],
    teams: [...earlier.teams.values()],
    queues: [...earlier.queues.values()].map(({ name, access }) => ({ name, team: access.team, open: access.type === 'open' })),
    services: [...earlier.services.values()],
    failureDomains: [],
    profile: earlier.profile.weighs
  }
  return computeChanges(content, inForce, { prune: true })
}

/**
 * Describes each change in one line: `+` adds an entry, `~` changes it (with each changed field), `-` removes it.
 *
 * @example
 * describeChanges(changes, configuration) // ['~ team stock: weight 1 -> 2']
 */
export function describeChanges (changes: readonly Change[], configuration: Configuration): readonly string[] {
  return changes.map((change) => {
    const before = getValueInForce(configuration, change)
    if (change.value === null) return `- ${change.kind} ${change.name}`
    if (before === undefined) return `+ ${change.kind} ${change.name}: ${formatFields(change.value).join(', ')}`
    return `~ ${change.kind} ${change.name}: ${formatDifferences(before, change.value).join(', ')}`
  })
}

function toQueue ({ name, team, open }: QueueEntry): Queue {
  return { name, access: { type: open ? 'open' : 'team', team } }
}

function createRemovals (content: ServiceFile, configuration: Configuration): readonly Change[] {
  const teams = findRemovedNames(configuration.teams, content.teams)
  const keys = [...configuration.keys.values()].filter(({ team }) => teams.includes(team)).map(({ id }) => id)
  return [
    ...findRemovedNames(configuration.services, content.services).map((name) => ({ kind: 'service', name, value: null }) as const),
    ...findRemovedNames(configuration.queues, content.queues).map((name) => ({ kind: 'queue', name, value: null }) as const),
    ...keys.map((name) => ({ kind: 'key', name, value: null }) as const),
    ...teams.map((name) => ({ kind: 'team', name, value: null }) as const),
    ...findRemovedNames(configuration.organisations, content.organisations).map((name) => ({ kind: 'organisation', name, value: null }) as const)
  ]
}

function findRemovedNames (inForce: ReadonlyMap<string, unknown>, wanted: readonly { readonly name: string }[]): readonly string[] {
  const names = new Set(wanted.map(({ name }) => name))
  return [...inForce.keys()].filter((name) => !names.has(name))
}

function getEntriesInForce (configuration: Configuration, kind: EntryKind): ReadonlyMap<string, unknown> {
  const entries: Readonly<Record<EntryKind, ReadonlyMap<string, unknown>>> = {
    organisation: configuration.organisations,
    team: configuration.teams,
    queue: configuration.queues,
    key: configuration.keys,
    failureDomain: configuration.failureDomains,
    drain: configuration.drains,
    service: configuration.services
  }
  return entries[kind]
}

/**
 * Collects the leaves of a value with their paths. The name or id is left out, because it is shown as the name of the entry,
 * and so are the salt and hash of a key, because they are of no use to a reader.
 */
function collectLeaves (value: unknown, path: string): readonly (readonly [string, string])[] {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return [[path, JSON.stringify(value)]]
  return Object.entries(value)
    .filter(([name]) => path !== '' || !['name', 'id', 'salt', 'hash'].includes(name))
    .flatMap(([name, inner]) => collectLeaves(inner, path === '' ? name : `${path}.${name}`))
}

function formatFields (value: unknown): readonly string[] {
  return collectLeaves(value, '').map(([path, text]) => `${path} ${text}`)
}

function formatDifferences (before: unknown, after: unknown): readonly string[] {
  const leavesBefore = new Map(collectLeaves(before, ''))
  const leavesAfter = new Map(collectLeaves(after, ''))
  return [...new Set([...leavesBefore.keys(), ...leavesAfter.keys()])]
    .filter((path) => leavesBefore.get(path) !== leavesAfter.get(path))
    .map((path) => `${path} ${leavesBefore.get(path) ?? 'nothing'} -> ${leavesAfter.get(path) ?? 'nothing'}`)
}
