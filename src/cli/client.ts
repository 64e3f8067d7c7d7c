import { err, ok, type Result } from 'neverthrow'
import { Agent, request } from 'undici'
import { formatProblem, type Problem } from '../model/problem.ts'
import type { Resources } from '../model/resources.ts'
import { redactKeys } from '../util/team-key.ts'
import { EXIT_CODE } from './exit-code.ts'
import type { Failure } from './outcome.ts'
import { formatResources } from './overview.ts'

/** Fields of the problem+json documents (RFC 9457) that entry hosts send; conflicts add `revision` and `author`. */
type ProblemBody = {
  readonly title?: string
  readonly detail?: string
  readonly code?: string
  readonly verdict?: string
  readonly revision?: number
  readonly author?: string
  /** With `never-fits`: the largest amounts that would fit. */
  readonly nearest?: Resources
  /** With `invalid`: the problems of the body. */
  readonly errors?: readonly Problem[]
}

/** A request to the interface of an entry host. */
export type ApiCall = {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly body?: unknown
  readonly headers?: Readonly<Record<string, string>>
  /** Time to wait for the response. Default 15 s. */
  readonly timeoutMs?: number
}

const RESPONSE_TIMEOUT_MS = 15_000
const CONNECT_TIMEOUT_MS = 5_000

/** Codes of errors that occur before any byte of the request is sent. */
const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'EAI_AGAIN', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT', 'UND_ERR_INVALID_ARG'])

/**
 * HTTP client of an entry host. Each call opens its own connection, so that the platform's load balancer can choose
 * another entry host after a failure.
 *
 * @example
 * await Client.create('http://127.0.0.1:8080', key).call({ method: 'GET', path: '/v1/overview' })
 */
export class Client {
  private constructor (private readonly server: string, private readonly key: string | undefined) {}

  static create (server: string, key?: string): Client {
    return new Client(server.replace(/\/+$/, ''), key)
  }

  /** Sends a request; returns the parsed body of a successful response. */
  async call (call: ApiCall): Promise<Result<unknown, Failure>> {
    const timeoutMs = call.timeoutMs ?? RESPONSE_TIMEOUT_MS
    const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, headersTimeout: timeoutMs, bodyTimeout: timeoutMs, pipelining: 0 })
    try {
      const { statusCode, body } = await request(`${this.server}${call.path}`, { method: call.method, headers: this.createHeaders(call), body: call.body === undefined ? undefined : JSON.stringify(call.body), dispatcher })
      return this.parseResponse(call, statusCode, await body.text())
    } catch (error) {
      return err(this.createConnectionFailure(call, error))
    } finally {
      await dispatcher.destroy()
    }
  }

  private createHeaders (call: ApiCall): Record<string, string> {
    return {
      accept: 'application/json, application/problem+json',
      ...(call.body === undefined ? {} : { 'content-type': 'application/json' }),
      ...(this.key === undefined ? {} : { authorization: `Bearer ${this.key}` }),
      ...call.headers
    }
  }

  private parseResponse (call: ApiCall, status: number, text: string): Result<unknown, Failure> {
    const body = parseJson(text)
    if (status >= 200 && status < 300) {
      return body !== undefined ? ok(body) : err(this.createUnusableResponseFailure(call, `responded with status ${status} without JSON`))
    }
    const problem = body as ProblemBody | undefined
    if (typeof problem?.code !== 'string') return err(this.createUnusableResponseFailure(call, `responded with status ${status} without a problem document`))
    return err(createProblemFailure(status, problem))
  }

  /** A response of a load balancer or a faulty server does not show whether the request was executed. */
  private createUnusableResponseFailure (call: ApiCall, description: string): Failure {
    return call.method === 'GET'
      ? { exitCode: EXIT_CODE.unreachable, code: 'unusable-answer', message: `${this.server} ${description}` }
      : { exitCode: EXIT_CODE.unknown, code: 'outcome-unknown', message: `${this.server} ${description}; it is unknown whether the request was executed` }
  }

  private createConnectionFailure (call: ApiCall, error: unknown): Failure {
    const { code = '', message = '' } = error as { code?: string, message?: string }
    const reason = redactKeys(message === '' ? code : message)
    if (call.method === 'GET' || NOT_SENT_ERROR_CODES.has(code)) {
      return { exitCode: EXIT_CODE.unreachable, code: 'unreachable', message: `${this.server} is not reachable: ${reason}` }
    }
    return { exitCode: EXIT_CODE.unknown, code: 'outcome-unknown', message: `the connection to ${this.server} broke after the request was sent (${reason}); it is unknown whether it was executed` }
  }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}

function createProblemFailure (status: number, problem: ProblemBody): Failure {
  const { code = 'unknown', verdict, revision, author, nearest, errors = [] } = problem
  const description = problem.detail ?? problem.title ?? code
  const conflictText = revision === undefined ? '' : ` (revision ${revision} by ${author ?? 'unknown'})`
  const nearestText = nearest === undefined ? '' : `; nearest shape that fits: ${formatResources(nearest)}`
  const summary = `${code}: ${description}${conflictText}${nearestText}${verdict === undefined ? '' : ` [${verdict}]`}`
  const message = redactKeys([summary, ...errors.map(formatProblem)].join('\n'))
  return { exitCode: getExitCode(code, verdict), code, message, details: { status, verdict, revision, author, nearest, errors: problem.errors } }
}

function getExitCode (code: string, verdict: string | undefined) {
  if (code === 'conflict') return EXIT_CODE.conflict
  return verdict === 'may-have-run' ? EXIT_CODE.unknown : EXIT_CODE.refused
}
