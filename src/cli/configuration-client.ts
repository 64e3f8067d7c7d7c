import { err, ok, type Result } from 'neverthrow'
import { isDeepStrictEqual } from 'node:util'
import { applyRevision, EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Change, Configuration, ConfigurationRevision } from '../model/configuration.ts'
import { configurationFromJson, getValueInForce, type ConfigurationJson } from '../servicefiles/index.ts'
import type { Client } from './client.ts'
import { EXIT } from './exit-code.ts'
import type { Failure } from './outcome.ts'
import type { OverviewJson } from './overview.ts'

/** Answer of `POST /v1/configuration`. */
export type Published = { readonly revision: number, readonly inForce: readonly string[] }

/**
 * Times that an order for one entry is repeated after a conflict that did not touch this entry. At 13,000 changes a
 * day a race is frequent, and taking a failure domain out must not fail because of another team's change.
 */
const CONFLICT_RETRIES = 5

/** Revisions in one answer of the history. */
export const HISTORY_PAGE = 500

/**
 * The configuration in force.
 *
 * @example
 * (await readConfiguration(client)).map(({ revision }) => revision)
 */
export async function readConfiguration (client: Client): Promise<Result<Configuration, Failure>> {
  const answer = await client.call({ method: 'GET', path: '/v1/configuration' })
  return answer.map((json) => configurationFromJson(json as ConfigurationJson))
}

/**
 * The overview of all groups.
 *
 * @example
 * await readOverview(client)
 */
export async function readOverview (client: Client): Promise<Result<OverviewJson, Failure>> {
  return (await client.call({ method: 'GET', path: '/v1/overview' })).map((json) => json as OverviewJson)
}

/**
 * Revisions after `after`, oldest first.
 *
 * @example
 * await readHistory(client, 0)
 */
export async function readHistory (client: Client, after: number, limit = HISTORY_PAGE): Promise<Result<readonly ConfigurationRevision[], Failure>> {
  const answer = await client.call({ method: 'GET', path: `/v1/configuration/history?after=${after}&limit=${limit}` })
  return answer.map((json) => [...(json as { revisions?: readonly ConfigurationRevision[] }).revisions ?? []].sort((left, right) => left.revision - right.revision))
}

/**
 * The configuration at an earlier revision, rebuilt from the history.
 *
 * @example
 * await configurationAt(client, 12)
 */
export async function configurationAt (client: Client, revision: number): Promise<Result<Configuration, Failure>> {
  let configuration = EMPTY_CONFIGURATION
  while (configuration.revision < revision) {
    const page = await readHistory(client, configuration.revision)
    if (page.isErr()) return err(page.error)
    const before = configuration.revision
    configuration = page.value.filter((entry) => entry.revision <= revision).reduce(applyRevision, configuration)
    if (configuration.revision === before) {
      return err({ exitCode: EXIT.refused, code: 'revision-not-found', message: `revision ${before + 1} is not in the history, so revision ${revision} cannot be rebuilt` })
    }
  }
  return ok(configuration)
}

/**
 * Publishes changes that were made against the revision `expected`.
 *
 * @example
 * await publish(client, 'ops', 7, changes)
 */
export async function publish (client: Client, author: string, expected: number, changes: readonly Change[]): Promise<Result<Published, Failure>> {
  const answer = await client.call({ method: 'POST', path: '/v1/configuration', body: { author, expected, changes } })
  return answer.map((json) => json as Published)
}

/**
 * Publishes a change of one entry. After a conflict it is repeated if that entry is still as the operator saw it.
 * `decide` gives the change, or undefined if there is nothing to do.
 *
 * @example
 * await publishEntry(client, 'ops', () => ok({ kind: 'drain', name: 'h1', value: { host: 'h1' } }))
 */
export async function publishEntry (client: Client, author: string, decide: (configuration: Configuration) => Result<Change | undefined, Failure>): Promise<Result<Published | undefined, Failure>> {
  let seen: { readonly value: unknown } | undefined
  for (let attempt = 0; ; attempt += 1) {
    const configuration = await readConfiguration(client)
    if (configuration.isErr()) return err(configuration.error)
    const change = decide(configuration.value)
    if (change.isErr()) return err(change.error)
    if (change.value === undefined) return ok(undefined)
    const value = getValueInForce(configuration.value, change.value)
    if (seen !== undefined && !isDeepStrictEqual(seen.value, value)) return err(changedMeanwhile(change.value))
    seen = { value }
    const published = await publish(client, author, configuration.value.revision, [change.value])
    if (published.isOk() || published.error.exitCode !== EXIT.conflict || attempt >= CONFLICT_RETRIES) return published
  }
}

function changedMeanwhile ({ kind, name }: Change): Failure {
  return { exitCode: EXIT.conflict, code: 'conflict', message: `another operator changed ${kind} ${name} at the same time; look at it and decide again` }
}
