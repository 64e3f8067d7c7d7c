import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HostList, HostListFailure, HostListing } from '../ports/host-list.ts'
import { isHostListing } from './response-guards.ts'
import type { IncrementCounter } from './count.ts'
import { isUnknown, isNumber, isShape } from './guards.ts'
import type { HttpResponse } from './http-connection.ts'
import { createHttpPools } from './http-pools.ts'
import type { HttpPools } from './http-pools.ts'

/** Options of the host list client. */
export type HttpHostListOptions = {
  /** Base address of the host list, for example `http://127.0.0.1:9002`. */
  readonly address: string
  /** Timeout of one call. Default 2,000. */
  readonly callTimeoutMs?: number
  readonly count?: IncrementCounter
}

const DEFAULT_CALL_TIMEOUT_MS = 2_000
/** Only one call runs at a time; the second connection allows for the replacement of the first. */
const MAX_CONNECTIONS = 2

const isListingBody = isShape({ answer: isUnknown, version: isNumber })
const isUnchangedBody = isShape({ unchangedAgeMs: isNumber, version: isNumber })

/**
 * Reads the host list over HTTP.
 *
 * @example
 * const hosts = HttpHostList.create({ address: 'http://127.0.0.1:9002' })
 * const result = await hosts.read()
 */
export class HttpHostList implements HostList {
  private cached: { readonly version: number, readonly listing: HostListing } | undefined

  private constructor (
    private readonly address: string,
    private readonly callTimeoutMs: number,
    private readonly pools: HttpPools
  ) {}

  static create (options: HttpHostListOptions): HttpHostList {
    const pools = createHttpPools({ maxConnections: MAX_CONNECTIONS, count: options.count })
    return new HttpHostList(options.address, options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, pools)
  }

  async read (): Promise<Result<HostListing, HostListFailure>> {
    const pool = this.pools.get(this.address)
    if (pool === undefined) return err({ reason: 'unavailable' })
    const body = JSON.stringify({ known: this.cached?.version })
    const result = await pool.call({ method: 'POST', path: '/v1/call', body }, this.callTimeoutMs)
    return result.match((response) => this.parseResponse(response), ({ reason }) => err({ reason: reason === 'malformed' ? 'malformed-answer' : reason }))
  }

  close (): void {
    this.pools.close()
  }

  /** The response contains the full list only if the list has changed, because it is almost one megabyte for 3,800 hosts. */
  private parseResponse ({ status, body }: HttpResponse): Result<HostListing, HostListFailure> {
    if (status !== 200) return err({ reason: status === 503 ? 'unavailable' : 'malformed-answer' })
    if (isUnchangedBody(body) && body.version === this.cached?.version) return ok({ ...this.cached.listing, ageMs: body.unchangedAgeMs })
    if (!isListingBody(body) || !isHostListing(body.answer)) return err({ reason: 'malformed-answer' })
    this.cached = { version: body.version, listing: body.answer }
    return ok(body.answer)
  }
}
