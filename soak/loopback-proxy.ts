import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/**
 * How a proxy handles its connections. `open`: bytes are forwarded. `slow`: bytes are forwarded with a delay. `silent`:
 * bytes are discarded in both directions. `one-way`: requests are forwarded and responses are discarded. `reset`: open
 * and new connections are closed immediately.
 */
export type LinkState = 'open' | 'slow' | 'silent' | 'one-way' | 'reset'

const SLOW_LINK_DELAY_MS = 150

/** A TCP proxy on the loopback address that can simulate network faults. Bytes that it discards are not sent later. */
export class LoopbackProxy {
  private state: LinkState = 'open'
  private readonly connections = new Set<{ readonly client: Socket, readonly peer: Socket }>()

  private constructor (private readonly server: Server, readonly address: string) {}

  /**
   * Starts a proxy that forwards to the target address.
   *
   * @example
   * const link = await LoopbackProxy.listen('127.0.0.1:8182')
   * link.setState('silent')
   */
  static async listen (target: string): Promise<LoopbackProxy> {
    const [host, port] = target.split(':')
    const server = createServer({ allowHalfOpen: false })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const proxy = new LoopbackProxy(server, `127.0.0.1:${(server.address() as AddressInfo).port}`)
    server.on('connection', (client) => proxy.connectPair(client, connect({ host: host!, port: Number(port) })))
    return proxy
  }

  /** Changes the state. Bytes that open connections have already lost stay lost, as after a real network failure. */
  setState (state: LinkState): void {
    this.state = state
    if (state === 'reset') this.resetAll()
  }

  close (): void {
    this.server.close()
    this.resetAll()
  }

  private resetAll (): void {
    for (const { client, peer } of this.connections) {
      client.destroy()
      peer.destroy()
    }
  }

  private connectPair (client: Socket, peer: Socket): void {
    if (this.state === 'reset') {
      client.destroy()
      peer.destroy()
      return
    }
    const pair = { client, peer }
    this.connections.add(pair)
    const closePair = (): void => {
      this.connections.delete(pair)
      client.destroy()
      peer.destroy()
    }
    for (const socket of [client, peer]) socket.on('error', closePair).on('close', closePair)
    client.on('data', (bytes) => this.forward(peer, bytes, this.state === 'silent'))
    peer.on('data', (bytes) => this.forward(client, bytes, this.state === 'silent' || this.state === 'one-way'))
  }

  private forward (destination: Socket, bytes: Buffer, discard: boolean): void {
    if (discard) return
    if (this.state === 'slow') setTimeout(() => { if (!destination.destroyed) destination.write(bytes) }, SLOW_LINK_DELAY_MS)
    else destination.write(bytes)
  }
}
