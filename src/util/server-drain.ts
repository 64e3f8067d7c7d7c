import { Server as TcpServer } from 'node:net'
import type { Socket } from 'node:net'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises'

/** How long requests that were sent on idle connections before the server closed may take to arrive, in milliseconds. */
const LINGER_MS = 300
/** A turn of the event loop that takes longer may leave new arrivals unread at its end, in milliseconds. */
const QUIET_TURN_MS = 1

/** Connections that a server keeps itself, in place of those of the HTTP library. */
export type DrainedConnections = {
  /** Closes the connections on which nothing of a request has arrived. */
  readonly closeIdle: () => void
  /** Gives requests that are not complete, and responses that are not read, little time from now on. */
  readonly startStopping: () => void
}

/** Closes an HTTP server without breaking off the requests that were sent to it. */
export class ServerDrain {
  private draining = false
  /** Number of connections and requests since the start. */
  private arrivals = 0

  /** Connections without a request so far. The server does not count them as idle. */
  private readonly unusedConnections = new Set<Socket>()

  private constructor (private readonly server: Server, private readonly connections?: DrainedConnections) {
    server.on('connection', (socket: Socket) => {
      this.arrivals += 1
      this.unusedConnections.add(socket)
      socket.once('close', () => this.unusedConnections.delete(socket))
    })
    server.prependListener('request', (request: IncomingMessage, response: ServerResponse) => {
      this.arrivals += 1
      this.unusedConnections.delete(request.socket)
      if (this.draining) response.shouldKeepAlive = false
    })
  }

  /**
   * Creates the drain of a server, before the server listens.
   *
   * @example
   * const drain = ServerDrain.create(server)
   * drain.start()
   * await drain.close()
   */
  static create (server: Server, connections?: DrainedConnections): ServerDrain {
    return new ServerDrain(server, connections)
  }

  /** From now on each response closes its connection, so that callers send their next request to another member. */
  start (): void {
    this.draining = true
  }

  /**
   * Stops accepting connections and resolves when every response has ended. A caller may have opened a connection that is
   * not accepted yet, or sent a request on an idle one that is not read yet; the operating system would reset both. So the
   * port and the idle connections are closed after a turn without arrivals, and idle connections a little later.
   */
  async close (): Promise<void> {
    this.start()
    this.connections?.startStopping()
    await this.waitForQuietTurn()
    // The method of the HTTP server would close idle connections immediately.
    const closed = new Promise<void>((resolve) => TcpServer.prototype.close.call(this.server, () => resolve()))
    await Promise.race([closed, delay(LINGER_MS)])
    await this.waitForQuietTurn()
    this.closeIdleConnections()
    await closed
  }

  private closeIdleConnections (): void {
    if (this.connections !== undefined) return this.connections.closeIdle()
    this.server.closeIdleConnections()
    for (const socket of this.unusedConnections) {
      if (socket.bytesRead === 0) socket.destroy()
    }
  }

  /** Waits until a short turn of the event loop has brought neither a connection nor a request, for `LINGER_MS` at most. */
  private async waitForQuietTurn (): Promise<void> {
    const deadline = performance.now() + LINGER_MS
    let startedAt: number
    let arrivals: number
    do {
      startedAt = performance.now()
      arrivals = this.arrivals
      await nextTurn()
    } while (performance.now() < deadline && (this.arrivals !== arrivals || performance.now() - startedAt > QUIET_TURN_MS))
  }
}
