import type { IncomingMessage, ServerResponse } from 'node:http'
import type { PublishOutcome } from '../cluster/effect.ts'
import type { GroupOverview } from '../model/group-request.ts'
import { checkChanges, configurationToJson } from '../servicefiles/index.ts'
import { readBody } from '../ingress/index.ts'
import { assertNever } from '../util/assert-never.ts'
import { identifyCaller } from './credentials.ts'
import type { ApiOptions, RouteOptions } from './options.ts'
import { createProblemDocument, createRefusalDocument } from './problem-document.ts'
import { respondJson, respondProblem } from './respond.ts'

const MAX_HISTORY_REVISIONS = 500
const AUTHOR_PATTERN = /^[\w .@-]{1,64}$/

type PublishBody = { readonly author: string, readonly expected?: number, readonly changes: unknown }

/**
 * `GET /v1/configuration`: the configuration that this member applies.
 *
 * @example
 * await showConfiguration(options, request, response)
 */
export async function showConfiguration (options: ApiOptions, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (!await requireOperator(options, request, response)) return
  respondJson(response, 200, configurationToJson(options.getConfiguration()))
}

/**
 * `GET /v1/configuration/history?after=…&limit=…`: accepted revisions from the store, oldest first.
 *
 * @example
 * await showHistory(options, new URLSearchParams('after=3'), request, response)
 */
export async function showHistory (options: ApiOptions, query: URLSearchParams, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (!await requireOperator(options, request, response)) return
  const after = Number(query.get('after') ?? 0)
  const limit = Math.min(MAX_HISTORY_REVISIONS, Number(query.get('limit') ?? MAX_HISTORY_REVISIONS))
  if (!Number.isSafeInteger(after) || !Number.isSafeInteger(limit) || after < 0 || limit < 1) {
    return respondProblem(response, createProblemDocument(400, 'invalid', 'after and limit must be whole numbers'))
  }
  const revisions = await options.readHistory(after, limit)
  if (revisions.isErr()) return respondProblem(response, createRefusalDocument({ reason: 'store-unavailable', retryAfterMs: 1_000 }, 'not-run'))
  respondJson(response, 200, { revisions: revisions.value })
}

/**
 * `POST /v1/configuration`: publishes changes by compare-and-swap and responds when a majority of members applies them.
 *
 * @example
 * await publishConfiguration(options, request, response)
 */
export async function publishConfiguration (options: RouteOptions, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (!await requireOperator(options, request, response)) return
  const text = await readBody(options.ingress, request, response, options.bodyLimitBytes)
  if (text.isErr() && text.error === 'overloaded') return respondProblem(response, createRefusalDocument({ reason: 'overloaded', retryAfterMs: 1_000 }, 'not-run'))
  const body = text.isOk() ? parsePublishBody(text.value) : undefined
  if (body === undefined) return respondProblem(response, createProblemDocument(400, 'invalid', 'The body must have author, changes and optionally expected'))
  const changes = checkChanges(body.changes, options.getConfiguration())
  if (changes.isErr()) return respondProblem(response, createProblemDocument(422, 'invalid-configuration', 'The changes are not valid', { errors: changes.error }))
  respondPublication(response, await options.callers.publish(body.author, body.expected, changes.value))
}

/**
 * `GET /v1/overview`: the overviews of all groups, with the groups whose owner did not respond in `missing`.
 *
 * @example
 * await showOverview(options, request, response)
 */
export async function showOverview (options: ApiOptions, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (!await requireOperator(options, request, response)) return
  const numbers = Array.from({ length: options.groups }, (_, group) => group)
  const results = await Promise.all(numbers.map(async (group) => await options.callers.requestFromOwner({ type: 'none' }, { type: 'overview', group })))
  const groups: GroupOverview[] = []
  const missing: number[] = []
  results.forEach((result, group) => {
    if (result.isOk() && result.value.type === 'overview') groups.push({ ...result.value.overview, ...options.getOwner(group) })
    else missing.push(group)
  })
  respondJson(response, 200, { revision: options.getConfiguration().revision, groups, missing })
}

async function requireOperator (options: ApiOptions, request: IncomingMessage, response: ServerResponse): Promise<boolean> {
  const caller = await identifyCaller(options, request)
  if (caller.type === 'operator') return true
  respondProblem(response, createRefusalDocument({ reason: caller.type === 'none' ? 'key-missing' : 'key-rejected' }, 'not-run'))
  return false
}

function parsePublishBody (text: string): PublishBody | undefined {
  try {
    const body = JSON.parse(text) as Partial<PublishBody> | null
    const valid = typeof body?.author === 'string' && AUTHOR_PATTERN.test(body.author) && Array.isArray(body.changes) &&
      (body.expected === undefined || Number.isSafeInteger(body.expected))
    return valid ? body as PublishBody : undefined
  } catch {
    return undefined
  }
}

function respondPublication (response: ServerResponse, outcome: PublishOutcome): void {
  switch (outcome.type) {
    case 'accepted': return respondJson(response, 200, { revision: outcome.revision, inForce: outcome.inForce })
    case 'conflict': return respondProblem(response, createProblemDocument(409, 'conflict', 'Another operator published first', { revision: outcome.revision, author: outcome.author }))
    case 'invalid': return respondProblem(response, createProblemDocument(422, 'invalid-configuration', outcome.detail))
    case 'unavailable': {
      const verdict = outcome.verdict === 'not-applied' ? 'not-run' : 'may-have-run'
      return respondProblem(response, createRefusalDocument({ reason: 'store-unavailable', retryAfterMs: 1_000 }, verdict))
    }
    default: return assertNever(outcome)
  }
}
