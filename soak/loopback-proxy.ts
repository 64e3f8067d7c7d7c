import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { computeRetransmissionDelay, ProxiedStream } from './proxied-stream.ts'
import type { LinkState } from './proxied-stream.ts'
import { resetSocket } from './reset-socket.ts'

type ProxiedConnection = {
  readonly client: Socket
  readonly peer: Socket
  readonly requests: ProxiedStream
  readonly responses: ProxiedStream
  /** Whether the network has set up the connection; on a link that holds its bytes, this waits until it is open. */
  isEstablished: boolean
  /** Whether the target has ended without a sign, so that the client does not know it yet. */
  isAbandoned: boolean
  /** When the client first sent something on an abandoned connection, which is reset as soon as this gets through. */
  unansweredSinceMs: number | undefined
}

const DEFAULT_HOST = '127.0.0.1'

/** A TCP proxy on a loopback address that can simulate network faults. Bytes that it discards are not sent later. */
export class LoopbackProxy {
  private state: LinkState = 'open'
  private readonly connections = new Set<ProxiedConnection>()

  private constructor (private readonly server: Server, private readonly host: string, private readonly port: number) {}

  /**
   * Starts a proxy at a port of its own host that forwards to the target address.
   *
   * @example
   * const link = await LoopbackProxy.listen('127.0.0.1:8182')
   * link.setState('silent')
   */
  static async listen (target: string, ownHost = DEFAULT_HOST): Promise<LoopbackProxy> {
    const [host, port] = target.split(':')
    const server = createServer({ allowHalfOpen: false })
    await new Promise<void>((resolve) => server.listen(0, ownHost, resolve))
    const proxy = new LoopbackProxy(server, ownHost, (server.address() as AddressInfo).port)
    server.on('connection', (client) => proxy.connectPair(client, connect({ host: host!, port: Number(port) })))
    return proxy
  }

  get address (): string {
    return `${this.host}:${this.port}`
  }

  /** Changes the state. Bytes that open connections have already lost stay lost. */
  setState (state: LinkState): void {
    const before = this.state
    if (state === before) return
    this.state = state
    if (before === 'dark') this.resetAll(({ isAbandoned, client }) => !isAbandoned || client.destroyed)
    if (isRefusing(before) && !isRefusing(state)) this.server.listen(this.port, this.host)
    for (const connection of this.connections) {
      connection.isEstablished ||= state !== 'held'
      connection.requests.setState(state)
      connection.responses.setState(state)
    }
    if (isRefusing(state) && !isRefusing(before)) this.server.close()
    if (state === 'reset' || state === 'refused') this.resetAll()
    for (const connection of this.connections) this.retransmitUnanswered(connection)
  }

  /** Closes the target's side of all connections, as a process that ends does. A disturbed link holds back that they have ended. */
  closeTargetSides (): void {
    for (const { peer } of this.connections) peer.destroy()
  }

  /**
   * Ends the target's side of all connections without a sign, as a host that loses its power. Open connections go on for the
   * client until something that it sends gets through: then they are reset, as the next process at the address knows nothing of
   * them.
   */
  abandonConnections (): void {
    for (const connection of this.connections) {
      connection.isAbandoned = true
      connection.peer.destroy()
    }
  }

  close (): void {
    this.server.close()
    this.resetAll()
  }

  private resetAll (isAffected: (connection: ProxiedConnection) => boolean = () => true): void {
    for (const connection of this.connections) if (isAffected(connection)) this.reset(connection)
  }

  private reset (connection: ProxiedConnection): void {
    this.connections.delete(connection)
    if (connection.isAbandoned) resetSocket(connection.client)
    else connection.client.destroy()
    connection.peer.destroy()
  }

  private connectPair (client: Socket, peer: Socket): void {
    if (this.state === 'reset') {
      client.destroy()
      peer.destroy()
      return
    }
    const { state } = this
    const requests = ProxiedStream.create(peer, 'requests', state)
    const responses = ProxiedStream.create(client, 'responses', state)
    const connection: ProxiedConnection = { client, peer, requests, responses, isEstablished: state !== 'held', isAbandoned: false, unansweredSinceMs: undefined }
    this.connections.add(connection)
    client.on('data', (bytes) => this.receiveFromClient(connection, bytes)).on('error', () => {}).on('close', () => this.closeSide(connection, requests))
    peer.on('data', (bytes) => responses.write(bytes)).on('error', () => {}).on('close', () => this.closeSide(connection, responses))
  }

  private receiveFromClient (connection: ProxiedConnection, bytes: Buffer): void {
    if (!connection.isAbandoned) return connection.requests.write(bytes)
    connection.unansweredSinceMs ??= performance.now()
    this.resetIfReached(connection)
  }

  /** Resets an abandoned connection at the next retransmission of what was sent on it, if it gets through then. */
  private retransmitUnanswered (connection: ProxiedConnection): void {
    const { unansweredSinceMs } = connection
    if (unansweredSinceMs === undefined) return
    setTimeout(() => this.resetIfReached(connection), computeRetransmissionDelay(performance.now() - unansweredSinceMs)).unref()
  }

  private resetIfReached (connection: ProxiedConnection): void {
    if (isForwarding(this.state) && this.connections.has(connection)) this.reset(connection)
  }

  /** Passes on that one side has closed, which may have to wait like the bytes that it has sent before. */
  private closeSide (connection: ProxiedConnection, stream: ProxiedStream): void {
    const { client, peer, isEstablished, isAbandoned } = connection
    if (this.state === 'dark' || (isAbandoned && !client.destroyed)) return
    if (!isEstablished || !stream.isHolding || (client.destroyed && peer.destroyed)) this.reset(connection)
    else stream.end()
  }
}

function isRefusing (state: LinkState): boolean {
  return state === 'refused' || state === 'refuses-new'
}

/** Whether what a client sends reaches the target's host at once. */
function isForwarding (state: LinkState): boolean {
  return state === 'open' || state === 'slow' || state === 'one-way' || state === 'refuses-new'
}
