import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Target } from '../model/target.ts'
import type { TargetResponse, TargetCall, TargetClient, TargetFailure } from '../ports/target-client.ts'
import { isTargetResponse } from './response-guards.ts'
import type { Count } from './count.ts'
import { isAnything, isOneOf, isShape } from './guards.ts'
import type { HttpAnswer, HttpFailure } from './http-connection.ts'
import { createHttpPools } from './http-pools.ts'
import type { HttpPools } from './http-pools.ts'

export type HttpTargetClientOptions = {
  /** Time for one call; a sync gets its `waitMs` on top. Default 2,000. */
  readonly callTimeoutMs?: number
  /** Most connections to one target that take calls; a target has about 60 for all its work. Default 4. */
  readonly connections?: number
  readonly count?: Count
}

const DEFAULT_CALL_TIMEOUT_MS = 2_000
const DEFAULT_CONNECTIONS = 4

const isAnswerBody = isShape({ answer: isAnything })
const isRefusalBody = isShape({ refused: isOneOf('fenced', 'unknown-lease') })

/**
 * The targets over HTTP, at the address that the host list gives.
 *
 * @example
 * const client = HttpTargetClient.create()
 * const result = await client.call(target, { type: 'adopt', group: 0, epoch: 1, lease: 1, leaseMs: 20_000 })
 */
export class HttpTargetClient implements TargetClient {
  private constructor (private readonly callTimeoutMs: number, private readonly pools: HttpPools) {}

  static create (options: HttpTargetClientOptions = {}): HttpTargetClient {
    const pools = createHttpPools({ connections: options.connections ?? DEFAULT_CONNECTIONS, count: options.count })
    return new HttpTargetClient(options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, pools)
  }

  async call (target: Target, call: TargetCall): Promise<Result<TargetResponse, TargetFailure>> {
    const pool = this.pools.of(target.address)
    if (pool === undefined) return err({ reason: 'unavailable', verdict: 'not-run' })
    const timeoutMs = this.callTimeoutMs + (call.type === 'sync' ? call.waitMs : 0)
    const result = await pool.call({ method: 'POST', path: '/v1/call', body: JSON.stringify(call) }, timeoutMs)
    return result.match((answer) => interpret(call, answer), (failure) => err(failureOf(failure)))
  }

  close (): void {
    this.pools.close()
  }
}

function interpret (call: TargetCall, { status, body }: HttpAnswer): Result<TargetResponse, TargetFailure> {
  const answer = status === 200 && isAnswerBody(body) ? body.answer : undefined
  if (isTargetResponse(answer) && answer.type === call.type) return ok(answer)
  if (status === 409 && isRefusalBody(body)) return err({ reason: body.refused, verdict: 'not-run' })
  if (status === 503) return err({ reason: 'unavailable', verdict: 'not-run' })
  return err({ reason: 'malformed-answer', verdict: 'may-have-run' })
}

function failureOf ({ reason, sent }: HttpFailure): TargetFailure {
  return { reason: reason === 'malformed' ? 'malformed-answer' : reason, verdict: sent ? 'may-have-run' : 'not-run' }
}
