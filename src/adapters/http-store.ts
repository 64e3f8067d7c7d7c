import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { STORE_VALUE_LIMIT_BYTES } from '../ports/store.ts'
import type { Store, StoreResponse, StoreCall, StoreFailure, StoreFailureReason } from '../ports/store.ts'
import { isStoreResponse } from './response-guards.ts'
import type { IncrementCounter } from './count.ts'
import { isUnknown, isShape } from './guards.ts'
import type { HttpResponse, HttpFailure } from './http-connection.ts'
import { createHttpPools } from './http-pools.ts'
import type { HttpPools } from './http-pools.ts'

/** Options of the store client. */
export type HttpStoreOptions = {
  /** Base address of the store, for example `http://127.0.0.1:9000`. */
  readonly address: string
  /** Timeout of one call; for a watch, its `waitMs` is added. Default 2,000. */
  readonly callTimeoutMs?: number
  /** Maximum number of open connections. Default 8. */
  readonly maxConnections?: number
  readonly count?: IncrementCounter
}

const DEFAULT_CALL_TIMEOUT_MS = 2_000
const DEFAULT_MAX_CONNECTIONS = 8

const isResponseBody = isShape({ answer: isUnknown })

/**
 * Calls the store over HTTP.
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
    const pools = createHttpPools({ maxConnections: options.maxConnections ?? DEFAULT_MAX_CONNECTIONS, count: options.count })
    return new HttpStore(options.address, options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, pools)
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (hasTooLargeValue(call)) return err({ reason: 'too-large', verdict: 'not-applied' })
    const pool = this.pools.get(this.address)
    if (pool === undefined) return err({ reason: 'unavailable', verdict: 'not-applied' })
    const timeoutMs = this.callTimeoutMs + (call.type === 'watch' ? call.waitMs : 0)
    const result = await pool.call({ method: 'POST', path: '/v1/call', body: JSON.stringify(call) }, timeoutMs)
    return result.match((response) => parseResponse(call, response), (failure) => err(toStoreFailure(call, failure)))
  }

  close (): void {
    this.pools.close()
  }
}

function parseResponse (call: StoreCall, { status, body }: HttpResponse): Result<StoreResponse, StoreFailure> {
  const response = status === 200 && isResponseBody(body) ? body.answer : undefined
  if (isStoreResponse(response) && response.type === call.type) return ok(response)
  const refusal = toRefusalReason(status)
  if (refusal !== undefined) return err({ reason: refusal, verdict: 'not-applied' })
  return err({ reason: 'malformed-answer', verdict: getFailureVerdict(call, true) })
}

/** Maps a status code that means that the call had no effect to a failure reason; undefined for other status codes. */
function toRefusalReason (status: number): StoreFailureReason | undefined {
  switch (status) {
    case 413: return 'too-large'
    case 429: return 'overloaded'
    case 503: return 'unavailable'
    default: return undefined
  }
}

function toStoreFailure (call: StoreCall, { reason, sent }: HttpFailure): StoreFailure {
  return { reason: reason === 'malformed' ? 'malformed-answer' : reason, verdict: getFailureVerdict(call, sent) }
}

function getFailureVerdict (call: StoreCall, sent: boolean): StoreFailure['verdict'] {
  return sent && call.type === 'transact' ? 'may-have-applied' : 'not-applied'
}

function hasTooLargeValue (call: StoreCall): boolean {
  return call.type === 'transact' && call.puts.some((put) => Buffer.byteLength(put.value) > STORE_VALUE_LIMIT_BYTES)
}
