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
const HOUR_MS = 3_600_000
const POLL_MS = 100
const HANDOVER_MS = 4_000
const READY_TIMEOUT_MS = 60_000
const OK = 200

export const CELL_TEAM = 'alarms'
export const CELL_QUEUE = 'dispatch'

const LIMIT: Resources = { cpuMillis: 10_000_000, memoryMiB: 10_000_000, accelerators: 0, slots: 10_000, connections: 100_000 }

const CHANGES: readonly Change[] = [
  { kind: 'organisation', name: 'sump', value: { name: 'sump', weight: 1 } },
  { kind: 'team', name: CELL_TEAM, value: { name: CELL_TEAM, organisation: 'sump', weight: 1, limit: LIMIT, waitingLimit: 10_000 } },
  { kind: 'queue', name: CELL_QUEUE, value: { name: CELL_QUEUE, access: { type: 'open', team: CELL_TEAM } } }
]

export type ProcessCellOptions = {
  readonly members: number
  readonly targets: number
  readonly groups: number
}

/** Members as processes and the platform's stand-ins in this process, all on loopback. */
export class ProcessCell {
  readonly members: ProcessMember[] = []
  private started = 0

  private constructor (
    readonly options: ProcessCellOptions,
    readonly platform: StandinCell,
    private readonly folder: string,
    private readonly bundle: string,
    private readonly seeds: readonly { readonly id: string, readonly address: string }[]
  ) {}

  /**
   * Starts all processes, publishes a configuration and waits until every member takes work.
   *
   * @example
   * const cell = await ProcessCell.start({ members: 3, targets: 9, groups: 4 })
   */
  static async start (options: ProcessCellOptions): Promise<ProcessCell> {
    const folder = mkdtempSync(join(tmpdir(), 'damaskfield-cell-'))
    const bundle = await bundleProgram(folder)
    const platform = await startStandinCell({ targets: options.targets, failureDomains: FAILURE_DOMAINS, targetUpMs: HOUR_MS })
    const ports = await findFreePorts(options.members)
    const seeds = ports.map((port, index) => ({ id: `entry-${index + 1}`, address: `127.0.0.1:${port}` }))
    const cell = new ProcessCell(options, platform, folder, bundle, seeds)
    for (const seed of seeds) await cell.startMember(seed.address)
    await cell.publish(CHANGES)
    await cell.waitUntilReady()
    // Members that joined late take groups over from the first ones; a fault is brought about in a settled cell.
    await delay(HANDOVER_MS)
    await cell.waitUntilReady()
    return cell
  }

  /** Starts one more member; without an address it gets a new one. */
  async startMember (peerAddress?: string): Promise<ProcessMember> {
    const [callerPort, peerPort] = await findFreePorts(2)
    this.started += 1
    const id = `entry-${this.started}`
    const peer = peerAddress ?? `127.0.0.1:${peerPort}`
    const settings = {
      member: { id, failureDomain: FAILURE_DOMAINS[this.started % FAILURE_DOMAINS.length] },
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

  get living (): readonly ProcessMember[] {
    return this.members.filter((member) => member.alive)
  }

  /** Publishes changes through the first living member that accepts them. */
  async publish (changes: readonly Change[]): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadline) {
      for (const member of this.living) {
        if (await accepted(member.address, changes)) return
      }
      await delay(POLL_MS)
    }
    throw new Error(`no member accepted the configuration: ${this.members.map((member) => member.standardError).join('\n')}`)
  }

  /** Waits until every living member is ready and every group has a ready owner. */
  async waitUntilReady (): Promise<void> {
    const deadline = Date.now() + READY_TIMEOUT_MS
    while (Date.now() < deadline) {
      const readiness = await Promise.all(this.living.map(async (member) => await readyGroups(member.address)))
      const groups = readiness.reduce<number>((sum, ready) => sum + (ready ?? 0), 0)
      if (readiness.every((ready) => ready !== undefined) && groups === this.options.groups) return
      await delay(POLL_MS)
    }
    throw new Error('the members did not become ready')
  }

  /** Ends all processes of this cell and its stand-ins. */
  async close (): Promise<void> {
    for (const member of this.living) member.signal('SIGKILL')
    await Promise.all(this.members.map(async (member) => await member.end()))
    await this.platform.close()
    rmSync(this.folder, { recursive: true })
  }
}

async function accepted (address: string, changes: readonly Change[]): Promise<boolean> {
  try {
    const response = await request(`${address}/v1/configuration`, {
      method: 'POST',
      headers: { authorization: `Bearer ${OPERATOR_KEY}` },
      body: JSON.stringify({ author: 'test', changes })
    })
    await response.body.dump()
    return response.statusCode === OK
  } catch {
    return false
  }
}

/** Number of ready groups of a ready member; undefined while it is not ready. */
async function readyGroups (address: string): Promise<number | undefined> {
  try {
    const ready = await request(`${address}/readyz`)
    await ready.body.dump()
    if (ready.statusCode !== OK) return undefined
    const metrics = await request(`${address}/metrics`)
    return Number(/^damaskfield_ready_groups (\d+)$/m.exec(await metrics.body.text())?.[1] ?? 0)
  } catch {
    return undefined
  }
}

async function delay (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
