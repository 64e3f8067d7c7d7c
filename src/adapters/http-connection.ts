import { Client, errors } from 'undici'
import type { Dispatcher } from 'undici'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'

/** A request with an optional JSON body. */
export type HttpRequest = { readonly method: 'GET' | 'POST', readonly path: string, readonly body?: string }

/** Status and parsed JSON body of a response. */
export type HttpResponse = { readonly status: number, readonly body: unknown }

/** A failed call. `sent` is false only if no byte of the request was written, so the request cannot have had an effect. */
export type HttpFailure = {
  readonly reason: 'timeout' | 'unavailable' | 'malformed'
  readonly sent: boolean
}

/** Idle connections are closed after this time, which is shorter than the usual keep-alive timeout of servers. */
const KEEP_ALIVE_MS = 30_000

/**
 * A connection to a peer that carries one call at a time. A call that times out destroys the connection.
 *
 * @example
 * const connection = HttpConnection.create('http://127.0.0.1:9000', 1_000_000)
 * const result = await connection.call({ method: 'GET', path: '/v1/ping' }, 500)
 */
export class HttpConnection {
  private receivedResponse = false
  private reserved = false

  private constructor (private readonly client: Client) {}

  /** Throws a `TypeError` or an undici error if the origin is malformed. */
  static create (origin: string, maxResponseBytes: number): HttpConnection {
    const client = new Client(origin, {
      pipelining: 1,
      maxResponseSize: maxResponseBytes,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return new HttpConnection(client)
  }

  get busy (): boolean {
    return this.reserved
  }

  /** Reserves the connection for one caller until `release`. */
  reserve (): this {
    this.reserved = true
    return this
  }

  release (): void {
    this.reserved = false
  }

  /** Whether the connection has received a complete response. */
  get hasReceivedResponse (): boolean {
    return this.receivedResponse
  }

  get closed (): boolean {
    return this.client.destroyed || this.client.closed
  }

  async call (request: HttpRequest, timeoutMs: number): Promise<Result<HttpResponse, HttpFailure>> {
    const result = await this.sendRequest(request, timeoutMs)
    if (result.isOk()) this.receivedResponse = true
    return result
  }

  /** Closes the connection after a pending call has completed. */
  close (): void {
    this.client.close().catch(() => {})
  }

  /** Closes the connection immediately; a pending call fails. */
  destroy (): void {
    this.client.destroy().catch(() => {})
  }

  private sendRequest (request: HttpRequest, timeoutMs: number): Promise<Result<HttpResponse, HttpFailure>> {
    return new Promise((resolve) => {
      const pending = new PendingResponse((result) => {
        clearTimeout(timer)
        resolve(result)
      })
      const timer = setTimeout(() => {
        pending.fail('timeout')
        this.destroy()
      }, timeoutMs)
      const headers = request.body === undefined ? {} : { 'content-type': 'application/json' }
      this.client.dispatch({ ...request, headers }, pending)
    })
  }
}

/** Collects the response to one request and calls `onResult` exactly once. */
class PendingResponse implements Dispatcher.DispatchHandler {
  private sent = false
  private status = 0
  private completed = false
  private readonly chunks: Buffer[] = []

  constructor (private readonly onResult: (result: Result<HttpResponse, HttpFailure>) => void) {}

  onRequestStart (): void {
    this.sent = true
  }

  onResponseStart (_controller: unknown, status: number): void {
    this.status = status
  }

  onResponseData (_controller: unknown, chunk: Buffer): void {
    this.chunks.push(chunk)
  }

  onResponseEnd (): void {
    try {
      const body: unknown = JSON.parse(Buffer.concat(this.chunks).toString())
      this.complete(ok({ status: this.status, body }))
    } catch {
      this.fail('malformed')
    }
  }

  onResponseError (_controller: unknown, error: Error): void {
    this.fail(isMalformed(error) ? 'malformed' : 'unavailable')
  }

  fail (reason: HttpFailure['reason']): void {
    this.complete(err({ reason, sent: this.sent }))
  }

  private complete (result: Result<HttpResponse, HttpFailure>): void {
    if (this.completed) return
    this.completed = true
    this.onResult(result)
  }
}

function isMalformed (error: Error): boolean {
  return error instanceof errors.HTTPParserError || error instanceof errors.ResponseExceededMaxSizeError
}
