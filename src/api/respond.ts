import type { ServerResponse } from 'node:http'
import { mustCloseAfter } from '../ingress/index.ts'
import type { ProblemDocument } from './problem-document.ts'

const MS_PER_SECOND = 1_000

/**
 * Sends a response with a JSON body.
 *
 * @example
 * respondJson(response, 200, { work: 'g3-01h8' })
 */
export function respondJson (response: ServerResponse, status: number, body: unknown): void {
  respond(response, status, 'application/json', JSON.stringify(body))
}

/**
 * Sends a response with a problem document; its field `retryAfterMs` also sets the header `Retry-After`.
 *
 * @example
 * respondProblem(response, createRefusalDocument(refusal, 'not-run'))
 */
export function respondProblem (response: ServerResponse, problem: ProblemDocument): void {
  const { retryAfterMs } = problem
  if (typeof retryAfterMs === 'number') response.setHeader('Retry-After', String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_SECOND))))
  respond(response, problem.status, 'application/problem+json', JSON.stringify(problem))
}

/**
 * Sends a response with a text body, unless the headers were already sent or the connection is closed.
 *
 * @example
 * respond(response, 200, 'text/plain', 'ok')
 */
export function respond (response: ServerResponse, status: number, contentType: string, text: string): void {
  if (response.headersSent || response.destroyed) return
  const body = Buffer.from(text)
  if (mustCloseAfter(response.req)) response.setHeader('Connection', 'close')
  response.writeHead(status, { 'Content-Type': contentType, 'Content-Length': body.length })
  response.end(body)
}
