import { assertNever } from '../util/assert-never.ts'
import type { Change, Configuration, ConfigurationRevision } from './configuration.ts'

/** The configuration before the first revision. */
export const EMPTY_CONFIGURATION: Configuration = {
  revision: 0,
  organisations: new Map(),
  teams: new Map(),
  queues: new Map(),
  keys: new Map(),
  failureDomains: new Map(),
  drains: new Map(),
  profile: { name: 'profile', weighs: 'packing' },
  services: new Map()
}

/**
 * Returns the configuration after one more revision. A revision that is not the next one, such as an old or repeated one,
 * leaves the configuration unchanged.
 *
 * @example
 * applyRevision(EMPTY_CONFIGURATION, { revision: 1, author: 'ops', at: 0, nonce: 'a', changes: [] }).revision // 1
 */
export function applyRevision (configuration: Configuration, next: ConfigurationRevision): Configuration {
  if (next.revision !== configuration.revision + 1) return configuration
  const draft = ConfigurationDraft.create(configuration)
  for (const change of next.changes) draft.apply(change)
  return { ...draft.result, revision: next.revision }
}

type MapName = Exclude<keyof Configuration, 'revision' | 'profile'>

/** Copies each map at most once per revision; a copy per change would make the cost quadratic in the number of changes. */
class ConfigurationDraft {
  private readonly copied = new Set<MapName>()

  private constructor (private current: Configuration) {}

  static create (configuration: Configuration): ConfigurationDraft {
    return new ConfigurationDraft(configuration)
  }

  get result (): Configuration {
    return this.current
  }

  apply (change: Change): void {
    switch (change.kind) {
      case 'organisation': return this.replace('organisations', change.name, change.value)
      case 'team': return this.replace('teams', change.name, change.value)
      case 'queue': return this.replace('queues', change.name, change.value)
      case 'key': return this.replace('keys', change.name, change.value)
      case 'failureDomain': return this.replace('failureDomains', change.name, change.value)
      case 'drain': return this.replace('drains', change.name, change.value)
      case 'profile': this.current = { ...this.current, profile: change.value ?? EMPTY_CONFIGURATION.profile }; return
      case 'service': return this.replace('services', change.name, change.value)
      default: return assertNever(change)
    }
  }

  private replace<Name extends MapName> (map: Name, name: string, value: MapValue<Configuration[Name]> | null): void {
    if (!this.copied.has(map)) {
      this.current = { ...this.current, [map]: new Map(this.current[map] as ReadonlyMap<string, unknown>) }
      this.copied.add(map)
    }
    const entries = this.current[map] as unknown as Map<string, unknown>
    if (value === null) entries.delete(name)
    else entries.set(name, value)
  }
}

type MapValue<Entries> = Entries extends ReadonlyMap<string, infer Value> ? Value : never
