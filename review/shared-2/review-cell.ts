import { spawn } from 'node:child_process'
import type { ChildProcess } from 'node:child_process'
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendHttp } from 'node:http'
import type { Agent } from 'node:http'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { KvServer } from '../../platform/standin/kv-server.ts'
import { createMemberSettings } from '../../platform/standin/member-settings.ts'
import { WorkerServer } from '../../platform/standin/worker-server.ts'
import type { WorkerEvent } from '../../platform/standin/worker-server.ts'
import { reserveSubnet } from '../../soak/reserve-subnet.ts'

/** The command of the deploy file, without the settings. */
const MEMBER_COMMAND = ['--max-old-space-size=200', '--max-semi-space-size=8', 'target/damaskfield-platform.mjs']
/** The platform starts a process that has ended again after this time, in milliseconds. */
const RESTART_DELAY_MS = 500
const CALLER_PORT = 8183
const ZONES = ['east', 'west', 'south'] as const

export const HOST = 'review.example'
export const KEY = 'key-of-review'

/** Exit codes of a case. */
export const EXIT = { held: 0, broken: 1, notRun: 2 } as const

/** Whether the disruption of the case is left out. */
export const isCalm = process.env.TROUBLE === '0'

/** How the standard output of a member is read. */
export type OutputReader = 'file' | 'pipe'

export type ReviewCellOptions = {
  /** File that gets a line for each thing that happens. */
  readonly record: string
  readonly members: number
  readonly workers: number
  readonly output?: OutputReader
  readonly onWorkerEvent?: (worker: string, event: WorkerEvent) => void
}

export type CallerResponse = { readonly status: number, readonly body: Readonly<Record<string, unknown>> }

type ReviewMember = { readonly name: string, readonly host: string, readonly settingsFile: string, child: ChildProcess, starts: number }

/** Member processes with the command of the deploy file, and the project's stand-ins of the platform and of workers. */
export class ReviewCell {
  readonly members: ReviewMember[] = []
  readonly workers: WorkerServer[] = []
  /** Ends of member processes that nobody asked for. */
  readonly ownEnds: string[] = []
  private readonly startedAt = performance.now()
  private readonly killed = new Set<ChildProcess>()
  private isClosing = false

  private constructor (readonly kv: KvServer, private readonly folder: string, private readonly subnet: number, private readonly options: ReviewCellOptions) {}

  static async start (options: ReviewCellOptions): Promise<ReviewCell> {
    writeFileSync(options.record, '')
    const cell = new ReviewCell(await KvServer.listen(), mkdtempSync(join(tmpdir(), 'review-')), await reserveSubnet(process.pid), options)
    cell.configure(1, [KEY])
    for (let index = 0; index < options.workers; index += 1) await cell.addWorker(index)
    for (let index = 0; index < options.members; index += 1) cell.addMember(index)
    return cell
  }

  /** Time since the start of the case, in milliseconds. */
  get nowMs (): number {
    return performance.now() - this.startedAt
  }

  record (text: string): void {
    appendFileSync(this.options.record, `${(this.nowMs / 1000).toFixed(3)} ${text}\n`)
  }

  /** Writes a version of the configuration, as the operator does. */
  configure (version: number, keys: readonly string[]): void {
    const route = { name: 'plain', host: HOST, prefix: '/plain/', kind: 'non_idempotent', timeoutMs: 3_000, targetLatencyMs: 250, priority: 0, service: 'kit', maxAttempts: 3, stretch: 2, public: false }
    const tenant = { name: 'zuu', apiKeys: keys, priority: 1, weight: 100, maximum: { cpu: 0, memMb: 0, gpu: 0 } }
    this.kv.put('op/config', JSON.stringify({ version, routes: [route], services: [{ name: 'kit', rejectsOverload: false, spare: false }], limits: { maxBodyBytes: 262_144 }, tenants: [tenant] }))
    this.record(`operator: configuration ${version} acknowledged, keys ${keys.join(' ')}`)
  }

  /** Waits until all members answer callers. Returns false if they don't in time. */
  async waitUntilReady (timeoutMs: number): Promise<boolean> {
    const deadline = performance.now() + timeoutMs
    for (const member of this.members) {
      while ((await this.call(member, 'GET', '/plain/', undefined, 500))?.status !== 200) {
        if (performance.now() > deadline) return false
        await wait(100)
      }
    }
    return true
  }

  /** Sends a request of a client; undefined if there is no complete answer in time. */
  call (member: ReviewMember, method: string, path: string, body: unknown, timeoutMs: number, key = KEY, agent?: Agent): Promise<CallerResponse | undefined> {
    return new Promise((resolve) => {
      const headers = { host: HOST, key, 'deadline-ms': String(timeoutMs), 'content-type': 'application/json' }
      const request = sendHttp({ host: member.host, port: CALLER_PORT, method, path, headers, agent, timeout: timeoutMs }, (response) => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk)).on('error', () => resolve(undefined))
        response.on('end', () => resolve({ status: response.statusCode ?? 0, body: parse(Buffer.concat(chunks).toString()) }))
      })
      const timer = setTimeout(() => request.destroy(), timeoutMs)
      request.on('error', () => resolve(undefined)).on('close', () => {
        clearTimeout(timer)
        resolve(undefined)
      })
      request.end(body === undefined ? undefined : JSON.stringify(body))
    })
  }

  /** The member that the store names as leader; undefined if none leads. */
  findLeader (): ReviewMember | undefined {
    const record = this.kv.read('lead/holder')
    return record === undefined ? undefined : this.members.find(({ name }) => name === (JSON.parse(record) as { member: string }).member)
  }

  /** Kills a member; the platform starts it again. */
  killMember (member: ReviewMember): void {
    this.record(`${member.name} is killed`)
    this.killed.add(member.child)
    member.child.kill('SIGKILL')
  }

  /** Ends all that the case has started. */
  async close (): Promise<void> {
    this.isClosing = true
    for (const { child } of this.members) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    await Promise.all(this.members.map(({ child }) => child.exitCode !== null || child.signalCode !== null ? undefined : new Promise((resolve) => child.once('exit', resolve))))
    for (const server of [...this.workers, this.kv]) server.close()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private async addWorker (index: number): Promise<void> {
    const id = `w${index}`
    const worker = await WorkerServer.listen({ id, needsTickets: false, maxStopMs: 200, seed: index, observe: (event) => this.options.onWorkerEvent?.(id, event) })
    this.workers.push(worker)
    this.publishWorker(index)
  }

  /** Writes the entry of a worker, as the worker does. */
  publishWorker (index: number): void {
    const worker = this.workers[index]!
    this.kv.put(`servers/${worker.id}`, worker.createEntry('ready', worker.address, getZone(index)))
  }

  private addMember (index: number): void {
    const name = `member-${index}`
    const host = `127.0.${this.subnet}.${index + 2}`
    const settingsFile = join(this.folder, `${name}.json`)
    writeFileSync(settingsFile, JSON.stringify(createMemberSettings({ name, host, failureDomain: getZone(index), storeAddress: this.kv.address, advisorAddress: this.kv.address, cores: 1 })))
    const member: ReviewMember = { name, host, settingsFile, child: this.spawnMember(name, settingsFile), starts: 1 }
    this.members.push(member)
    this.watchMember(member)
  }

  private spawnMember (name: string, settingsFile: string): ChildProcess {
    const child = spawn(process.execPath, MEMBER_COMMAND, { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, DAMASKFIELD_SETTINGS: settingsFile } })
    child.stderr!.on('data', (chunk: Buffer) => {
      for (const line of chunk.toString().split('\n').filter((text) => /FATAL|Error/.test(text)).slice(0, 3)) this.record(`${name}: standard error: ${line.slice(0, 200)}`)
    })
    if (this.options.output !== 'pipe') child.stdout!.resume()
    return child
  }

  private watchMember (member: ReviewMember): void {
    member.child.once('exit', (code, signal) => {
      if (this.isClosing) return
      if (!this.killed.delete(member.child)) {
        this.record(`${member.name}: its process has ended by itself, code ${code}, signal ${signal}`)
        this.ownEnds.push(member.name)
      }
      setTimeout(() => this.restartMember(member), RESTART_DELAY_MS)
    })
  }

  private restartMember (member: ReviewMember): void {
    if (this.isClosing) return
    member.child = this.spawnMember(member.name, member.settingsFile)
    member.starts += 1
    this.watchMember(member)
  }
}

/** Runs a case and ends the process with its exit code; an error means that the case could not run. */
export async function runCase (run: (record: string) => Promise<number>): Promise<void> {
  const folder = process.argv[2] ?? dirname(process.argv[1]!)
  try {
    process.exit(await run(join(folder, 'record.txt')))
  } catch (error) {
    console.error(error)
    process.exit(EXIT.notRun)
  }
}

function getZone (index: number): string {
  return ZONES[index % ZONES.length]!
}

function parse (text: string): Readonly<Record<string, unknown>> {
  try {
    return JSON.parse(text) as Readonly<Record<string, unknown>>
  } catch {
    return {}
  }
}
