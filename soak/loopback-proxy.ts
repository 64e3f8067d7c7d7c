import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { ProxiedStream } from './proxied-stream.ts'
import type { LinkState } from './proxied-stream.ts'

/** `isEstablished`: whether the network has set up the connection; on a link that holds its bytes, this waits until it is open. */
type ProxiedConnection = { readonly client: Socket, readonly peer: Socket, readonly requests: ProxiedStream, readonly responses: ProxiedStream, isEstablished: boolean }

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
    if (before === 'dark') this.resetAll()
    if (isRefusing(before) && !isRefusing(state)) this.server.listen(this.port, this.host)
    for (const connection of this.connections) {
      connection.isEstablished ||= state !== 'held'
      connection.requests.setState(state)
      connection.responses.setState(state)
    }
    if (isRefusing(state) && !isRefusing(before)) this.server.close()
    if (state === 'reset' || state === 'refused') this.resetAll()
  }

  /** Closes the target's side of all connections, as a process that ends does. A disturbed link holds back that they have ended. */
  closeTargetSides (): void {
    for (const { peer } of this.connections) peer.destroy()
  }

  close (): void {
    this.server.close()
    this.resetAll()
  }

  private resetAll (): void {
    for (const connection of this.connections) this.reset(connection)
  }

  private reset (connection: ProxiedConnection): void {
    this.connections.delete(connection)
    connection.client.destroy()
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
    const connection: ProxiedConnection = { client, peer, requests, responses, isEstablished: state !== 'held' }
    this.connections.add(connection)
    client.on('data', (bytes) => requests.write(bytes)).on('error', () => {}).on('close', () => this.closeSide(connection, requests))
    peer.on('data', (bytes) => responses.write(bytes)).on('error', () => {}).on('close', () => this.closeSide(connection, responses))
  }

  /** Passes on that one side has closed, which may have to wait like the bytes that it has sent before. */
  private closeSide (connection: ProxiedConnection, stream: ProxiedStream): void {
    const { client, peer, isEstablished } = connection
    if (this.state === 'dark') return
    if (!isEstablished || !stream.isHolding || (client.destroyed && peer.destroyed)) this.reset(connection)
    else stream.end()
  }
}

function isRefusing (state: LinkState): boolean {
  return state === 'refused' || state === 'refuses-new'
}
