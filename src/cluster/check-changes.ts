import type { Change, Configuration } from '../model/configuration.ts'
import { applyRevision } from '../model/apply-revision.ts'
import { RESOURCE_NAMES } from '../model/resources.ts'
import { assertNever } from '../util/assert-never.ts'

const MAX_CHANGES = 10_000

/**
 * Returns the first error in the changes, or in the configuration that they produce; undefined if there is none.
 *
 * @example
 * checkChanges(configuration, [{ kind: 'drain', name: 'host-1', value: null }]) // undefined
 */
export function checkChanges (configuration: Configuration, changes: readonly Change[]): string | undefined {
  if (changes.length === 0) return 'a revision needs at least one change'
  if (changes.length > MAX_CHANGES) return `a revision has at most ${MAX_CHANGES} changes`
  for (const change of changes) {
    const error = checkChange(change)
    if (error !== undefined) return `${change.kind} ${change.name}: ${error}`
  }
  const revision = configuration.revision + 1
  return checkReferences(applyRevision(configuration, { revision, author: '', at: 0, nonce: '', changes }))
}

function checkChange (change: Change): string | undefined {
  if (change.name === '') return 'the name is empty'
  if (change.value === null) return undefined
  switch (change.kind) {
    case 'organisation': return checkName(change.name, change.value.name) ?? checkWeight(change.value.weight)
    case 'team': return checkName(change.name, change.value.name) ?? checkWeight(change.value.weight) ?? checkLimits(change.value)
    case 'queue':
    case 'failureDomain':
    case 'profile': return checkName(change.name, change.value.name)
    case 'key': return checkName(change.name, change.value.id)
    case 'drain': return checkName(change.name, change.value.host)
    case 'service': return checkName(change.name, change.value.name) ?? (Number.isInteger(change.value.count) && change.value.count >= 0 ? undefined : 'the count is not a non-negative integer')
    default: return assertNever(change)
  }
}

function checkName (name: string, valueName: string): string | undefined {
  return name === valueName ? undefined : `the value is named ${valueName}`
}

function checkWeight (weight: number): string | undefined {
  return Number.isFinite(weight) && weight > 0 ? undefined : 'the weight is not a positive number'
}

function checkLimits ({ limit, waitingLimit }: { readonly limit: Readonly<Record<string, number>>, readonly waitingLimit: number }): string | undefined {
  const invalidResource = RESOURCE_NAMES.find((name) => !Number.isInteger(limit[name]) || (limit[name] ?? 0) < 0)
  if (invalidResource !== undefined) return `the limit of ${invalidResource} is not a non-negative integer`
  return Number.isInteger(waitingLimit) && waitingLimit >= 0 ? undefined : 'the waiting limit is not a non-negative integer'
}

function checkReferences (configuration: Configuration): string | undefined {
  for (const team of configuration.teams.values()) {
    if (!configuration.organisations.has(team.organisation)) return `team ${team.name}: organisation ${team.organisation} does not exist`
  }
  for (const queue of configuration.queues.values()) {
    if (!configuration.teams.has(queue.access.team)) return `queue ${queue.name}: team ${queue.access.team} does not exist`
  }
  for (const key of configuration.keys.values()) {
    if (!configuration.teams.has(key.team)) return `key ${key.id}: team ${key.team} does not exist`
  }
  for (const service of configuration.services.values()) {
    if (!configuration.queues.has(service.queue)) return `service ${service.name}: queue ${service.queue} does not exist`
  }
  return undefined
}
