import { createHash, randomBytes } from 'node:crypto'
import { Writable } from 'node:stream'
import { startMember, type StartedMember } from '../runtime/start-member.ts'
import { checkSettings, type Settings } from '../settings/index.ts'
import { findFreePorts } from '../standins/find-free-ports.ts'
import { startStandinCell, type StandinCell } from '../standins/standin-cell.ts'
import type { Deployment } from './deployment.ts'

const MEMBERS = 3
const GROUPS = 3
/** Results of targets that have just started count as lost after a change of owner. */
const TARGET_UP_MS = 3_600_000

/** A small cell on loopback: stand-ins of the platform and real members. */
export type DemoCell = {
  readonly platform: StandinCell
  readonly members: readonly StartedMember[]
  /** Base address of each member's interface. */
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
  const ports = await findFreePorts(2 * MEMBERS)
  const members: StartedMember[] = []
  for (let index = 0; index < MEMBERS; index += 1) {
    const settings = settingsOf(deployment, platform, operatorKey, ports, index)
    members.push(await startMember(settings, { logStream: discard(), drainMs: 0 }))
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

function settingsOf (deployment: Deployment, platform: StandinCell, operatorKey: string, ports: readonly number[], index: number): Settings {
  const seeds = ports.slice(0, MEMBERS).map((port, number) => ({ id: `entry-${number + 1}`, address: `127.0.0.1:${port}` }))
  const own = seeds[index]!.address
  const text = JSON.stringify({
    member: { id: `entry-${index + 1}`, failureDomain: deployment.failureDomains[index % deployment.failureDomains.length] },
    callers: { listen: `127.0.0.1:${ports[MEMBERS + index]}` },
    peers: { listen: own, advertise: own, seeds },
    store: { address: platform.storeAddress },
    hostList: { address: platform.hostListAddress },
    groups: GROUPS,
    operatorKeyHash: createHash('sha256').update(operatorKey).digest('hex')
  })
  const settings = checkSettings(text, 'demo')
  if (settings.isErr()) throw new Error(`the settings of the demonstration are not valid: ${JSON.stringify(settings.error)}`)
  return settings.value
}

function discard (): Writable {
  return new Writable({ write: (_chunk, _encoding, done) => done() })
}
