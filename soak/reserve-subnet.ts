import { createServer } from 'node:net'

/** Range of loopback subnets. Each process uses one, so that concurrent runs do not share addresses. */
const FIRST_SUBNET = 20
const SUBNET_COUNT = 200
/** A port of the first address of a subnet, which no member has, shows that the subnet is in use. */
const GUARD_PORT = 7_420

/**
 * Reserves a loopback subnet for this process: the one of this index, or the next one that no other process has reserved.
 *
 * @example
 * const subnet = await reserveSubnet(process.pid) // 127.0.SUBNET.2 is the address of the first member
 */
export async function reserveSubnet (index: number): Promise<number> {
  for (let offset = 0; offset < SUBNET_COUNT; offset += 1) {
    const subnet = FIRST_SUBNET + (index + offset) % SUBNET_COUNT
    if (await occupy(`127.0.${subnet}.1`)) return subnet
  }
  throw new Error('all loopback subnets are in use')
}

/** Listens at an address until the process ends. Returns false if it is in use. */
async function occupy (host: string): Promise<boolean> {
  const server = createServer().unref()
  return new Promise((resolve) => server.on('error', () => resolve(false)).listen(GUARD_PORT, host, () => resolve(true)))
}
