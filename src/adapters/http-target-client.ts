import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Target } from '../model/target.ts'
import type { TargetResponse, TargetCall, TargetClient, TargetFailure } from '../ports/target-client.ts'
import { isTargetResponse } from './response-guards.ts'
import type { IncrementCounter } from './count.ts'
import { isUnknown, isOneOf, isShape } from './guards.ts'
import type { HttpResponse, HttpFailure } from './http-connection.ts'
import { createHttpPools } from './http-pools.ts'
import type { HttpPools } from './http-pools.ts'

/** Options of the target client. */
export type HttpTargetClientOptions = {
  /** Timeout of one call; for a sync, its `waitMs` is added. Default 2,000. */
  readonly callTimeoutMs?: number
  /** Maximum number of open connections to one target. A target has about 60 connections for all of its work. Default 4. */
  readonly maxConnections?: number
  readonly count?: IncrementCounter
}

const DEFAULT_CALL_TIMEOUT_MS = 2_000
const DEFAULT_MAX_CONNECTIONS = 4

const isResponseBody = isShape({ answer: isUnknown })
const isRefusalBody = isShape({ refused: isOneOf('fenced', 'unknown-lease') })

/**
 * Calls targets over HTTP at their addresses from the host list.
 *
 * @example
 * const client = HttpTargetClient.create()
 * const result = await client.call(target, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
 */
export class HttpTargetClient implements TargetClient {
  private constructor (private readonly callTimeoutMs: number, private readonly pools: HttpPools) {}

  static create (options: HttpTargetClientOptions = {}): HttpTargetClient {
    const pools = createHttpPools({ maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS, count: options.count })
    return new HttpTargetClient(options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, pools)
  }

  async call (target: Target, call: TargetCall): Promise<Result<TargetResponse, TargetFailure>> {
    const pool = this.pools.get(target.address)
    if (pool === undefined) return err({ reason: 'unavailable', verdict: 'not-run' })
    const timeoutMs = this.callTimeoutMs + (call.type === 'sync' ? call.waitMs : 0)
    const result = await pool.call({ method: 'POST', path: '/v1/call', body: JSON.stringify(call) }, timeoutMs)
    return result.match((response) => parseResponse(call, response), (failure) => err(toTargetFailure(failure)))
  }

  close (): void {
    this.pools.close()
  }
}

function parseResponse (call: TargetCall, { status, body }: HttpResponse): Result<TargetResponse, TargetFailure> {
  const response = status === 200 && isResponseBody(body) ? body.answer : undefined
  if (isTargetResponse(response) && response.type === call.type) return ok(response)
  if (status === 409 && isRefusalBody(body)) return err({ reason: body.refused, verdict: 'not-run' })
  if (status === 503) return err({ reason: 'unavailable', verdict: 'not-run' })
  return err({ reason: 'malformed-answer', verdict: 'may-have-run' })
}

function toTargetFailure ({ reason, sent }: HttpFailure): TargetFailure {
  return { reason: reason === 'malformed' ? 'malformed-answer' : reason, verdict: sent ? 'may-have-run' : 'not-run' }
}
