import { err, ok, type Result } from 'neverthrow'
import { isDeepStrictEqual } from 'node:util'
import { applyRevision, EMPTY_CONFIGURATION } from '../model/apply-revision.ts'
import type { Change, Configuration, ConfigurationRevision } from '../model/configuration.ts'
import { configurationFromJson, getValueInForce, type ConfigurationJson } from '../servicefiles/index.ts'
import type { Client } from './client.ts'
import { EXIT_CODE } from './exit-code.ts'
import type { Failure } from './outcome.ts'
import type { OverviewJson } from './overview.ts'

/** Response of `POST /v1/configuration`. */
export type PublishResponse = { readonly revision: number, readonly inForce: readonly string[] }

/**
 * Maximum number of retries of a change of one entry after conflicts with changes of other entries. At 13,000 changes a
 * day such conflicts are frequent, and taking a failure domain out must not fail because of another team's change.
 */
const MAX_CONFLICT_RETRIES = 5

/** Maximum number of revisions in one response of the history. */
export const HISTORY_PAGE_REVISIONS = 500

/**
 * Reads the configuration in force.
 *
 * @example
 * (await readConfiguration(client)).map(({ revision }) => revision)
 */
export async function readConfiguration (client: Client): Promise<Result<Configuration, Failure>> {
  const response = await client.call({ method: 'GET', path: '/v1/configuration' })
  return response.map((json) => configurationFromJson(json as ConfigurationJson))
}

/**
 * Reads the overview of all groups.
 *
 * @example
 * await readOverview(client)
 */
export async function readOverview (client: Client): Promise<Result<OverviewJson, Failure>> {
  return (await client.call({ method: 'GET', path: '/v1/overview' })).map((json) => json as OverviewJson)
}

/**
 * Reads the revisions after `after`, oldest first.
 *
 * @example
 * await readHistory(client, 0)
 */
export async function readHistory (client: Client, after: number, limit = HISTORY_PAGE_REVISIONS): Promise<Result<readonly ConfigurationRevision[], Failure>> {
  const response = await client.call({ method: 'GET', path: `/v1/configuration/history?after=${after}&limit=${limit}` })
  return response.map((json) => [...(json as { revisions?: readonly ConfigurationRevision[] }).revisions ?? []].sort((left, right) => left.revision - right.revision))
}

/**
 * Rebuilds the configuration at an earlier revision from the history.
 *
 * @example
 * await rebuildConfiguration(client, 12)
 */
export async function rebuildConfiguration (client: Client, revision: number): Promise<Result<Configuration, Failure>> {
  let configuration = EMPTY_CONFIGURATION
  while (configuration.revision < revision) {
    const page = await readHistory(client, configuration.revision)
    if (page.isErr()) return err(page.error)
    const previousRevision = configuration.revision
    configuration = page.value.filter((entry) => entry.revision <= revision).reduce(applyRevision, configuration)
    if (configuration.revision === previousRevision) {
      return err({ exitCode: EXIT_CODE.refused, code: 'revision-not-found', message: `revision ${previousRevision + 1} is not in the history, so revision ${revision} cannot be rebuilt` })
    }
  }
  return ok(configuration)
}

/**
 * Publishes changes that are based on the revision `expected`; fails as a conflict if a newer revision exists.
 *
 * @example
 * await publishRevision(client, 'ops', 7, changes)
 */
export async function publishRevision (client: Client, author: string, expected: number, changes: readonly Change[]): Promise<Result<PublishResponse, Failure>> {
  const response = await client.call({ method: 'POST', path: '/v1/configuration', body: { author, expected, changes } })
  return response.map((json) => json as PublishResponse)
}

/**
 * Publishes a change of one entry. After a conflict it retries if the entry has not changed since the first read.
 * `decide` returns the change, or undefined if none is needed.
 *
 * @example
 * await publishEntry(client, 'ops', () => ok({ kind: 'drain', name: 'h1', value: { host: 'h1' } }))
 */
export async function publishEntry (client: Client, author: string, decide: (configuration: Configuration) => Result<Change | undefined, Failure>): Promise<Result<PublishResponse | undefined, Failure>> {
  let lastRead: { readonly value: unknown } | undefined
  for (let attempt = 0; ; attempt += 1) {
    const configuration = await readConfiguration(client)
    if (configuration.isErr()) return err(configuration.error)
    const change = decide(configuration.value)
    if (change.isErr()) return err(change.error)
    if (change.value === undefined) return ok(undefined)
    const value = getValueInForce(configuration.value, change.value)
    if (lastRead !== undefined && !isDeepStrictEqual(lastRead.value, value)) return err(createConcurrentChangeFailure(change.value))
    lastRead = { value }
    const published = await publishRevision(client, author, configuration.value.revision, [change.value])
    if (published.isOk() || published.error.exitCode !== EXIT_CODE.conflict || attempt >= MAX_CONFLICT_RETRIES) return published
  }
}

function createConcurrentChangeFailure ({ kind, name }: Change): Failure {
  return { exitCode: EXIT_CODE.conflict, code: 'conflict', message: `another operator changed ${kind} ${name} at the same time; check it and repeat the command if needed` }
}
