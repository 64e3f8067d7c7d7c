import { setTimeout as wait } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { Random } from '../src/util/random.ts'
import type { SoakCell } from './soak-cell.ts'
import { ADVISED_QUEUE, MAX_ATTEMPTS, QUEUES, SOAK_HOST, SOAK_KEY } from './soak-cell.ts'
import { createSoakJob } from './soak-jobs.ts'
import type { SoakJob } from './soak-jobs.ts'

const DEADLINE_MS = 3_000
const MAX_REQUEST_ATTEMPTS = 4
const RETRY_DELAY_MS = 400
/** Bounds of the time after which a caller asks for the state of its job. */
const QUERY_DELAY_MS = { min: 200, spread: 1_500 } as const
/** Range of the seeds of single jobs. */
const SEED_RANGE = 1_000_000_000
/** Errors of a connection that ends. Refused connections and timeouts have others. */
const ENDED_CONNECTION_CODES: readonly string[] = ['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']
/** Ratio of the capacity that jobs may take up that run until the traffic is over. */
const OUTLASTING_CPU_RATIO = 0.25
const FINAL_STATES: readonly string[] = ['completed', 'failed', 'cancelled']

type CallerResponse = { readonly status: number, readonly body: unknown }

/** Submits jobs to random members, cancels some of them, queries their states, and records the responses in the history. */
export class SoakCallers {
  readonly acceptedPaths = new Map<string, string>()
  refusedJobs = 0
  doubtfulJobs = 0
  /** Connections are kept open until the member process exits. */
  private readonly agent = new Agent({ keepAliveTimeout: 60_000, connections: 8 })

  /** Accepted jobs that run until they are cancelled. */
  private readonly lastingIds = new Set<string>()
  /** Demand of the jobs that run until the traffic is over. */
  private outlastingCpuMillis = 0
  private readonly jobSeed: number

  private constructor (private readonly cell: SoakCell, private readonly random: Random, private readonly jobKinds: readonly string[]) {
    this.jobSeed = random.nextInt(SEED_RANGE)
  }

  /** Creates callers that submit jobs of the given kinds, or of all kinds if there are none. */
  static create (cell: SoakCell, random: Random, jobKinds: readonly string[] = []): SoakCallers {
    return new SoakCallers(cell, random, jobKinds)
  }

  /** Submits one job, waits for a random time, and then cancels it or queries its state. The number and the seed determine the job. */
  async runJob (number: number): Promise<void> {
    const random = Random.create(this.jobSeed + number)
    const id = number.toString(16).padStart(16, '0')
    const queue = QUEUES[random.nextInt(QUEUES.length)]!
    const queryDelayMs = QUERY_DELAY_MS.min + random.nextInt(QUERY_DELAY_MS.spread)
    const { kind, job, body, cancelAfterMs, mayOutlastTraffic } = createSoakJob(random, id, { maxAttempts: MAX_ATTEMPTS, needsTicket: queue === ADVISED_QUEUE, kinds: this.jobKinds })
    const path = `/${queue}/${id}`
    this.cell.history.recordSubmission(job)
    if (!await this.submit(path, body, id)) return
    this.acceptedPaths.set(id, path)
    this.cell.history.recordAcceptance(id)
    if (kind === 'lasting') this.lastingIds.add(id)
    const cancelledAfterMs = mayOutlastTraffic && this.reserveCpu(job) ? undefined : cancelAfterMs
    await wait(cancelledAfterMs ?? queryDelayMs)
    if (cancelledAfterMs !== undefined) await this.cancel(path, id)
    else await this.queryState(path, id)
  }

  /** Reserves capacity for a job until the traffic is over. Returns whether there was enough. */
  private reserveCpu ({ steps }: SoakJob): boolean {
    const cpuMillis = this.outlastingCpuMillis + steps.reduce((sum, step) => sum + step.count * step.cpuMillis, 0)
    if (cpuMillis > OUTLASTING_CPU_RATIO * this.cell.capacityCpuMillis) return false
    this.outlastingCpuMillis = cpuMillis
    return true
  }

  /** Cancels the jobs that last, and polls accepted jobs until all have reached a final state or the deadline has passed. Returns the ids of the unfinished jobs. */
  async waitForFinalStates (deadline: number): Promise<readonly string[]> {
    const unfinished = new Map(this.acceptedPaths)
    await Promise.all([...this.lastingIds].map((id) => this.cancel(unfinished.get(id)!, id)))
    while (unfinished.size > 0 && performance.now() < deadline) {
      for (const [id, path] of unfinished) {
        const state = await this.queryState(path, id)
        if (state !== undefined && FINAL_STATES.includes(state)) unfinished.delete(id)
      }
      if (unfinished.size > 0) await wait(RETRY_DELAY_MS)
    }
    return [...unfinished.keys()]
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async submit (path: string, body: unknown, id: string): Promise<boolean> {
    let mayHaveRun = false
    for (let attempt = 0; attempt < MAX_REQUEST_ATTEMPTS; attempt += 1) {
      if (attempt > 0) await wait(RETRY_DELAY_MS)
      const response = await this.send('POST', path, body)
      if (response?.status === 200) return true
      mayHaveRun ||= response === undefined || (response.status !== 503 && response.status !== 429)
    }
    if (mayHaveRun) {
      this.doubtfulJobs += 1
      return false
    }
    this.refusedJobs += 1
    this.cell.history.recordRefusal(id)
    return false
  }

  private async cancel (path: string, id: string): Promise<void> {
    for (let attempt = 0; attempt < MAX_REQUEST_ATTEMPTS; attempt += 1) {
      // A cancellation whose response is lost may have been stored, so the job may be shown as cancelled from now on.
      this.cell.history.recordCancellation(id, Infinity)
      const response = await this.send('DELETE', path)
      if (response?.status === 200) return this.cell.history.recordCancellation(id, performance.now())
      await wait(RETRY_DELAY_MS)
    }
  }

  private async queryState (path: string, id: string): Promise<string | undefined> {
    const response = await this.send('GET', path)
    if (response === undefined) return undefined
    if (response.status === 410) this.cell.history.recordState(id, 'absent', performance.now())
    const { state } = response.body as { readonly state?: string }
    if (state !== undefined) this.cell.history.recordState(id, state, performance.now())
    return state
  }

  private async send (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<CallerResponse | undefined> {
    const address = this.cell.callerAddresses[this.random.nextInt(this.cell.callerAddresses.length)]!
    const sentAtMs = performance.now()
    try {
      const response = await request(`${address}${path}`, {
        method,
        dispatcher: this.agent,
        headers: { host: SOAK_HOST, key: SOAK_KEY, 'deadline-ms': String(DEADLINE_MS), 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(DEADLINE_MS)
      })
      const text = await response.body.text()
      return { status: response.statusCode, body: text === '' ? {} : JSON.parse(text) }
    } catch (error) {
      // The process has exited, is paused or was too slow, so the caller does not know whether its request took effect.
      if (isConnectionEnd(error)) this.cell.history.recordBrokenRequest(`${method} ${path} at ${address}`, sentAtMs, performance.now())
      return undefined
    }
  }
}

/** Whether a connection that was set up has ended before the whole response was received. */
function isConnectionEnd (error: unknown): boolean {
  return ENDED_CONNECTION_CODES.includes((error as { readonly code?: string }).code ?? '')
}
