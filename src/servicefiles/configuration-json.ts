import { EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Configuration, Drain, FailureDomain, Key, Organisation, Profile, Queue, ServiceDefinition, Team } from '../model/configuration.ts'

/** The configuration in the response to `GET /v1/configuration`: lists instead of maps, and keys without salt and hash. */
export type ConfigurationJson = {
  readonly revision: number
  readonly organisations: readonly Organisation[]
  readonly teams: readonly Team[]
  readonly queues: readonly Queue[]
  readonly keys: readonly Pick<Key, 'id' | 'team'>[]
  readonly failureDomains: readonly FailureDomain[]
  readonly drains: readonly Drain[]
  readonly profile: Profile
  readonly services: readonly ServiceDefinition[]
}

/**
 * Converts the configuration to JSON for the HTTP interface.
 *
 * @example
 * response.end(JSON.stringify(configurationToJson(configuration)))
 */
export function configurationToJson (configuration: Configuration): ConfigurationJson {
  return {
    revision: configuration.revision,
    organisations: [...configuration.organisations.values()],
    teams: [...configuration.teams.values()],
    queues: [...configuration.queues.values()],
    keys: [...configuration.keys.values()].map(({ id, team }) => ({ id, team })),
    failureDomains: [...configuration.failureDomains.values()],
    drains: [...configuration.drains.values()],
    profile: configuration.profile,
    services: [...configuration.services.values()]
  }
}

/**
 * Converts JSON from the HTTP interface to the configuration; its keys have an empty salt and hash.
 *
 * @example
 * configurationFromJson(await response.json()).teams.get('stock')
 */
export function configurationFromJson (json: Partial<ConfigurationJson>): Configuration {
  return {
    revision: json.revision ?? 0,
    organisations: mapByName(json.organisations, ({ name }) => name),
    teams: mapByName(json.teams, ({ name }) => name),
    queues: mapByName(json.queues, ({ name }) => name),
    keys: mapByName(json.keys?.map((key) => ({ ...key, salt: '', hash: '' })), ({ id }) => id),
    failureDomains: mapByName(json.failureDomains, ({ name }) => name),
    drains: mapByName(json.drains, ({ host }) => host),
    profile: json.profile ?? EMPTY_CONFIGURATION.profile,
    services: mapByName(json.services, ({ name }) => name)
  }
}

function mapByName<Entry> (entries: readonly Entry[] | undefined, getName: (entry: Entry) => string): ReadonlyMap<string, Entry> {
  return new Map((entries ?? []).map((entry) => [getName(entry), entry]))
}
