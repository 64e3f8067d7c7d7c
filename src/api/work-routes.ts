import type { IncomingMessage, ServerResponse } from 'node:http'
import { formatTaskId } from '../model/ids.ts'
import type { GroupResponse } from '../model/group-request.ts'
import type { Refusal } from '../model/refusal.ts'
import type { CallerRequest, Credential } from '../frontend/event.ts'
import type { SubmissionAnswer } from '../runtime/callers.ts'
import { assertNever } from '../util/assert-never.ts'
import { identify, type Caller } from './credentials.ts'
import { IDEMPOTENCY_KEY_PATTERN } from '../util/idempotency-key.ts'
import { workSuffix } from './work-suffix.ts'
import type { ApiOptions } from './options.ts'
import { parseSubmission } from './parse-submission.ts'
import { documentOf, failureDocument, refusalDocument } from './problem-document.ts'
import { readBody } from './read-body.ts'
import { respondJson, respondProblem } from './respond.ts'

const BUSY: Refusal = { reason: 'overloaded', retryAfterMs: 1_000 }
const NOT_FOUND = documentOf(404, 'work-not-found', 'There is no such work')

/**
 * `POST /v1/requests` and `POST /v1/jobs`: takes work and answers when the request has ended or the job is stored.
 *
 * @example
 * await submitWork(options, 'request', request, response)
 */
export async function submitWork (options: ApiOptions, kind: 'request' | 'job', request: IncomingMessage, response: ServerResponse): Promise<void> {
  const idempotencyKey = request.headers['idempotency-key']
  if (idempotencyKey !== undefined && (typeof idempotencyKey !== 'string' || !IDEMPOTENCY_KEY_PATTERN.test(idempotencyKey))) {
    return respondProblem(response, documentOf(400, 'invalid', 'The header Idempotency-Key must have 1 to 128 printable ASCII characters'))
  }
  const body = await readBody(request, options.bodyLimitBytes)
  if (body.isErr()) return respondProblem(response, bodyProblem(body.error, options.bodyLimitBytes))
  const submission = parseSubmission(body.value, kind)
  if (submission.isErr()) return respondProblem(response, documentOf(400, 'invalid', 'The body is not valid', { errors: submission.error }))
  const credential = credentialOf(await identify(options, request))
  if (credential === undefined) return respondProblem(response, refusalDocument(BUSY, 'not-run'))
  const { suffix, hasIdempotencyKey, keyIssuedAt } = workSuffix(submission.value.queue, idempotencyKey)
  const waiting = options.callers.submit({ suffix, hasIdempotencyKey, credential, submission: { ...submission.value, keyIssuedAt } })
  response.on('close', waiting.abandon)
  answerSubmission(response, kind, await waiting.answered)
}

/**
 * `GET /v1/work/:id`: state of a request or job.
 *
 * @example
 * await showWork(options, 'g3-01h8', response)
 */
export async function showWork (options: ApiOptions, work: string, response: ServerResponse): Promise<void> {
  const reply = await ask(options, { type: 'none' }, { type: 'status', work }, response)
  if (reply?.type !== 'status') return
  if (reply.status === undefined) return respondProblem(response, NOT_FOUND)
  respondJson(response, 200, reply.status)
}

/**
 * `GET /v1/tasks/:work/:index/explain`: why a task waits, was placed, refused or stopped.
 *
 * @example
 * await explainTask(options, 'g3-01h8', 0, response)
 */
export async function explainTask (options: ApiOptions, work: string, index: number, response: ServerResponse): Promise<void> {
  const reply = await ask(options, { type: 'none' }, { type: 'explain', task: formatTaskId(work, index) }, response)
  if (reply?.type !== 'explain') return
  if (reply.explanation === undefined) return respondProblem(response, NOT_FOUND)
  respondJson(response, 200, reply.explanation)
}

/**
 * `DELETE /v1/work/:id`: cancels one request or job of the caller's team; an operator may cancel any.
 *
 * @example
 * await cancelWork(options, 'g3-01h8', request, response)
 */
export async function cancelWork (options: ApiOptions, work: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const caller = await identify(options, request)
  const credential = credentialOf(caller)
  if (credential === undefined) return respondProblem(response, refusalDocument(BUSY, 'not-run'))
  const reply = await ask(options, credential, { type: 'cancel', work, operator: caller.type === 'operator' }, response)
  if (reply?.type !== 'cancel') return
  switch (reply.outcome) {
    case 'cancelled':
    case 'already-ended':
      return respondJson(response, 200, { work, outcome: reply.outcome })
    case 'not-found': return respondProblem(response, NOT_FOUND)
    case 'other-team': return respondProblem(response, refusalDocument({ reason: 'key-rejected' }, 'not-run'))
    case 'defined-service': return respondProblem(response, documentOf(409, 'defined-service', 'The configuration defines this service; publish without it to end it'))
    case 'store-unavailable': return respondProblem(response, refusalDocument({ reason: 'store-unavailable', retryAfterMs: 1_000 }, 'may-have-run'))
    default: return assertNever(reply.outcome)
  }
}

/**
 * `DELETE /v1/work?queue=…&team=…`: cancels all matching work. A team key is needed for its own team, the operator key
 * for all others.
 *
 * @example
 * await cancelMatching(options, { queue: 'orders' }, request, response)
 */
export async function cancelMatching (options: ApiOptions, selector: { readonly queue?: string, readonly team?: string }, request: IncomingMessage, response: ServerResponse): Promise<void> {
  if (selector.queue === undefined && selector.team === undefined) return respondProblem(response, documentOf(400, 'invalid', 'Give the selector queue or team'))
  const caller = await identify(options, request)
  const team = caller.type === 'operator' ? selector.team : ownTeam(options, caller)
  const allowed = caller.type === 'operator' || (team !== undefined && (selector.team ?? team) === team)
  if (!allowed) return respondProblem(response, refusalDocument({ reason: caller.type === 'none' ? 'key-missing' : 'key-rejected' }, 'not-run'))
  const groups = Array.from({ length: options.groups }, (_, group) => group)
  const replies = await Promise.all(groups.map(async (group) =>
    await options.callers.ask({ type: 'none' }, { type: 'cancel-matching', group, team, queue: selector.queue })))
  let cancelled = 0
  const missing: number[] = []
  replies.forEach((reply, group) => {
    if (reply.isOk() && reply.value.type === 'cancel-matching') cancelled += reply.value.cancelled
    else missing.push(group)
  })
  respondJson(response, 200, { cancelled, missing })
}

function ownTeam (options: ApiOptions, caller: Caller): string | undefined {
  return caller.type === 'key' ? options.configuration().keys.get(caller.id)?.team : undefined
}

function credentialOf (caller: Caller): Credential | undefined {
  if (caller.type === 'busy') return undefined
  return caller.type === 'operator' ? { type: 'none' } : caller
}

function answerSubmission (response: ServerResponse, kind: 'request' | 'job', { work, answer }: SubmissionAnswer): void {
  if (work !== undefined) response.setHeader('Damaskfield-Work', work)
  switch (answer.type) {
    case 'accepted': return respondJson(response, kind === 'job' ? 202 : 200, { work: answer.work })
    case 'succeeded': return respondJson(response, 200, { work, output: answer.output })
    case 'failed': return respondProblem(response, { ...failureDocument(answer.reason, answer.verdict), work })
    case 'refused': return respondProblem(response, { ...refusalDocument(answer.refusal, answer.verdict), work })
    default: return assertNever(answer)
  }
}

async function ask (options: ApiOptions, credential: Credential, question: CallerRequest, response: ServerResponse): Promise<GroupResponse | undefined> {
  const reply = await options.callers.ask(credential, question)
  if (reply.isOk()) return reply.value
  const { reason } = reply.error
  if (reason === 'invalid') respondProblem(response, NOT_FOUND)
  else respondProblem(response, refusalDocument(reply.error, reason === 'outcome-unknown' ? 'may-have-run' : 'not-run'))
  return undefined
}

function bodyProblem (fault: 'too-large' | 'interrupted', limitBytes: number) {
  return fault === 'too-large'
    ? documentOf(413, 'too-large', `The body has more than ${limitBytes} bytes`)
    : documentOf(400, 'invalid', 'The body was interrupted')
}
