import type { Change, Configuration, ConfigurationRevision } from '../model/configuration.ts'
import type { Revision } from '../model/ids.ts'
import { applyRevision, EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { ConfigurationSnapshot } from '../model/peer.ts'
import type { Put, StoreEntry } from '../ports/store.ts'
import { SNAPSHOT_PREFIX } from './store-records.ts'

/** Maximum characters of one stored part: under the store's limit of 1 MB even with three bytes for each character. */
const MAX_PART_CHARACTERS = 300_000

type SnapshotPart = { readonly revision: Revision, readonly parts: number, readonly text: string }

/**
 * Returns the changes that produce the configuration from the empty one.
 *
 * @example
 * restoreConfiguration(toSnapshot(configuration, 'operator')) // equal to `configuration`
 */
export function toSnapshot (configuration: Configuration, author: string): ConfigurationSnapshot {
  const changes: Change[] = [{ kind: 'profile', name: 'profile', value: configuration.profile }]
  configuration.organisations.forEach((value, name) => changes.push({ kind: 'organisation', name, value }))
  configuration.teams.forEach((value, name) => changes.push({ kind: 'team', name, value }))
  configuration.queues.forEach((value, name) => changes.push({ kind: 'queue', name, value }))
  configuration.keys.forEach((value, name) => changes.push({ kind: 'key', name, value }))
  configuration.failureDomains.forEach((value, name) => changes.push({ kind: 'failureDomain', name, value }))
  configuration.drains.forEach((value, name) => changes.push({ kind: 'drain', name, value }))
  configuration.services.forEach((value, name) => changes.push({ kind: 'service', name, value }))
  return { revision: configuration.revision, author, changes }
}

/** Returns the configuration that a snapshot describes. */
export function restoreConfiguration (snapshot: ConfigurationSnapshot): Configuration {
  const revision: ConfigurationRevision = { ...snapshot, at: 0, nonce: '' }
  return applyRevision({ ...EMPTY_CONFIGURATION, revision: snapshot.revision - 1 }, revision)
}

/** Builds the writes that store a snapshot, split into values that the store accepts. */
export function buildSnapshotPuts (snapshot: ConfigurationSnapshot): readonly Put[] {
  const text = JSON.stringify(snapshot)
  const parts = Math.ceil(text.length / MAX_PART_CHARACTERS)
  return Array.from({ length: parts }, (_, index) => {
    const part: SnapshotPart = { revision: snapshot.revision, parts, text: text.slice(index * MAX_PART_CHARACTERS, (index + 1) * MAX_PART_CHARACTERS) }
    return { key: `${SNAPSHOT_PREFIX}${String(index).padStart(4, '0')}`, value: JSON.stringify(part) }
  })
}

/** Parses the snapshot in the entries under `configuration/snapshot/`; undefined if there is none or parts are missing. */
export function parseSnapshot (entries: readonly StoreEntry[]): ConfigurationSnapshot | undefined {
  try {
    const storedParts: readonly SnapshotPart[] = entries.map((entry) => JSON.parse(entry.value))
    const parts = storedParts.slice(0, storedParts[0]?.parts)
    if (parts.length === 0 || parts.length < (storedParts[0]?.parts ?? 1) || parts.some((part) => part.revision !== storedParts[0]?.revision)) return undefined
    return JSON.parse(parts.map((part) => part.text).join(''))
  } catch {
    return undefined
  }
}
