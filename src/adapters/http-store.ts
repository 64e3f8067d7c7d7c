import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { STORE_VALUE_LIMIT_BYTES } from '../ports/store.ts'
import type { Store, StoreResponse, StoreCall, StoreFailure, StoreFailureReason } from '../ports/store.ts'
import { isStoreResponse } from './response-guards.ts'
import type { Count } from './count.ts'
import { isAnything, isShape } from './guards.ts'
import type { HttpAnswer, HttpFailure } from './http-connection.ts'
import { createHttpPools } from './http-pools.ts'
import type { HttpPools } from './http-pools.ts'

export type HttpStoreOptions = {
  /** Base address of the store, `http://127.0.0.1:9000`. */
  readonly address: string
  /** Time for one call; a watch gets its `waitMs` on top. Default 2,000. */
  readonly callTimeoutMs?: number
  /** Most connections that take calls. Default 8. */
  readonly connections?: number
  readonly count?: Count
}

const DEFAULT_CALL_TIMEOUT_MS = 2_000
const DEFAULT_CONNECTIONS = 8

const isAnswerBody = isShape({ answer: isAnything })

/**
 * The store over HTTP.
 *
 * @example
 * const store = HttpStore.create({ address: 'http://127.0.0.1:9000' })
 * const result = await store.call({ type: 'read', prefix: 'groups/' })
 */
export class HttpStore implements Store {
  private constructor (
    private readonly address: string,
    private readonly callTimeoutMs: number,
    private readonly pools: HttpPools
  ) {}

  static create (options: HttpStoreOptions): HttpStore {
    const pools = createHttpPools({ connections: options.connections ?? DEFAULT_CONNECTIONS, count: options.count })
    return new HttpStore(options.address, options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, pools)
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (hasTooLargeValue(call)) return err({ reason: 'too-large', verdict: 'not-applied' })
    const pool = this.pools.of(this.address)
    if (pool === undefined) return err({ reason: 'unavailable', verdict: 'not-applied' })
    const timeoutMs = this.callTimeoutMs + (call.type === 'watch' ? call.waitMs : 0)
    const result = await pool.call({ method: 'POST', path: '/v1/call', body: JSON.stringify(call) }, timeoutMs)
    return result.match((answer) => interpret(call, answer), (failure) => err(failureOf(call, failure)))
  }

  close (): void {
    this.pools.close()
  }
}

function interpret (call: StoreCall, { status, body }: HttpAnswer): Result<StoreResponse, StoreFailure> {
  const answer = status === 200 && isAnswerBody(body) ? body.answer : undefined
  if (isStoreResponse(answer) && answer.type === call.type) return ok(answer)
  const refusal = refusalOf(status)
  if (refusal !== undefined) return err({ reason: refusal, verdict: 'not-applied' })
  return err({ reason: 'malformed-answer', verdict: verdictOf(call, true) })
}

/** Status with which the store tells that the call had no effect. */
function refusalOf (status: number): StoreFailureReason | undefined {
  switch (status) {
    case 413: return 'too-large'
    case 429: return 'overloaded'
    case 503: return 'unavailable'
    default: return undefined
  }
}

function failureOf (call: StoreCall, { reason, sent }: HttpFailure): StoreFailure {
  return { reason: reason === 'malformed' ? 'malformed-answer' : reason, verdict: verdictOf(call, sent) }
}

function verdictOf (call: StoreCall, sent: boolean): StoreFailure['verdict'] {
  return sent && call.type === 'transact' ? 'may-have-applied' : 'not-applied'
}

function hasTooLargeValue (call: StoreCall): boolean {
  return call.type === 'transact' && call.puts.some((put) => Buffer.byteLength(put.value) > STORE_VALUE_LIMIT_BYTES)
}
