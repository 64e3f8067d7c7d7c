import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { CallerConnection } from './caller-connection.ts'
import type { ConnectionEvents } from './caller-connection.ts'
import { chooseVictim, findOverdue } from './connection-state.ts'
import type { Ingress } from './ingress.ts'

/** `service`: for readiness and metrics, whose requests have no body. */
export type IngressPortOptions = {
  readonly ingress: Ingress
  readonly kind: 'callers' | 'service'
  readonly getMaxBodyBytes?: () => number
}

/** Bytes of a request beside its body. The HTTP library allows 16 KB for headers, for trailers and for the extensions of chunks. */
const OVERHEAD_BYTES = 65_536
/** Bytes that are sent for one byte of a body in chunks of one byte, rounded up. */
const BYTES_PER_BODY_BYTE = 8
/** A body up to this size that is not wanted is read and discarded, so that its connection can be kept, in bytes. */
const MAX_UNWANTED_BYTES = 16_384

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large'
}

/** An HTTP server whose connections are limited by the ingress of the process. */
export class IngressPort {
  readonly server: Server
  private readonly connections = new Set<CallerConnection>()
  private readonly events: ConnectionEvents
  private stoppingSinceMs: number | undefined

  private constructor (private readonly options: IngressPortOptions) {
    const { ingress, getMaxBodyBytes = () => 0 } = options
    // With this mark a socket stops reading after one read. The times are checked here and not by the library.
    this.server = createServer({ highWaterMark: 1, headersTimeout: 0, requestTimeout: 0, keepAliveTimeout: ingress.limits.idleTimeoutMs })
    this.events = {
      onPassable: (connection) => ingress.scheduler.add(connection),
      onReceived: (connection) => ingress.enforceBytes(connection),
      onHeldChange: (organisation, bytes, requests) => ingress.account(organisation, bytes, requests),
      onClose: (connection) => this.remove(connection),
      getMaxRequestBytes: () => OVERHEAD_BYTES + BYTES_PER_BODY_BYTE * getMaxBodyBytes(),
      onTooLong: (connection) => {
        ingress.countClosed('request-too-long')
        connection.destroy()
      }
    }
    this.replaceConnectionListener()
    this.server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      if (options.kind === 'service' && mustCloseAfter(request)) response.shouldKeepAlive = false
      getConnection(request)?.begin(request, response)
    })
    // The body is asked for when it is read, so that a request can be refused before.
    this.server.on('checkContinue', (request, response) => this.server.emit('request', request, response))
    this.server.on('clientError', (error: NodeJS.ErrnoException, connection) => this.handleClientError(error, connection as unknown as CallerConnection))
    ingress.addPort(this)
  }

  /**
   * Creates a server that does not listen yet.
   *
   * @example
   * const port = IngressPort.create({ ingress, kind: 'callers', getMaxBodyBytes: () => 262_144 })
   * port.server.on('request', handler).listen(8183)
   */
  static create (options: IngressPortOptions): IngressPort {
    return new IngressPort(options)
  }

  /** Closes the connections on which nothing of a request has arrived. */
  closeIdle (): void {
    for (const connection of this.connections) {
      if (connection.isQuiet) connection.destroy()
    }
  }

  /** From now on, unfinished requests and unread responses have little time left. */
  startStopping (): void {
    this.stoppingSinceMs ??= performance.now()
  }

  closeAll (): void {
    for (const connection of this.connections) connection.destroy()
  }

  sweep (now: number): void {
    const { ingress } = this.options
    for (const connection of this.connections) {
      const reason = findOverdue(connection.state, ingress.limits, now, this.stoppingSinceMs)
      if (reason === undefined) continue
      ingress.countClosed(reason)
      connection.destroy()
    }
  }

  /** The library gets a `CallerConnection` in place of each socket. */
  private replaceConnectionListener (): void {
    const listeners = this.server.listeners('connection')
    this.server.removeAllListeners('connection')
    this.server.on('connection', (socket: Socket) => {
      const connection = this.accept(socket)
      if (connection === undefined) return
      for (const listener of listeners) listener.call(this.server, connection)
    })
  }

  private accept (socket: Socket): CallerConnection | undefined {
    const { ingress, kind } = this.options
    const limit = kind === 'callers' ? ingress.limits.maxConnections : ingress.limits.maxServiceConnections
    if (this.connections.size >= limit) {
      ingress.countClosed('connections')
      const victim = chooseVictim(this.connections, ({ state }) => state, 'descriptor')
      if (victim === undefined) {
        socket.destroy()
        return undefined
      }
      victim.destroy()
    }
    const connection = CallerConnection.create(socket, this.events)
    this.connections.add(connection)
    ingress.connections.add(connection)
    return connection
  }

  private remove (connection: CallerConnection): void {
    this.connections.delete(connection)
    this.options.ingress.connections.delete(connection)
    this.options.ingress.scheduler.remove(connection)
  }

  /** Bytes that are no request get the library's usual response, unless an earlier request still waits for its own. */
  private handleClientError ({ code = '' }: NodeJS.ErrnoException, connection: CallerConnection): void {
    if (connection.destroyed) return
    // After a refusal the rest of the request is missing.
    if (connection.isRefusingFurther) return
    this.options.ingress.countClosed('malformed')
    const { phase } = connection.state
    connection.refuseFurther()
    if (phase === 'serving' || phase === 'unread') return
    if (connection.abortBody !== undefined) return connection.abortBody('interrupted')
    if (!connection.isBetweenResponses) connection.destroy()
    else connection.end(`HTTP/1.1 ${STATUS_LINES[code] ?? '400 Bad Request'}\r\nConnection: close\r\n\r\n`)
  }
}

/** Returns the connection of a request that came through an ingress port. */
export function getConnection ({ socket }: IncomingMessage): CallerConnection | undefined {
  const connection: unknown = socket
  return connection instanceof CallerConnection ? connection : undefined
}

/**
 * Whether the connection has to be closed after a response that is sent before the body has been read.
 *
 * @example
 * if (mustCloseAfter(request)) response.setHeader('connection', 'close')
 */
export function mustCloseAfter (request: IncomingMessage): boolean {
  if (request.complete) return false
  const { 'transfer-encoding': encoding, expect, 'content-length': length } = request.headers
  return encoding !== undefined || (expect !== undefined && Number(length ?? 0) > 0) || Number(length ?? 0) > MAX_UNWANTED_BYTES
}
