import { once } from 'node:events'
import { readFileSync, readdirSync } from 'node:fs'
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { setTimeout as wait } from 'node:timers/promises'

/** What every client of a load sends on its own connection: the start once, and then a part up to `repetitions` times. */
export type ClientLoad = {
  readonly clients: number
  readonly start: string
  readonly part: string
  readonly repetitions: number
  /** Whether the clients read the responses. */
  readonly reads: boolean
}

const WRITE_BYTES = 65_536
const POLL_INTERVAL_MS = 100
/** The load ends when no client has been able to send for this time, in milliseconds. */
const STALL_MS = 2_500
const LONGEST_LOAD_MS = 30_000

/** Clients that send a load to one address and stay connected until they are closed. */
export class Clients {
  sentBytes = 0
  private active = 0
  private readonly sockets: Socket[] = []

  private constructor (private readonly load: ClientLoad) {}

  /**
   * Opens the connections one after another, starts the load on each, and waits until all is sent or no client can send more.
   *
   * @example
   * const clients = await Clients.send(member.callers, { clients: 10, start: 'GET / HTTP/1.1\r\n', part: '', repetitions: 0, reads: true })
   */
  static async send (address: URL, load: ClientLoad): Promise<Clients> {
    const clients = new Clients(load)
    for (let index = 0; index < load.clients; index += 1) {
      const socket = connect(Number(address.port), address.hostname)
      socket.on('error', () => {})
      await Promise.race([once(socket, 'connect'), once(socket, 'close')])
      clients.sockets.push(socket)
      if (load.reads) socket.resume()
      else socket.pause()
      clients.start(socket)
    }
    await clients.waitUntilSent()
    return clients
  }

  /** Number of connections that the server has not closed. */
  get open (): number {
    return this.sockets.filter((socket) => !socket.destroyed).length
  }

  close (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  private start (socket: Socket): void {
    const { start, part, repetitions } = this.load
    this.active += 1
    this.write(socket, start)
    const perWrite = part === '' ? 0 : Math.ceil(WRITE_BYTES / part.length)
    const block = part.repeat(perWrite)
    const writes = part === '' ? 0 : Math.ceil(repetitions / perWrite)
    this.pump(socket, block, writes).finally(() => { this.active -= 1 }).catch(() => {})
  }

  private async pump (socket: Socket, block: string, writes: number): Promise<void> {
    for (let written = 0; written < writes && !socket.destroyed; written += 1) {
      if (!this.write(socket, block)) await Promise.race([once(socket, 'drain'), once(socket, 'close')])
    }
  }

  private write (socket: Socket, text: string): boolean {
    return socket.write(text, (error) => { if (error == null) this.sentBytes += text.length })
  }

  private async waitUntilSent (): Promise<void> {
    const startedAt = performance.now()
    let progressAt = startedAt
    let sentBytes = 0
    while (this.active > 0 && performance.now() - progressAt < STALL_MS && performance.now() - startedAt < LONGEST_LOAD_MS) {
      await wait(POLL_INTERVAL_MS)
      if (this.sentBytes > sentBytes) progressAt = performance.now()
      sentBytes = this.sentBytes
    }
  }
}

/** Returns the highest resident size of a process so far, in megabytes. */
export function readPeakMb (pid: number): number {
  return Number(/^VmHWM:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]) / 1_024
}

/** Counts the open descriptors of a process. */
export function countDescriptors (pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length
}
