import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

/**
 * What a proxy does with its connections. `silent`: bytes are held in both directions. `one-way`: requests pass and
 * answers are held. `reset`: connections are closed at once, new ones as well. `slow`: bytes pass late.
 */
export type LinkState = 'open' | 'slow' | 'silent' | 'one-way' | 'reset'

const SLOW_MS = 150

/** A loopback link between two parties that can be disturbed from outside. Bytes that were held when it heals are lost. */
export class LoopbackProxy {
  private state: LinkState = 'open'
  private readonly pairs = new Set<{ readonly client: Socket, readonly peer: Socket }>()

  private constructor (private readonly server: Server, readonly address: string) {}

  /**
   * @example
   * const link = await LoopbackProxy.listen('127.0.0.1:8182')
   * link.set('silent')
   */
  static async listen (target: string): Promise<LoopbackProxy> {
    const [host, port] = target.split(':')
    const server = createServer({ allowHalfOpen: false })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const proxy = new LoopbackProxy(server, `127.0.0.1:${(server.address() as AddressInfo).port}`)
    server.on('connection', (client) => proxy.join(client, connect({ host: host!, port: Number(port) })))
    return proxy
  }

  /** Changes the state; connections that have lost bytes stay silent, as after a real cut. */
  set (state: LinkState): void {
    this.state = state
    if (state === 'reset') this.resetAll()
  }

  close (): void {
    this.server.close()
    this.resetAll()
  }

  private resetAll (): void {
    for (const { client, peer } of this.pairs) {
      client.destroy()
      peer.destroy()
    }
  }

  private join (client: Socket, peer: Socket): void {
    if (this.state === 'reset') {
      client.destroy()
      peer.destroy()
      return
    }
    const pair = { client, peer }
    this.pairs.add(pair)
    const end = (): void => {
      this.pairs.delete(pair)
      client.destroy()
      peer.destroy()
    }
    for (const socket of [client, peer]) socket.on('error', end).on('close', end)
    client.on('data', (bytes) => this.forward(peer, bytes, this.state === 'silent'))
    peer.on('data', (bytes) => this.forward(client, bytes, this.state === 'silent' || this.state === 'one-way'))
  }

  private forward (to: Socket, bytes: Buffer, held: boolean): void {
    if (held) return
    if (this.state === 'slow') setTimeout(() => { if (!to.destroyed) to.write(bytes) }, SLOW_MS)
    else to.write(bytes)
  }
}
