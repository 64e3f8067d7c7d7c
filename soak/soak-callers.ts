import { setTimeout as wait } from 'node:timers/promises'
import { Agent, request } from 'undici'
import type { Random } from '../src/util/random.ts'
import type { SoakJob } from './run-history.ts'
import type { SoakCell } from './soak-cell.ts'
import { MAX_ATTEMPTS, QUEUES, SOAK_HOST, SOAK_KEY } from './soak-cell.ts'

const DEADLINE_MS = 3_000
const MAX_REQUEST_ATTEMPTS = 4
const RETRY_DELAY_MS = 400
const TASK_CPU_MILLIS = 1_500
/** Ratio of jobs whose tasks always fail. */
const FAILING_JOBS_RATIO = 0.06
/** Ratio of jobs that their callers cancel. */
const CANCELLED_JOBS_RATIO = 0.08
/** Ratio of jobs whose tasks last longer than a takeover. */
const LONG_JOBS_RATIO = 0.3
const SHORT_TASK_MS = { min: 80, spread: 1_500 } as const
const LONG_TASK_MS = { min: 2_000, spread: 4_000 } as const
/** Errors of a connection that ends. Refused connections and timeouts have others. */
const ENDED_CONNECTION_CODES: readonly string[] = ['ECONNRESET', 'EPIPE', 'UND_ERR_SOCKET']
const FINAL_STATES: readonly string[] = ['completed', 'failed', 'cancelled']

type CallerResponse = { readonly status: number, readonly body: unknown }

/** Submits jobs to random members, cancels some of them, queries their states, and records the responses in the history. */
export class SoakCallers {
  readonly acceptedPaths = new Map<string, string>()
  refusedJobs = 0
  doubtfulJobs = 0
  /** Connections are kept open until the member process exits. */
  private readonly agent = new Agent({ keepAliveTimeout: 60_000, connections: 8 })

  private constructor (private readonly cell: SoakCell, private readonly random: Random) {}

  static create (cell: SoakCell, random: Random): SoakCallers {
    return new SoakCallers(cell, random)
  }

  /** Submits one job, waits for a random time, and then cancels it or queries its state. */
  async runJob (number: number): Promise<void> {
    const { random } = this
    const counts = Array.from({ length: 1 + random.nextInt(2) }, () => 1 + random.nextInt(4))
    const id = number.toString(16).padStart(16, '0')
    const shouldFail = random.next() < FAILING_JOBS_RATIO
    const shouldCancel = random.next() < CANCELLED_JOBS_RATIO
    const { min, spread } = random.next() < LONG_JOBS_RATIO ? LONG_TASK_MS : SHORT_TASK_MS
    const durationMs = min + random.nextInt(spread)
    const job: SoakJob = { id, counts, cpuMillis: TASK_CPU_MILLIS, maxAttempts: MAX_ATTEMPTS }
    const path = `/${QUEUES[random.nextInt(QUEUES.length)]!}/${id}`
    const steps = counts.map((count, index) => ({ count, cpu: TASK_CPU_MILLIS, memMb: 64, estimatedMs: durationMs, ...(index === 0 ? {} : { after: [index - 1] }) }))
    this.cell.history.recordSubmission(job)
    if (!await this.submit(path, { spec: JSON.stringify({ ms: durationMs, fails: shouldFail }), steps }, id)) return
    this.acceptedPaths.set(id, path)
    await wait(200 + random.nextInt(1_500))
    if (shouldCancel) await this.cancel(path, id)
    else await this.queryState(path, id)
  }

  /** Polls accepted jobs until all have reached a final state or the deadline has passed. Returns the ids of the unfinished jobs. */
  async waitForFinalStates (deadline: number): Promise<readonly string[]> {
    const unfinished = new Map(this.acceptedPaths)
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
    if (response.status === 410) this.cell.history.recordState(id, 'absent')
    const { state } = response.body as { readonly state?: string }
    if (state !== undefined) this.cell.history.recordState(id, state)
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
      if (isConnectionEnd(error)) this.cell.history.recordBrokenRequest(`${method} ${path}`, sentAtMs, performance.now())
      return undefined
    }
  }
}

/** Whether a connection that was set up has ended before the whole response was received. */
function isConnectionEnd (error: unknown): boolean {
  return ENDED_CONNECTION_CODES.includes((error as { readonly code?: string }).code ?? '')
}
