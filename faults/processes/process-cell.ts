import { createHash } from 'node:crypto'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import type { Change } from '../../src/model/configuration.ts'
import type { Resources } from '../../src/model/resources.ts'
import { findFreePorts } from '../../src/standins/find-free-ports.ts'
import { startStandinCell, type StandinCell } from '../../src/standins/standin-cell.ts'
import { bundleProgram } from './bundle.ts'
import { ProcessMember } from './process-member.ts'

const OPERATOR_KEY = 'operator-key-of-the-process-cell'
const FAILURE_DOMAINS = ['bole', 'kality', 'piassa'] as const
const TARGET_UPTIME_MS = 3_600_000
const POLL_INTERVAL_MS = 100
const HANDOVER_WAIT_MS = 4_000
const READY_TIMEOUT_MS = 60_000
const STATUS_OK = 200

export const CELL_TEAM = 'alarms'
export const CELL_QUEUE = 'dispatch'

const TEAM_LIMIT: Resources = { cpuMillis: 10_000_000, memoryMiB: 10_000_000, accelerators: 0, slots: 10_000, connections: 100_000 }

const INITIAL_CHANGES: readonly Change[] = [
  { kind: 'organisation', name: 'sump', value: { name: 'sump', weight: 1 } },
  { kind: 'team', name: CELL_TEAM, value: { name: CELL_TEAM, organisation: 'sump', weight: 1, limit: TEAM_LIMIT, waitingLimit: 10_000 } },
  { kind: 'queue', name: CELL_QUEUE, value: { name: CELL_QUEUE, access: { type: 'open', team: CELL_TEAM } } }
]

export type ProcessCellOptions = {
  readonly members: number
  readonly targets: number
  readonly groups: number
}

/** A cell on the loopback interface: each member is a process, and the stand-ins of the platform run in this process. */
export class ProcessCell {
  readonly members: ProcessMember[] = []
  private startedMembers = 0

  private constructor (
    readonly options: ProcessCellOptions,
    readonly platform: StandinCell,
    private readonly folder: string,
    private readonly bundle: string,
    private readonly seeds: readonly { readonly id: string, readonly address: string }[]
  ) {}

  /**
   * Starts all processes, publishes a configuration and waits until every member accepts work.
   *
   * @example
   * const cell = await ProcessCell.start({ members: 3, targets: 9, groups: 4 })
   */
  static async start (options: ProcessCellOptions): Promise<ProcessCell> {
    const folder = mkdtempSync(join(tmpdir(), 'damaskfield-cell-'))
    const bundle = await bundleProgram(folder)
    const platform = await startStandinCell({ targets: options.targets, failureDomains: FAILURE_DOMAINS, targetUpMs: TARGET_UPTIME_MS })
    const ports = await findFreePorts(options.members)
    const seeds = ports.map((port, index) => ({ id: `entry-${index + 1}`, address: `127.0.0.1:${port}` }))
    const cell = new ProcessCell(options, platform, folder, bundle, seeds)
    for (const seed of seeds) await cell.startMember(seed.address)
    await cell.publish(INITIAL_CHANGES)
    await cell.waitUntilReady()
    // Members that joined later take over groups from the first ones. Faults must start after these handovers.
    await delay(HANDOVER_WAIT_MS)
    await cell.waitUntilReady()
    return cell
  }

  /** Starts one more member; without a peer address it gets a new one. */
  async startMember (peerAddress?: string): Promise<ProcessMember> {
    const [callerPort, peerPort] = await findFreePorts(2)
    this.startedMembers += 1
    const id = `entry-${this.startedMembers}`
    const peer = peerAddress ?? `127.0.0.1:${peerPort}`
    const settings = {
      member: { id, failureDomain: FAILURE_DOMAINS[this.startedMembers % FAILURE_DOMAINS.length] },
      callers: { listen: `127.0.0.1:${callerPort}` },
      peers: { listen: peer, advertise: peer, seeds: this.seeds },
      store: { address: this.platform.storeAddress },
      hostList: { address: this.platform.hostListAddress },
      groups: this.options.groups,
      operatorKeyHash: createHash('sha256').update(OPERATOR_KEY).digest('hex')
    }
    const member = ProcessMember.start({ id, bundle: this.bundle, folder: this.folder, settings, callerPort: callerPort! })
    this.members.push(member)
    return member
  }

  get runningMembers (): readonly ProcessMember[] {
    return this.members.filter((member) => member.isRunning)
  }

  /** Publishes changes through the first running member that accepts them. */
  async publish (changes: readonly Change[]): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadline) {
      for (const member of this.runningMembers) {
        if (await publishTo(member.address, changes)) return
      }
      await delay(POLL_INTERVAL_MS)
    }
    throw new Error(`no member accepted the configuration: ${this.members.map((member) => member.standardError).join('\n')}`)
  }

  /** Waits until every running member is ready and every group has a ready owner. */
  async waitUntilReady (): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadline) {
      const readiness = await Promise.all(this.runningMembers.map(async (member) => await countReadyGroups(member.address)))
      const groups = readiness.reduce<number>((sum, ready) => sum + (ready ?? 0), 0)
      if (readiness.every((ready) => ready !== undefined) && groups === this.options.groups) return
      await delay(POLL_INTERVAL_MS)
    }
    throw new Error('the members did not become ready')
  }

  /** Kills all processes of this cell and closes its stand-ins. */
  async close (): Promise<void> {
    for (const member of this.runningMembers) member.signal('SIGKILL')
    await Promise.all(this.members.map(async (member) => await member.waitForExit()))
    await this.platform.close()
    rmSync(this.folder, { recursive: true })
  }
}

async function publishTo (address: string, changes: readonly Change[]): Promise<boolean> {
  try {
    const response = await request(`${address}/v1/configuration`, {
      method: 'POST',
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      body: JSON.stringify({ author: 'test', changes })
    })
    await response.body.dump()
    return response.statusCode === STATUS_OK
  } catch {
    return false
  }
}

/** Returns the number of ready groups of a ready member, or undefined if the member is not ready. */
async function countReadyGroups (address: string): Promise<number | undefined> {
  try {
    const ready = await request(`${address}/readyz`)
    await ready.body.dump()
    if (ready.statusCode !== STATUS_OK) return undefined
    const metrics = await request(`${address}/metrics`)
    return Number(/^damaskfield_ready_groups (\d+)$/m.exec(await metrics.body.text())?.[1] ?? 0)
  } catch {
    return undefined
  }
}

async function delay (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
