import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { IncrementCounter } from './count.ts'
import { IGNORE_COUNT } from './count.ts'
import { HttpConnection } from './http-connection.ts'
import type { HttpResponse, HttpFailure, HttpRequest } from './http-connection.ts'

/** Options of a connection pool. */
export type HttpPoolOptions = {
  /** Base address of the peer, for example `http://127.0.0.1:9000`. */
  readonly origin: string
  /** Maximum number of open connections, without those that are being closed. Default 8. */
  readonly maxConnections?: number
  /** Maximum size of a response. Default 16,000,000. */
  readonly maxResponseBytes?: number
  /** Timeout of a probe on a new connection. Default 1,000. */
  readonly probeTimeoutMs?: number
  readonly count?: IncrementCounter
}

/** Called with a reserved connection, or with undefined when the pool is closed. */
type Waiter = (connection: HttpConnection | undefined) => void

const DEFAULT_MAX_CONNECTIONS = 8
const DEFAULT_MAX_RESPONSE_BYTES = 16_000_000
const DEFAULT_PROBE_TIMEOUT_MS = 1_000
const PROBE: HttpRequest = { method: 'GET', path: '/v1/ping' }

/**
 * The connections to one peer; each connection carries one call at a time.
 *
 * Open connections may stop responding permanently while new connections work. After a call has timed out, all open
 * connections are suspects. The pool probes a new connection for each suspect in turn, and replaces the suspect if the
 * probe succeeds. Replacing all of them at once would send a burst of connections to a slow peer. A failed probe changes
 * nothing: the pool never marks the peer as unavailable.
 *
 * @example
 * const pool = HttpPool.create({ origin: 'http://127.0.0.1:9000' })
 * const result = await pool.call({ method: 'POST', path: '/v1/call', body: '{}' }, 2_000)
 */
export class HttpPool {
  private readonly connections = new Set<HttpConnection>()
  private readonly suspects = new Set<HttpConnection>()
  private readonly draining = new Set<HttpConnection>()
  private readonly waiters: Waiter[] = []
  private replacing = false
  private closed = false

  private constructor (
    private readonly origin: string,
    private readonly maxConnections: number,
    private readonly maxResponseBytes: number,
    private readonly probeTimeoutMs: number,
    private readonly count: IncrementCounter
  ) {}

  /** Throws if the origin is malformed. */
  static create (options: HttpPoolOptions): HttpPool {
    return new HttpPool(
      new URL(options.origin).origin,
      options.maxConnections ?? DEFAULT_MAX_CONNECTIONS,
      options.maxResponseBytes ?? DEFAULT_MAX_RESPONSE_BYTES,
      options.probeTimeoutMs ?? DEFAULT_PROBE_TIMEOUT_MS,
      options.count ?? IGNORE_COUNT
    )
  }

  get busy (): boolean {
    return this.waiters.length > 0 || [...this.connections, ...this.draining].some((connection) => connection.busy)
  }

  /** Sends one request; the timeout includes the time spent waiting for a connection. */
  async call (request: HttpRequest, timeoutMs: number): Promise<Result<HttpResponse, HttpFailure>> {
    const startedAt = performance.now()
    const connection = this.reserveConnection() ?? await this.waitForConnection(timeoutMs)
    if (connection === undefined) return err({ reason: 'timeout', sent: false })
    const remainingMs = Math.max(1, timeoutMs - (performance.now() - startedAt))
    const hadResponse = connection.hasReceivedResponse
    const result = await connection.call(request, remainingMs)
    if (result.isErr() && result.error.reason === 'timeout') this.handleTimeout(connection, hadResponse)
    this.release(connection)
    return result
  }

  /** Closes all connections; pending calls fail. */
  close (): void {
    this.closed = true
    for (const waiter of this.waiters.splice(0)) waiter(undefined)
    for (const connection of [...this.connections, ...this.draining]) connection.destroy()
    this.connections.clear()
    this.draining.clear()
    this.suspects.clear()
  }

  /** Reserves a connection for a call: an idle one that is not a suspect, otherwise a new one, otherwise an idle suspect. */
  private reserveConnection (): HttpConnection | undefined {
    if (this.closed) return undefined
    const idle = [...this.connections].filter((connection) => !connection.busy)
    const trusted = idle.find((connection) => !this.suspects.has(connection))
    if (trusted !== undefined) return trusted.reserve()
    if (this.connections.size < this.maxConnections) return this.openConnection().reserve()
    return idle[0]?.reserve()
  }

  private openConnection (): HttpConnection {
    const connection = HttpConnection.create(this.origin, this.maxResponseBytes)
    this.connections.add(connection)
    return connection
  }

  private waitForConnection (timeoutMs: number): Promise<HttpConnection | undefined> {
    if (this.closed) return Promise.resolve(undefined)
    return new Promise((resolve) => {
      const waiter: Waiter = (connection) => {
        clearTimeout(timer)
        resolve(connection)
      }
      const timer = setTimeout(() => {
        this.waiters.splice(this.waiters.indexOf(waiter), 1)
        resolve(undefined)
      }, timeoutMs)
      this.waiters.push(waiter)
    })
  }

  private release (connection: HttpConnection): void {
    connection.release()
    if (connection.closed) this.remove(connection)
    else if (this.draining.delete(connection)) connection.close()
    this.serveWaiters()
  }

  private remove (connection: HttpConnection): void {
    this.connections.delete(connection)
    this.suspects.delete(connection)
    this.draining.delete(connection)
  }

  private serveWaiters (): void {
    while (this.waiters.length > 0) {
      const connection = this.reserveConnection()
      if (connection === undefined) return
      this.waiters.shift()!(connection)
    }
  }

  /** Removes the connection. A timeout on a connection that never received a response says nothing about the other connections. */
  private handleTimeout (connection: HttpConnection, hadResponse: boolean): void {
    this.count('http-connection', 'timeout')
    this.remove(connection)
    if (!hadResponse) return
    for (const other of this.connections) this.suspects.add(other)
    if (!this.replacing && !this.closed) this.replaceSuspects().catch(() => {}).finally(() => { this.replacing = false })
  }

  private async replaceSuspects (): Promise<void> {
    this.replacing = true
    let suspect = this.findNextSuspect()
    while (suspect !== undefined) {
      const replacement = HttpConnection.create(this.origin, this.maxResponseBytes)
      const probeResult = await replacement.call(PROBE, this.probeTimeoutMs)
      if (probeResult.isErr() || this.closed) {
        replacement.destroy()
        this.count('http-connection', 'probe-failed')
        break
      }
      this.replaceSuspect(suspect, replacement)
      suspect = this.findNextSuspect()
    }
  }

  private findNextSuspect (): HttpConnection | undefined {
    const suspects = [...this.suspects]
    return suspects.find((connection) => !connection.busy) ?? suspects[0]
  }

  /** Adds the replacement only below the connection limit: the suspect may have been removed, and others opened, during the probe. */
  private replaceSuspect (suspect: HttpConnection, replacement: HttpConnection): void {
    if (this.connections.has(suspect)) {
      this.remove(suspect)
      if (suspect.busy) this.draining.add(suspect)
      else suspect.destroy()
      this.count('http-connection', 'replaced')
    }
    if (this.connections.size < this.maxConnections) this.connections.add(replacement)
    else replacement.close()
    this.serveWaiters()
  }
}
