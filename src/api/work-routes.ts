import type { IncomingMessage, ServerResponse } from 'node:http'
import { formatTaskId } from '../model/ids.ts'
import type { GroupResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { CallerRequest, Credential } from '../frontend/event.ts'
import type { SubmissionResult } from '../runtime/callers.ts'
import { getConnection, readBody, type BodyError } from '../ingress/index.ts'
import { assertNever } from '../util/assert-never.ts'
import { identifyCaller, type Caller } from './credentials.ts'
import { IDEMPOTENCY_KEY_PATTERN } from '../util/idempotency-key.ts'
import { createWorkSuffix } from './work-suffix.ts'
import type { ApiOptions, RouteOptions } from './options.ts'
import { parseSubmission } from './parse-submission.ts'
import { createProblemDocument, createFailureDocument, createRefusalDocument } from './problem-document.ts'
import { respondJson, respondProblem } from './respond.ts'

const BUSY_REFUSAL: Refusal = { reason: 'overloaded', retryAfterMs: 1_000 }
const NOT_FOUND_DOCUMENT = createProblemDocument(404, 'work-not-found', 'There is no such work')

/**
 * `POST /v1/requests` and `POST /v1/jobs`: submits work and responds when the request has ended or the job is stored.
 *
 * @example
 * await submitWork(options, 'request', request, response)
 */
export async function submitWork (options: RouteOptions, kind: 'request' | 'job', request: IncomingMessage, response: ServerResponse): Promise<void> {
  const idempotencyKey = request.headers['idempotency-key']
  if (idempotencyKey !== undefined && (typeof idempotencyKey !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey))) {
    return respondProblem(response, createProblemDocument(400, 'invalid', 'The header Idempotency-Key must have 1 to 128 printable ASCII characters'))
  }
  const credential = toCredential(await identifyCaller(options, request))
  if (credential === undefined || !admit(options, request, credential)) return respondProblem(response, createRefusalDocument(BUSY_REFUSAL, 'not-run'))
  const body = await readBody(options.ingress, request, response, options.bodyLimitBytes)
  if (body.isErr()) return respondProblem(response, createBodyProblem(body.error, options.bodyLimitBytes))
  const submission = parseSubmission(body.value, kind)
  if (submission.isErr()) return respondProblem(response, createProblemDocument(400, 'invalid', 'The body is not valid', { errors: submission.error }))
  // From here on the limit of waiting connections applies.
  getConnection(request)?.releaseRequests()
  const { suffix, hasIdempotencyKey, keyIssuedAt } = createWorkSuffix(submission.value.queue, idempotencyKey)
  const waiting = options.callers.submit({ suffix, hasIdempotencyKey, credential, submission: { ...submission.value, keyIssuedAt } })
  response.on('close', waiting.abandon)
  respondSubmission(response, kind, await waiting.result)
}

/**
 * `GET /v1/work/:id`: the state of a request or job.
 *
 * @example
 * await showWork(options, 'g3-01h8', response)
 */
export async function showWork (options: ApiOptions, work: string, response: ServerResponse): Promise<void> {
  const groupResponse = await requestFromOwner(options, { type: 'none' }, { type: 'status', work }, response)
  if (groupResponse?.type !== 'status') return
  if (groupResponse.status === undefined) return respondProblem(response, NOT_FOUND_DOCUMENT)
  respondJson(response, 200, groupResponse.status)
}

/**
 * `GET /v1/tasks/:work/:index/explain`: why a task waits, was placed, was refused or was stopped.
 *
 * @example
 * await explainTask(options, 'g3-01h8', 0, response)
 */
export async function explainTask (options: ApiOptions, work: string, index: number, response: ServerResponse): Promise<void> {
  const groupResponse = await requestFromOwner(options, { type: 'none' }, { type: 'explain', task: formatTaskId(work, index) }, response)
  if (groupResponse?.type !== 'explain') return
  if (groupResponse.explanation === undefined) return respondProblem(response, NOT_FOUND_DOCUMENT)
  respondJson(response, 200, groupResponse.explanation)
}

/**
 * `DELETE /v1/work/:id`: cancels one request or job of the caller's team; an operator may cancel work of any team.
 *
 * @example
 * await cancelWork(options, 'g3-01h8', request, response)
 */
export async function cancelWork (options: ApiOptions, work: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const caller = await identifyCaller(options, request)
  const credential = toCredential(caller)
  if (credential === undefined) return respondProblem(response, createRefusalDocument(BUSY_REFUSAL, 'not-run'))
  const groupResponse = await requestFromOwner(options, credential, { type: 'cancel', work, operator: caller.type === 'operator' }, response)
  if (groupResponse?.type !== 'cancel') return
  switch (groupResponse.outcome) {
    case 'cancelled':
    case 'already-ended':
      return respondJson(response, 200, { work, outcome: groupResponse.outcome })
    case 'not-found': return respondProblem(response, NOT_FOUND_DOCUMENT)
    case 'other-team': return respondProblem(response, createRefusalDocument({ reason: 'key-rejected' }, 'not-run'))
    case 'defined-service': return respondProblem(response, createProblemDocument(409, 'defined-service', 'The configuration defines this service; publish without it to end it'))
    case 'store-unavailable': return respondProblem(response, createRefusalDocument({ reason: 'store-unavailable', retryAfterMs: 1_000 }, 'may-have-run'))
    default: return assertNever(groupResponse.outcome)
  }
}

/**
 * `DELETE /v1/work?queue=…&team=…`: cancels all matching work. A team key permits this for work of its own team, the
 * operator key for work of any team.
 *
 * @example
 * await cancelMatching(options, { queue: 'orders' }, request, response)
 */
export async function cancelMatching (options: ApiOptions, selector: { readonly queue?: string, readonly team?: string }, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (selector.queue === undefined && selector.team === undefined) return respondProblem(response, createProblemDocument(400, 'invalid', 'Give the selector queue or team'))
  const caller = await identifyCaller(options, request)
  const team = caller.type === 'operator' ? selector.team : findOwnTeam(options, caller)
  const allowed = caller.type === 'operator' || (team !== undefined && (selector.team ?? team) === team)
  if (!allowed) return respondProblem(response, createRefusalDocument({ reason: caller.type === 'none' ? 'key-missing' : 'key-rejected' }, 'not-run'))
  const groups = Array.from({ length: options.groups }, (_, group) => group)
  const results = await Promise.all(groups.map(async (group) =>
    await options.callers.requestFromOwner({ type: 'none' }, { type: 'cancel-matching', group, team, queue: selector.queue })))
  let cancelled = 0
  const missing: number[] = []
  results.forEach((result, group) => {
    if (result.isOk() && result.value.type === 'cancel-matching') cancelled += result.value.cancelled
    else missing.push(group)
  })
  respondJson(response, 200, { cancelled, missing })
}

/** Counts a submission for the team of its key; a queue that needs none is known only from the body. */
function admit ({ ingress, getConfiguration }: RouteOptions, request: IncomingMessage, credential: Credential): boolean {
  const connection = getConnection(request)
  const team = credential.type === 'key' ? getConfiguration().keys.get(credential.id)?.team : undefined
  return connection === undefined || ingress.admit(connection, team ?? '') === undefined
}

function findOwnTeam (options: ApiOptions, caller: Caller): string | undefined {
  return caller.type === 'key' ? options.getConfiguration().keys.get(caller.id)?.team : undefined
}

function toCredential (caller: Caller): Credential | undefined {
  if (caller.type === 'busy') return undefined
  return caller.type === 'operator' ? { type: 'none' } : caller
}

function respondSubmission (response: ServerResponse, kind: 'request' | 'job', { work, response: submissionResponse }: SubmissionResult): void {
  if (work !== undefined) response.setHeader('Damaskfield-Work', work)
  switch (submissionResponse.type) {
    case 'accepted': return respondJson(response, kind === 'job' ? 202 : 200, { work: submissionResponse.work })
    case 'succeeded': return respondJson(response, 200, { work, output: submissionResponse.output })
    case 'failed': return respondProblem(response, { ...createFailureDocument(submissionResponse.reason, submissionResponse.verdict), work })
    case 'refused': return respondProblem(response, { ...createRefusalDocument(submissionResponse.refusal, submissionResponse.verdict), work })
    default: return assertNever(submissionResponse)
  }
}

async function requestFromOwner (options: ApiOptions, credential: Credential, request: CallerRequest, response: ServerResponse): Promise<GroupResponse | undefined> {
  const result = await options.callers.requestFromOwner(credential, request)
  if (result.isOk()) return result.value
  const { reason } = result.error
  if (reason === 'invalid') respondProblem(response, NOT_FOUND_DOCUMENT)
  else respondProblem(response, createRefusalDocument(result.error, reason === 'outcome-unknown' ? 'may-have-run' : 'not-run'))
  return undefined
}

function createBodyProblem (error: BodyError, limitBytes: number) {
  switch (error) {
    case 'too-large': return createProblemDocument(413, 'too-large', `The body has more than ${limitBytes} bytes`)
    case 'interrupted': return createProblemDocument(400, 'invalid', 'The body was interrupted')
    case 'overloaded': return createRefusalDocument(BUSY_REFUSAL, 'not-run')
    case 'not-utf8': return createProblemDocument(400, 'invalid', 'The body is not valid UTF-8')
    default: return assertNever(error)
  }
}
