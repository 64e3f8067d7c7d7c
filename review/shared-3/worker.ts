import type { Socket } from 'node:net'
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** A fact that a worker observes about its runs. */
export type RunEvent =
  | { readonly type: 'started', readonly worker: string, readonly born: number, readonly task: string, readonly run: number }
  | { readonly type: 'ended', readonly worker: string, readonly born: number, readonly task: string, readonly run: number, readonly how: string }

export type WorkerOptions = {
  readonly id: string
  readonly zone: string
  readonly labels: readonly [kind: string, rack: string]
  readonly observe: (event: RunEvent) => void
  /** Whether each response closes its connection. */
  readonly closesConnections?: boolean
}

type Run = { readonly task: string, readonly run: number, readonly startedAt: number, readonly ms: number, endTimer: NodeJS.Timeout | undefined }
type End = readonly [number: number, task: string, run: number, how: string, saved: string]
type Fields = Readonly<Record<string, unknown>>

const MAX_HOLD_MS = 10_000
const MAX_WAIT_MS = 2_000
const STARTUP_MS = 300
const FULL_PERCENT = 100
const CAPACITY = { cpu: 16_000, memMb: 65_536, gpu: 0 } as const

/** A stand-in for a worker: one machine at one address, with one life after another under the same id. */
export class Worker {
  private readonly server: Server
  private readonly socketLives = new WeakMap<Socket, number>()
  private life = 1
  private isUp = true
  private resetsConnections = false
  private bornMs = Date.now()
  private lifeStartedAt = performance.now()
  private leaseUntilMs = 0
  private leaseTimer: NodeJS.Timeout | undefined
  private highestFence = 0
  private lastEndNumber = 0
  private runs = new Map<string, Run>()
  private ends: readonly End[] = []
  private highestEnded = new Map<string, number>()
  private waiting = new Set<() => void>()

  private constructor (private readonly options: WorkerOptions) {
    this.server = createServer((request, response) => { this.handle(request, response).catch(() => request.socket.destroy()) })
    this.server.on('connection', (socket) => {
      this.socketLives.set(socket, this.life)
      if (this.resetsConnections) socket.resetAndDestroy()
    })
  }

  /** Starts a worker at a free port of the loopback address. */
  static async listen (options: WorkerOptions): Promise<Worker> {
    const worker = new Worker(options)
    await new Promise<void>((resolve) => worker.server.listen(0, '127.0.0.1', resolve))
    return worker
  }

  get id (): string {
    return this.options.id
  }

  get born (): number {
    return this.bornMs
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  get running (): ReadonlyArray<{ readonly task: string, readonly run: number }> {
    return [...this.runs.values()]
  }

  /** The entry that this worker writes to the store. */
  createEntry (): string {
    const { zone, labels } = this.options
    return JSON.stringify({ service: 'kit', address: this.address, zone, version: 'v1', taskSlots: 8, state: 'ready', coldRemainingMs: 0, sequence: Date.now(), capacity: CAPACITY, labels, born: this.bornMs })
  }

  /**
   * Ends with all its runs. `none`: without a sign, what was open stays open until something is sent on it. `reset`: connections are
   * reset at once, and new ones until the next start.
   */
  crash (sign: 'none' | 'reset' = 'none'): void {
    this.isUp = false
    this.resetsConnections = sign === 'reset'
    if (this.resetsConnections) this.server.closeAllConnections()
    for (const { task, run, endTimer } of this.runs.values()) {
      clearTimeout(endTimer)
      this.options.observe({ type: 'ended', worker: this.id, born: this.bornMs, task, run, how: 'crash' })
    }
    clearTimeout(this.leaseTimer)
    this.runs = new Map()
    this.ends = []
    this.highestEnded = new Map()
    this.waiting = new Set()
  }

  /** Starts the next life. `born`: the time of day of the machine at its start. */
  start (born: number): void {
    this.life += 1
    this.isUp = true
    this.resetsConnections = false
    this.bornMs = born
    this.lifeStartedAt = performance.now()
    this.leaseUntilMs = 0
    this.highestFence = 0
    this.lastEndNumber = 0
  }

  close (): void {
    this.crash()
    this.server.close()
    this.server.closeAllConnections()
  }

  private get clockMs (): number {
    return Math.floor(performance.now() - this.lifeStartedAt)
  }

  private async handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { life } = this
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    if (!this.isUp) return
    // A connection of an earlier life is reset by the machine as soon as something arrives on it.
    if (this.socketLives.get(request.socket) !== this.life) {
      request.socket.destroy()
      return
    }
    const fields = JSON.parse(Buffer.concat(chunks).toString() || '{}') as Fields
    const { status, body } = await this.serve(request, fields)
    if (this.life !== life || !this.isUp) return
    response.writeHead(status, { 'content-type': 'application/json', ...this.options.closesConnections === true && { connection: 'close' } })
    response.end(body === undefined ? '' : JSON.stringify(body))
  }

  private async serve (request: IncomingMessage, fields: Fields): Promise<{ readonly status: number, readonly body?: unknown }> {
    if (request.headers['expect-instance'] !== this.id) return { status: 421 }
    const fence = Number(fields.fencingToken ?? 0)
    if (fence < this.highestFence) return this.refuse('fence')
    this.highestFence = fence
    switch (request.url) {
      case '/run-start': return this.startRun(fields)
      case '/run-stop': return this.stopRun(fields)
      case '/pace': return this.accept()
      case '/hold': return await this.hold(fields)
      default: return { status: 404 }
    }
  }

  private accept (): { readonly status: number, readonly body: unknown } {
    return { status: 200, body: { clockMs: this.clockMs, born: this.bornMs } }
  }

  private refuse (reason: string): { readonly status: number, readonly body: unknown } {
    return { status: 409, body: { clockMs: this.clockMs, born: this.bornMs, reason } }
  }

  private startRun (fields: Fields): { readonly status: number, readonly body: unknown } {
    const task = String(fields.task)
    const run = Number(fields.run)
    const deadlineMs = Number(fields.deadlineMs)
    if (deadlineMs <= this.clockMs) return this.refuse('late')
    this.extendLease(deadlineMs)
    if (this.runs.has(`${task}/${run}`)) return this.accept()
    if (run <= (this.highestEnded.get(task) ?? 0)) return this.refuse('old')
    const { ms } = JSON.parse(String(fields.spec)) as { readonly ms?: number }
    const endTimer = ms === undefined ? undefined : setTimeout(() => this.endRun(task, run, 'done'), ms)
    this.runs.set(`${task}/${run}`, { task, run, startedAt: performance.now(), ms: ms ?? STARTUP_MS, endTimer })
    this.options.observe({ type: 'started', worker: this.id, born: this.bornMs, task, run })
    return this.accept()
  }

  private stopRun (fields: Fields): { readonly status: number, readonly body: unknown } {
    const task = String(fields.task)
    const run = Number(fields.run)
    this.highestEnded.set(task, Math.max(run, this.highestEnded.get(task) ?? 0))
    if (this.runs.has(`${task}/${run}`)) this.endRun(task, run, 'stopped')
    return this.accept()
  }

  private async hold (fields: Fields): Promise<{ readonly status: number, readonly body: unknown }> {
    if (fields.deadlineMs !== undefined) this.extendLease(Number(fields.deadlineMs))
    this.ends = this.ends.filter(([number]) => number > Number(fields.ackCursor ?? 0))
    const waitMs = Math.min(Number(fields.waitMs ?? 0), MAX_WAIT_MS)
    if (this.ends.length === 0 && waitMs > 0) await this.waitForEnd(waitMs)
    const now = performance.now()
    const running = [...this.runs.values()].map(({ task, run, startedAt, ms }) => [task, run, '', Math.min(FULL_PERCENT, Math.floor(FULL_PERCENT * (now - startedAt) / ms)), 0])
    return { status: 200, body: { clockMs: this.clockMs, born: this.bornMs, running, ended: this.ends } }
  }

  private waitForEnd (waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, waitMs)
      this.waiting.add(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  private extendLease (untilMs: number): void {
    this.leaseUntilMs = Math.max(this.leaseUntilMs, Math.min(untilMs, this.clockMs + MAX_HOLD_MS))
    clearTimeout(this.leaseTimer)
    this.leaseTimer = setTimeout(() => this.lapse(), Math.max(0, this.leaseUntilMs - this.clockMs))
  }

  private lapse (): void {
    for (const { task, run } of [...this.runs.values()]) this.endRun(task, run, 'lapsed')
  }

  private endRun (task: string, run: number, how: string): void {
    const present = this.runs.get(`${task}/${run}`)
    if (present === undefined) return
    clearTimeout(present.endTimer)
    this.runs.delete(`${task}/${run}`)
    this.highestEnded.set(task, Math.max(run, this.highestEnded.get(task) ?? 0))
    this.lastEndNumber += 1
    this.ends = [...this.ends, [this.lastEndNumber, task, run, how, '']]
    this.options.observe({ type: 'ended', worker: this.id, born: this.bornMs, task, run, how })
    for (const wake of [...this.waiting]) wake()
    this.waiting.clear()
  }
}
