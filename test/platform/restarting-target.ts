import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { resetSocket } from '../../soak/reset-socket.ts'

const HEADER_END = '\r\n\r\n'
/** Connections are opened from 127.0.0.1, so that none of them gets the port of a target that is down. */
const HOST = '127.0.0.2'

/** One request as a life of the target has read it. */
export type ReceivedRequest = { readonly incarnation: number, readonly path: string, readonly body: Readonly<Record<string, unknown>> }

/** Ends of a connection's life: in order (FIN), by a reset, or not at all, as behind a cut. */
export type ConnectionEnd = 'closed' | 'reset' | 'left open'

/** How a target answers a request; `undefined` leaves it without an answer. */
export type Answering = (request: ReceivedRequest, socket: Socket) => string | undefined

/**
 * A target with real sockets that starts again at the same port. Each life answers for itself alone, and reads only what comes over
 * connections that it has accepted.
 */
export class RestartingTarget {
  readonly received: ReceivedRequest[] = []
  /** Number of connections that each life has accepted. */
  readonly acceptedCounts = new Map<number, number>()
  answer: Answering = (request) => formatAnswer(request)
  private incarnation = 1
  private server: Server | undefined
  private sockets = new Set<Socket>()
  private port = 0

  private constructor () {}

  /** Starts the first life of a target. */
  static async start (): Promise<RestartingTarget> {
    const target = new RestartingTarget()
    await target.listen()
    return target
  }

  get address (): string {
    return `${HOST}:${this.port}`
  }

  /** What a life has received, by path. */
  pathsOf (incarnation: number): readonly string[] {
    return this.received.filter((request) => request.incarnation === incarnation).map(({ path }) => path)
  }

  /** Ends the present life, which answers nothing from then on. Its port refuses connections. */
  async crash (end: ConnectionEnd): Promise<void> {
    const { server, sockets } = this
    this.server = undefined
    const closed = new Promise((resolve) => server?.close(resolve))
    for (const socket of sockets) {
      socket.removeAllListeners('data')
      if (end === 'closed') socket.destroy()
      if (end === 'reset') resetSocket(socket)
    }
    if (end === 'left open') return
    this.sockets = new Set()
    await closed
  }

  /** Starts the next life at the same port. */
  async restart (): Promise<void> {
    this.incarnation += 1
    await this.listen()
  }

  async close (): Promise<void> {
    await this.crash('reset')
  }

  private async listen (): Promise<void> {
    const { incarnation, sockets } = this
    const server = createServer((socket) => {
      sockets.add(socket)
      this.acceptedCounts.set(incarnation, (this.acceptedCounts.get(incarnation) ?? 0) + 1)
      socket.on('error', () => {})
      this.readRequests(socket, incarnation)
    })
    this.server = server
    await once(server.listen(this.port, HOST), 'listening')
    this.port = (server.address() as AddressInfo).port
  }

  private readRequests (socket: Socket, incarnation: number): void {
    let text = ''
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString()
      for (let request = parseRequest(text, incarnation); request !== undefined; request = parseRequest(text, incarnation)) {
        text = text.slice(request.length)
        this.received.push(request)
        const answer = this.answer(request, socket)
        if (answer !== undefined) socket.write(answer)
      }
    })
  }
}

/** Formats the answer of a healthy target: its listing, or that it accepts a command. */
export function formatAnswer ({ incarnation, path }: ReceivedRequest, headers = ''): string {
  const body = JSON.stringify(path === '/hold' ? { born: incarnation, clockMs: 5, running: [], ended: [] } : { clockMs: 5 })
  return `HTTP/1.1 200 OK\r\n${headers}content-type: application/json\r\ncontent-length: ${Buffer.byteLength(body)}${HEADER_END}${body}`
}

function parseRequest (text: string, incarnation: number): ReceivedRequest & { readonly length: number } | undefined {
  const headerLength = text.indexOf(HEADER_END)
  if (headerLength < 0) return undefined
  const bodyLength = Number(/content-length: (\d+)/i.exec(text.slice(0, headerLength))?.[1] ?? 0)
  const length = headerLength + HEADER_END.length + bodyLength
  if (text.length < length) return undefined
  const body = JSON.parse(text.slice(length - bodyLength, length)) as Readonly<Record<string, unknown>>
  return { incarnation, path: text.split(' ', 2)[1]!, body, length }
}
