import type { Refusal, RefusalReason } from '../model/refusal.ts'
import type { Verdict } from '../model/verdict.ts'

/** Body of an error response (RFC 9457), with the additional fields `code` and `verdict`. */
export type ProblemDocument = {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly code: string
  readonly verdict: Verdict
  readonly [extension: string]: unknown
}

type Description = { readonly status: number, readonly title: string }

const DESCRIPTIONS: Readonly<Record<RefusalReason, Description>> = {
  invalid: { status: 400, title: 'The request is malformed' },
  'unknown-queue': { status: 404, title: 'There is no such queue' },
  'key-missing': { status: 401, title: 'A key is required' },
  'key-rejected': { status: 403, title: 'The key is not valid here' },
  'configuration-not-fresh': { status: 503, title: 'The configuration cannot be confirmed at the moment' },
  'starting-up': { status: 503, title: 'The member is starting' },
  'shutting-down': { status: 503, title: 'The member is shutting down' },
  'never-fits': { status: 422, title: 'The work can never run here' },
  'over-team-limit': { status: 422, title: 'The work exceeds the limit of the team' },
  overloaded: { status: 429, title: 'Too much work is waiting' },
  'deadline-passed': { status: 504, title: 'The deadline has passed' },
  'deadline-unreachable': { status: 503, title: 'The deadline cannot be met' },
  'store-unavailable': { status: 503, title: 'The store is not available' },
  'no-owner': { status: 503, title: 'The group has no owner at the moment' },
  'outcome-unknown': { status: 504, title: 'The outcome is not known' },
  cancelled: { status: 409, title: 'The work was cancelled' },
  'target-lost': { status: 502, title: 'The host that ran the work was lost' },
  'retries-exhausted': { status: 502, title: 'The work failed on each attempt' },
  'id-reused': { status: 409, title: 'The idempotency key was used for different work' }
}

/**
 * Creates the problem document of a refusal.
 *
 * @example
 * createRefusalDocument({ reason: 'key-missing' }, 'not-run').status // 401
 */
export function createRefusalDocument (refusal: Refusal, verdict: Verdict): ProblemDocument {
  const { reason, ...extensions } = refusal
  const { status, title } = DESCRIPTIONS[reason]
  return { type: formatProblemType(reason), title, status, detail: title, code: reason, verdict, ...extensions }
}

/**
 * Creates the problem document of work that ran and failed.
 *
 * @example
 * createFailureDocument('exit code 3', 'ran').code // 'work-failed'
 */
export function createFailureDocument (reason: string, verdict: Verdict): ProblemDocument {
  return { type: formatProblemType('work-failed'), title: 'The work failed', status: 502, detail: reason, code: 'work-failed', verdict }
}

/**
 * Creates a problem document for an error of the HTTP interface itself.
 *
 * @example
 * createProblemDocument(404, 'not-found', 'There is no such path')
 */
export function createProblemDocument (status: number, code: string, title: string, extensions: Readonly<Record<string, unknown>> = {}): ProblemDocument {
  return { type: formatProblemType(code), title, status, detail: title, code, verdict: 'not-run', ...extensions }
}

function formatProblemType (code: string): string {
  return `urn:damaskfield:problem:${code}`
}
