import { appendFileSync, createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as wait } from 'node:timers/promises'
import { request } from 'undici'
import { ProcessMember } from '../../faults/processes/process-member.ts'
import { KvServer } from '../../platform/standin/kv-server.ts'
import { createMemberSettings, getCallerAddress } from '../../platform/standin/member-settings.ts'
import type { MemberOptions } from '../../platform/standin/member-settings.ts'
import { StandinOperator } from '../../platform/standin/operator.ts'
import { reserveSubnet } from '../../soak/reserve-subnet.ts'
import { Worker } from './worker.ts'
import type { RunEvent } from './worker.ts'

const HOST = 'review.example'
const KEY = 'key-of-review'
const BUNDLE = 'target/damaskfield-platform.mjs'
/** The arguments of the command in the deploy file. */
const NODE_ARGUMENTS = ['--max-old-space-size=200', '--max-semi-space-size=8', BUNDLE]
/** The product's part of the settings template of the deploy file. */
const PRODUCT = { scheduling: { submissionBurstS: 5, learnedRunTimes: true, newestFirstInBacklog: true, preemption: true }, storeDetour: { enabled: true } }
/** Bounds of the sheet that a member reads. */
const BOUNDS = { maxHoldMs: 10_000, graceS: 6 } as const
const ZONES = ['east', 'west', 'south'] as const
const HEARTBEAT_MS = 1_500
/** An entry expires after three heartbeats of silence. */
const EXPIRY_MS = 3 * HEARTBEAT_MS
/** Time after which the platform starts a process again that has ended. */
const RESTART_DELAY_MS = 1_000
const READY_TIMEOUT_MS = 20_000

export type CellOptions = {
  readonly members: number
  readonly workers: ReadonlyArray<{ readonly kind: string, readonly closesConnections?: boolean }>
  /** File to which the case writes what was sent, answered and run. */
  readonly record: string
}

type Member = { readonly options: MemberOptions, readonly file: string, process: ProcessMember }

/** The end of a member process that nobody has asked for. */
export type ProcessEnd = { readonly at: number, readonly member: string, readonly detail: string }

export type CallerResponse = { readonly status: number, readonly state: string | undefined }

/** Member processes, a store, an operator and workers on loopback addresses. */
export class Cell {
  readonly workers: Worker[] = []
  /** Workers that are lost for good: their entries expire. */
  private readonly gone = new Set<Worker>()
  readonly events: Array<RunEvent & { readonly at: number }> = []
  /** Ends of member processes by themselves. The platform starts each of them again. */
  readonly processEnds: ProcessEnd[] = []
  private readonly startedAt = performance.now()
  private readonly members: Member[] = []
  private isClosing = false
  private readonly heartbeats = new Set<NodeJS.Timeout>()
  private readonly folder = mkdtempSync(join(tmpdir(), 'damaskfield-review-'))

  private constructor (readonly kv: KvServer, private readonly record: string) {}

  static async start ({ members, workers, record }: CellOptions): Promise<Cell> {
    const cell = new Cell(await KvServer.listen(), record)
    writeFileSync(record, '')
    StandinOperator.create(cell.kv).configure({ version: 1, host: HOST, key: KEY, weight: 100, maxAttempts: 3, queues: [{ name: 'plain', priority: 1 }] })
    const subnet = await reserveSubnet(process.pid)
    for (const [index, { kind, closesConnections = false }] of workers.entries()) await cell.addWorker(index, kind, closesConnections)
    for (let index = 0; index < members; index += 1) cell.addMember(index, `127.0.${subnet}.${index + 2}`)
    await cell.waitUntilReady()
    return cell
  }

  /** Milliseconds since the cell was created. */
  get now (): number {
    return Math.round(performance.now() - this.startedAt)
  }

  write (type: string, fields: object): void {
    appendFileSync(this.record, `${JSON.stringify({ atMs: this.now, type, ...fields })}\n`)
  }

  /** Lets a worker write its entry now and with each heartbeat from now on. */
  register (worker: Worker): void {
    this.kv.put(`servers/${worker.id}`, worker.createEntry())
  }

  /** `first`: number of the member to which the client is connected. */
  /** Loses a worker for good. */
  lose (worker: Worker): void {
    this.gone.add(worker)
    worker.crash()
    this.write('worker-lost', { worker: worker.id })
    setTimeout(() => this.kv.remove(`servers/${worker.id}`), EXPIRY_MS).unref()
  }

  async submit (id: string, body: unknown, first = 0): Promise<CallerResponse> {
    return await this.call('POST', id, body, first)
  }

  async getState (id: string): Promise<CallerResponse> {
    return await this.call('GET', id)
  }

  /** Sends a call of a client to one member after another until one answers it with 200. */
  async call (method: 'POST' | 'GET' | 'DELETE', id: string, body?: unknown, first = 0): Promise<CallerResponse> {
    let last: CallerResponse = { status: 0, state: undefined }
    const start = first % this.members.length
    for (const { options } of [...this.members.slice(start), ...this.members.slice(0, start)]) {
      last = await this.callMember(options, method, id, body)
      this.write('call', { method, id, member: options.name, ...last })
      if (last.status === 200) return last
    }
    return last
  }

  async close (): Promise<void> {
    this.isClosing = true
    for (const timer of this.heartbeats) clearInterval(timer)
    for (const { process } of this.members) process.signal('SIGKILL')
    await Promise.all(this.members.map(({ process }) => process.waitForExit()))
    for (const worker of this.workers) worker.close()
    this.kv.close()
    if (process.env.KEEP_LOGS !== '1') rmSync(this.folder, { recursive: true, force: true })
  }

  private async callMember (options: MemberOptions, method: 'POST' | 'GET' | 'DELETE', id: string, body: unknown): Promise<CallerResponse> {
    try {
      const response = await request(`${getCallerAddress(options)}/plain/${id}`, { method, headers: { host: HOST, key: KEY, 'deadline-ms': '3000', 'content-type': 'application/json' }, body: body === undefined ? null : JSON.stringify(body) })
      const text = await response.body.text()
      const { state } = (text === '' ? {} : JSON.parse(text)) as { readonly state?: string }
      return { status: response.statusCode, state }
    } catch {
      return { status: 0, state: undefined }
    }
  }

  private async addWorker (index: number, kind: string, closesConnections: boolean): Promise<void> {
    const zone = ZONES[index % ZONES.length]!
    const worker = await Worker.listen({
      id: `w${index}`,
      zone,
      labels: [kind, `r-${zone}`],
      closesConnections,
      observe: (event) => {
        this.events.push({ ...event, at: this.now })
        this.write(event.type, event)
      }
    })
    this.workers.push(worker)
    this.register(worker)
    this.heartbeats.add(setInterval(() => { if (!this.gone.has(worker)) this.register(worker) }, HEARTBEAT_MS))
  }

  private addMember (index: number, host: string): void {
    const options: MemberOptions = { name: `member-${index}`, host, failureDomain: ZONES[index % ZONES.length]!, storeAddress: this.kv.address, advisorAddress: '127.0.0.1:9', cores: 1 }
    const file = join(this.folder, `${options.name}.json`)
    writeFileSync(file, JSON.stringify({ platform: { ...createMemberSettings(options) as object, bounds: BOUNDS }, product: PRODUCT }))
    this.members.push({ options, file, process: this.startProcess(options, file) })
    this.keepRunning(this.members.at(-1)!).catch((error: unknown) => this.write('restart-failed', { detail: String(error) }))
  }

  private startProcess (options: MemberOptions, file: string): ProcessMember {
    const log = createWriteStream(join(this.folder, `${options.name}.log`), { flags: 'a' })
    return ProcessMember.spawn({ id: options.name, args: NODE_ARGUMENTS, variables: { DAMASKFIELD_SETTINGS: file }, callerAddress: getCallerAddress(options), onOutput: (chunk) => log.write(chunk) })
  }

  /** Starts a member again whenever its process has ended, as the platform does. */
  private async keepRunning (member: Member): Promise<void> {
    const { options, file } = member
    for (;;) {
      const exitCode = await member.process.waitForExit()
      if (this.isClosing) return
      const detail = /FATAL ERROR[^\n]*/.exec(member.process.standardError)?.[0] ?? `exit code ${exitCode}`
      this.processEnds.push({ at: this.now, member: options.name, detail })
      this.write('process-ended', { member: options.name, detail })
      await wait(RESTART_DELAY_MS)
      if (this.isClosing) return
      member.process = this.startProcess(options, file)
    }
  }

  private async waitUntilReady (): Promise<void> {
    for (let probe = 0; this.now < READY_TIMEOUT_MS; probe += 1) {
      const id = probe.toString(16).padStart(16, '0')
      if ((await this.submit(id, { spec: '{"ms":20}', steps: [{ count: 1, cpu: 100, memMb: 16, estimatedMs: 20 }] })).status === 200 && await this.waitForState(id, 'completed', 5_000)) return
      await wait(500)
    }
    throw new Error('the cell did not complete a job in time')
  }

  /** Waits until a job is shown in a state; returns whether it was in time. */
  async waitForState (id: string, state: string, timeoutMs: number): Promise<boolean> {
    const endAt = performance.now() + timeoutMs
    while (performance.now() < endAt) {
      if ((await this.getState(id)).state === state) return true
      await wait(200)
    }
    return false
  }
}

/** Runs a case and ends with the exit code of its verdict: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export async function runCase (options: CellOptions, play: (cell: Cell, isTroubled: boolean) => Promise<string | undefined>): Promise<never> {
  let cell: Cell | undefined
  let code = 2
  try {
    cell = await Cell.start(options)
    const breach = await play(cell, process.env.TROUBLE !== '0')
    cell.write('verdict', { broken: breach !== undefined, breach })
    console.log(breach ?? 'the rule held')
    code = breach === undefined ? 0 : 1
  } catch (error) {
    cell?.write('verdict', { error: String(error) })
    console.log(`the case could not run: ${String(error)}`)
  }
  await cell?.close().catch(() => {})
  process.exit(code)
}
