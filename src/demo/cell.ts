import { createHash, randomBytes } from 'node:crypto'
import { Writable } from 'node:stream'
import { startMember, type StartedMember } from '../runtime/start-member.ts'
import { checkSettings, type Settings } from '../settings/index.ts'
import { findFreePorts } from '../standins/find-free-ports.ts'
import { startStandinCell, type StandinCell } from '../standins/standin-cell.ts'
import type { Deployment } from './deployment.ts'

const MEMBER_COUNT = 3
const GROUP_COUNT = 3
/** Uptime that the targets report at first. After a change of owner, results of targets that have just started count as lost. */
const TARGET_UP_MS = 3_600_000

/** A small cell on loopback, with stand-ins of the platform and real members. */
export type DemoCell = {
  readonly platform: StandinCell
  readonly members: readonly StartedMember[]
  /** Base address of each member's HTTP interface. */
  readonly addresses: readonly string[]
  readonly operatorKey: string
  readonly close: () => Promise<void>
}

/**
 * Starts the stand-ins and the members of a deployment in this process.
 *
 * @example
 * const cell = await startCell(DEPLOYMENTS[0])
 */
export async function startCell (deployment: Deployment): Promise<DemoCell> {
  const { targets, failureDomains, capacity } = deployment
  const platform = await startStandinCell({ targets, failureDomains, capacity, targetUpMs: TARGET_UP_MS })
  const operatorKey = randomBytes(24).toString('hex')
  const ports = await findFreePorts(2 * MEMBER_COUNT)
  const members: StartedMember[] = []
  for (let index = 0; index < MEMBER_COUNT; index += 1) {
    const settings = createSettings(deployment, platform, operatorKey, ports, index)
    members.push(await startMember(settings, { logStream: createDiscardStream(), drainMs: 0 }))
  }
  return {
    platform,
    members,
    addresses: members.map((member) => `http://127.0.0.1:${member.callerPort}`),
    operatorKey,
    close: async () => {
      await Promise.all(members.map(async (member) => await member.stop()))
      await platform.close()
    }
  }
}

function createSettings (deployment: Deployment, platform: StandinCell, operatorKey: string, ports: readonly number[], index: number): Settings {
  const seeds = ports.slice(0, MEMBER_COUNT).map((port, number) => ({ id: `entry-${number + 1}`, address: `127.0.0.1:${port}` }))
  const peerAddress = seeds[index]!.address
  const text = JSON.stringify({
    member: { id: `entry-${index + 1}`, failureDomain: deployment.failureDomains[index % deployment.failureDomains.length] },
    callers: { listen: `127.0.0.1:${ports[MEMBER_COUNT + index]}` },
    peers: { listen: peerAddress, advertise: peerAddress, seeds },
    store: { address: platform.storeAddress },
    hostList: { address: platform.hostListAddress },
    groups: GROUP_COUNT,
    operatorKeyHash: createHash('sha256').update(operatorKey).digest('hex')
  })
  const settings = checkSettings(text, 'demo')
  if (settings.isErr()) throw new Error(`the settings of the demonstration are not valid: ${JSON.stringify(settings.error)}`)
  return settings.value
}

function createDiscardStream (): Writable {
  return new Writable({ write: (_chunk, _encoding, done) => done() })
}
