import { createServer } from 'node:net'
import type { Server, Socket } from 'node:net'

/** An address of a host without power, as far as the loopback interface allows: connections are set up, and nothing answers. */
export class SilentAddress {
  private readonly sockets = new Set<Socket>()

  private constructor (private readonly server: Server) {}

  /**
   * Occupies an address.
   *
   * @example
   * const address = await SilentAddress.listen('127.0.20.3', 7420)
   */
  static async listen (host: string, port: number): Promise<SilentAddress> {
    const server = createServer({ pauseOnConnect: true })
    const address = new SilentAddress(server)
    server.on('connection', (socket) => {
      address.sockets.add(socket)
      socket.on('error', () => {}).on('close', () => address.sockets.delete(socket))
    })
    await new Promise<void>((resolve, reject) => server.on('error', reject).listen(port, host, resolve))
    return address
  }

  close (): void {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }
}
