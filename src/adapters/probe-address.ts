import { createConnection } from 'node:net'

/**
 * Result of a connection attempt. Only `refused` shows that no process listens on the address; an unreachable host gives
 * `silent`.
 */
export type ProbeResult = 'listening' | 'refused' | 'silent'

const PROBE_TIMEOUT_MS = 250

/**
 * Checks whether a process listens on an address: opens a connection and closes it immediately.
 *
 * @example
 * await probeAddress('10.1.0.17:7420') // 'refused'
 */
export function probeAddress (address: string): Promise<ProbeResult> {
  const [host, port] = address.split(':')
  return new Promise((resolve) => {
    const socket = createConnection({ host: host!, port: Number(port) })
    const finish = (result: ProbeResult): void => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    const timer = setTimeout(() => finish('silent'), PROBE_TIMEOUT_MS)
    socket.once('connect', () => finish('listening'))
    socket.once('error', (error) => finish('code' in error && error.code === 'ECONNREFUSED' ? 'refused' : 'silent'))
  })
}
