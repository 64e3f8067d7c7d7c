import { createConnection } from 'node:net'

/** What a connection to an address met. Only `refused` tells that no process listens there; a host that is cut off is silent. */
export type ProbeResult = 'listening' | 'refused' | 'silent'

const PROBE_TIMEOUT_MS = 250

/**
 * Opens a connection and closes it at once.
 *
 * @example
 * await probeAddress('10.1.0.17:7420') // 'refused'
 */
export function probeAddress (address: string): Promise<ProbeResult> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const socket = createConnection({ host: host!, port: Number(port) })
    const end = (result: ProbeResult): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => end('silent'), PROBE_TIMEOUT_MS)
    socket.once('connect', () => end('listening'))
    socket.once('error', (error) => end('code' in error && error.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
