import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/**
 * How an address that a process has left still accepts connections. `silent`: nothing answers, as with a host without power,
 * as far as the loopback interface allows. `closing`: they are closed at once, as by a balancer without a process behind it.
 */
export type LeftAddressState = 'silent' | 'closing'

/** An address that a process has left and that does not refuse connections. */
export class LeftAddress {
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server) {}

  /**
   * Occupies an address.
   *
   * @example
   * const address = await LeftAddress.listen('127.0.20.3', 7420, 'silent')
   */
  static async listen (host: string, port: number, state: LeftAddressState): Promise<LeftAddress> {
    const server = createServer({ pauseOnConnect: true })
    const address = new LeftAddress(server)
    server.on('connection', (socket) => {
      address.sockets.add(socket)
      socket.on('error', () => {}).on('close', () => address.sockets.delete(socket))
      if (state === 'closing') socket.destroy()
    })
    await new Promise<void>((resolve, reject) => server.on('error', reject).listen(port, host, resolve))
    return address
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}
