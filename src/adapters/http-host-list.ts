import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { HostList, HostListFailure, HostListing } from '../ports/host-list.ts'
import { isHostListing } from './response-guards.ts'
import type { Count } from './count.ts'
import { isAnything, isNumber, isShape } from './guards.ts'
import type { HttpAnswer } from './http-connection.ts'
import { createHttpPools } from './http-pools.ts'
import type { HttpPools } from './http-pools.ts'

export type HttpHostListOptions = {
  /** Base address of the host list, `http://127.0.0.1:9002`. */
  readonly address: string
  /** Default 2,000. */
  readonly callTimeoutMs?: number
  readonly count?: Count
}

const DEFAULT_CALL_TIMEOUT_MS = 2_000
/** One reader at a time, and one connection while another is replaced. */
const CONNECTIONS = 2

const isAnswerBody = isShape({ answer: isAnything, version: isNumber })
const isUnchangedBody = isShape({ unchangedAgeMs: isNumber, version: isNumber })

/**
 * The host list over HTTP.
 *
 * @example
 * const hosts = HttpHostList.create({ address: 'http://127.0.0.1:9002' })
 * const result = await hosts.read()
 */
export class HttpHostList implements HostList {
  private known: { readonly version: number, readonly listing: HostListing } | undefined

  private constructor (
    private readonly address: string,
    private readonly callTimeoutMs: number,
    private readonly pools: HttpPools
  ) {}

  static create (options: HttpHostListOptions): HttpHostList {
    const pools = createHttpPools({ connections: CONNECTIONS, count: options.count })
    return new HttpHostList(options.address, options.callTimeoutMs ?? DEFAULT_CALL_TIMEOUT_MS, pools)
  }

  async read (): Promise<Result<HostListing, HostListFailure>> {
    const pool = this.pools.of(this.address)
    if (pool === undefined) return err({ reason: 'unavailable' })
    const body = JSON.stringify({ known: this.known?.version })
    const result = await pool.call({ method: 'POST', path: '/v1/call', body }, this.callTimeoutMs)
    return result.match((answer) => this.interpret(answer), ({ reason }) => err({ reason: reason === 'malformed' ? 'malformed-answer' : reason }))
  }

  close (): void {
    this.pools.close()
  }

  /** The whole list comes only when it has changed: at 3,800 hosts it has almost one megabyte. */
  private interpret ({ status, body }: HttpAnswer): Result<HostListing, HostListFailure> {
    if (status !== 200) return err({ reason: status === 503 ? 'unavailable' : 'malformed-answer' })
    if (isUnchangedBody(body) && body.version === this.known?.version) return ok({ ...this.known.listing, ageMs: body.unchangedAgeMs })
    if (!isAnswerBody(body) || !isHostListing(body.answer)) return err({ reason: 'malformed-answer' })
    this.known = { version: body.version, listing: body.answer }
    return ok(body.answer)
  }
}
