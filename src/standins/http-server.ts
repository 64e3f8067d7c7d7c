import { once } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import polka from 'polka'
import { FaultSwitches, parseFaults } from './faults.ts'

/** Status and JSON body of a response. */
export type HttpResponse = { readonly status: number, readonly body: unknown }

/** Handles the parsed JSON body of a request. */
export type RequestHandler = (body: unknown) => Promise<HttpResponse>

/** Options of `StandinServer.listen`. */
export type StandinServerOptions = {
  /** Handles the calls that a client sends with `POST /v1/call`. */
  readonly call: RequestHandler
  /** Handlers of further admin requests, `POST /admin/<name>`. */
  readonly admin?: Readonly<Record<string, RequestHandler>>
  /** Default 0: the system chooses a port. */
  readonly port?: number
  readonly onClose?: () => void
}

const MAX_BODY_BYTES = 16_000_000
/** Longer than clients keep idle connections, so that no call is sent on a connection that the server is closing. */
const KEEP_ALIVE_TIMEOUT_MS = 120_000

/**
 * HTTP server of one stand-in on loopback, with fault injection. `POST /admin/faults` sets the fields of `Faults`. After
 * `POST /admin/silence`, requests on the connections that are open at that time get no response; new connections work.
 *
 * @example
 * const server = await StandinServer.listen({ call: async () => ({ status: 200, body: {} }) })
 * server.address // 'http://127.0.0.1:34567'
 */
export class StandinServer {
  readonly faults = FaultSwitches.create()
  private readonly app = polka({ onError: (_error, _request, response) => sendResponse(response as ServerResponse, { status: 400, body: {} }) })
  private readonly sockets = new Set<Socket>()
  private readonly silentSockets = new WeakSet<Socket>()

  private constructor (private readonly options: StandinServerOptions) {}

  static async listen (options: StandinServerOptions): Promise<StandinServer> {
    const server = new StandinServer(options)
    server.registerRoutes()
    server.app.listen(options.port ?? 0, '127.0.0.1')
    server.http.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS
    server.http.on('connection', (socket) => server.trackSocket(socket))
    await once(server.http, 'listening')
    return server
  }

  /** Base address, such as `http://127.0.0.1:34567`. */
  get address (): string {
    return `http://127.0.0.1:${this.port}`
  }

  get port (): number {
    return (this.http.address() as AddressInfo).port
  }

  /** Number of open connections. */
  get connections (): number {
    return this.sockets.size
  }

  /** Stops responding on the connections that are open now, except on the given one. */
  silenceConnections (except?: Socket): void {
    for (const socket of this.sockets) {
      if (socket !== except) this.silentSockets.add(socket)
    }
  }

  /** Breaks all open connections. */
  disconnect (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  async close (): Promise<void> {
    this.options.onClose?.()
    const closed = once(this.http, 'close')
    this.http.close()
    this.disconnect()
    await closed
  }

  private get http () {
    return this.app.server!
  }

  private trackSocket (socket: Socket): void {
    this.sockets.add(socket)
    socket.on('close', () => this.sockets.delete(socket))
  }

  private registerRoutes (): void {
    this.app.get('/v1/ping', (request, response) => this.handlePing(request, response))
    this.app.post('/v1/call', (request, response) => { this.handleCall(request, response).catch(() => request.socket.destroy()) })
    const admin: Record<string, RequestHandler> = { ...this.options.admin, faults: (body) => this.handleSetFaults(body) }
    for (const [name, handler] of Object.entries(admin)) {
      this.app.post(`/admin/${name}`, (request, response) => { this.handleAdmin(request, response, handler).catch(() => request.socket.destroy()) })
    }
    this.app.post('/admin/silence', (request, response) => {
      this.silenceConnections(request.socket)
      sendResponse(response, { status: 200, body: {} })
    })
  }

  private handlePing (request: IncomingMessage, response: ServerResponse): void {
    if (this.silentSockets.has(request.socket) || this.faults.current.outage === 'hang') return
    sendResponse(response, { status: 200, body: {} })
  }

  private async handleCall (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { outage, delayMs } = this.faults.current
    if (this.silentSockets.has(request.socket) || outage === 'hang') return
    const body = await readJson(request)
    if (body === undefined) return sendResponse(response, { status: 400, body: {} })
    if (outage === 'refuse') return sendResponse(response, { status: 503, body: {} })
    if (delayMs > 0) await sleep(delayMs)
    const result = await this.options.call(body.value)
    const outageNow = this.faults.current.outage
    if (this.silentSockets.has(request.socket) || outageNow === 'hang') return
    if (outageNow === 'refuse' || this.faults.consumeAnswerLoss()) request.socket.destroy()
    else sendResponse(response, result)
  }

  private async handleAdmin (request: IncomingMessage, response: ServerResponse, handler: RequestHandler): Promise<void> {
    const body = await readJson(request)
    sendResponse(response, body === undefined ? { status: 400, body: {} } : await handler(body.value))
  }

  private handleSetFaults (body: unknown): Promise<HttpResponse> {
    this.faults.set(parseFaults(body))
    return Promise.resolve({ status: 200, body: this.faults.current })
  }
}

async function readJson (request: IncomingMessage): Promise<{ value: unknown } | undefined> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request) {
    bytes += (chunk as Buffer).length
    if (bytes > MAX_BODY_BYTES) return undefined
    chunks.push(chunk as Buffer)
  }
  try {
    return { value: JSON.parse(Buffer.concat(chunks).toString() || '{}') }
  } catch {
    return undefined
  }
}

function sendResponse (response: ServerResponse, { status, body }: HttpResponse): void {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
