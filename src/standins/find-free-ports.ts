import { randomInt } from 'node:crypto'
import { createServer } from 'node:net'

/**
 * The range lies below the ephemeral ports that the system uses for outgoing connections (32,768 and up on Linux), so
 * that no connection takes a port between the check and its use.
 */
const FIRST_PORT = 12_000
const LAST_PORT = 32_000
const MAX_ATTEMPTS = 200

/**
 * Finds ports of the loopback address that are free at the time of the check.
 *
 * @example
 * const [callerPort, peerPort] = await freePorts(2)
 */
export async function findFreePorts (count: number): Promise<readonly number[]> {
  const ports = new Set<number>()
  for (let attempt = 0; attempt < MAX_ATTEMPTS && ports.size < count; attempt += 1) {
    const port = randomInt(FIRST_PORT, LAST_PORT)
    if (!ports.has(port) && await isPortFree(port)) ports.add(port)
  }
  if (ports.size < count) throw new Error(`no ${count} free ports from ${FIRST_PORT} to ${LAST_PORT}`)
  return [...ports]
}

async function isPortFree (port: number): Promise<boolean> {
  const server = createServer()
  return await new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)))
  })
}
