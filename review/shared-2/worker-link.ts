import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'

type Connection = { readonly client: Socket, readonly peer: Socket, isStale: boolean }

/** `open`: bytes are forwarded. `dark`: the host has no power. `cut`: the network loses all bytes. */
type LinkState = 'open' | 'dark' | 'cut'

/**
 * A TCP proxy on a loopback address in front of a worker. A connection from before a restart of the host stays silent until its
 * client sends something, which the host then answers with a reset, as the kernel of a restarted host does.
 */
export class WorkerLink {
  private state: LinkState = 'open'
  private readonly connections = new Set<Connection>()

  private constructor (private readonly server: Server) {}

  static async listen (target: string): Promise<WorkerLink> {
    const [host, port] = target.split(':')
    const server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const link = new WorkerLink(server)
    server.on('connection', (client) => link.join(client, connect({ host: host!, port: Number(port) })))
    return link
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Changes the state. No connection that is open in `dark` or `cut` works again. */
  setState (state: LinkState): void {
    this.state = state
    if (state === 'open') return
    for (const connection of this.connections) connection.isStale = true
  }

  close (): void {
    this.server.close()
    for (const { client, peer } of this.connections) {
      client.destroy()
      peer.destroy()
    }
  }

  private join (client: Socket, peer: Socket): void {
    const connection: Connection = { client, peer, isStale: this.state !== 'open' }
    this.connections.add(connection)
    client.on('data', (bytes) => {
      if (connection.isStale && this.state === 'open') client.destroy()
      else if (!connection.isStale && !peer.destroyed) peer.write(bytes)
    })
    peer.on('data', (bytes) => { if (!connection.isStale && !client.destroyed) client.write(bytes) })
    client.on('error', () => {}).on('close', () => this.leave(connection))
    peer.on('error', () => {}).on('close', () => { if (!connection.isStale) this.leave(connection) })
  }

  private leave (connection: Connection): void {
    this.connections.delete(connection)
    connection.client.destroy()
    connection.peer.destroy()
  }
}
