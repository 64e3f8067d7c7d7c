import { setTimeout as wait } from 'node:timers/promises'
import { Agent, request } from 'undici'
import type { Random } from '../src/util/random.ts'
import type { SoakJob } from './run-history.ts'
import type { SoakCell } from './soak-cell.ts'
import { MOST_ATTEMPTS, QUEUES, SOAK_HOST, SOAK_KEY } from './soak-cell.ts'

const DEADLINE_MS = 3_000
const ATTEMPTS = 4
const RETRY_MS = 400
const TASK_CPU = 1_500
/** Parts of the jobs whose tasks always fail, and that their callers cancel. */
const FAILING_SHARE = 0.06
const CANCELLED_SHARE = 0.08
const FINAL: readonly string[] = ['completed', 'failed', 'cancelled']

type Answer = { readonly status: number, readonly body: unknown }

/** Hands jobs in at random members, cancels some, asks for their states, and tells the history what it was answered. */
export class SoakCallers {
  readonly accepted = new Map<string, string>()
  refused = 0
  doubtful = 0
  /** Callers keep their connections until the member's process has ended. */
  private readonly agent = new Agent({ keepAliveTimeout: 60_000, connections: 8 })

  private constructor (private readonly cell: SoakCell, private readonly random: Random) {}

  static create (cell: SoakCell, random: Random): SoakCallers {
    return new SoakCallers(cell, random)
  }

  /** Hands one job in and follows it for a while. */
  async play (number: number): Promise<void> {
    const { random } = this
    const counts = Array.from({ length: 1 + random.nextInt(2) }, () => 1 + random.nextInt(4))
    const id = number.toString(16).padStart(16, '0')
    const fails = random.next() < FAILING_SHARE
    const cancels = random.next() < CANCELLED_SHARE
    const ms = 80 + random.nextInt(1_500)
    const job: SoakJob = { id, counts, cpu: TASK_CPU, maxAttempts: MOST_ATTEMPTS }
    const path = `/${QUEUES[random.nextInt(QUEUES.length)]!}/${id}`
    const steps = counts.map((count, index) => ({ count, cpu: TASK_CPU, memMb: 64, estimatedMs: ms, ...(index === 0 ? {} : { after: [index - 1] }) }))
    this.cell.history.noteSubmission(job)
    if (!await this.submit(path, { spec: JSON.stringify({ ms, fails }), steps }, id)) return
    this.accepted.set(id, path)
    await wait(200 + random.nextInt(1_500))
    if (cancels) await this.cancel(path, id)
    else await this.askState(path, id)
  }

  /** Accepted jobs that have not ended by `until`. */
  async unfinished (until: number): Promise<readonly string[]> {
    const open = new Map(this.accepted)
    while (open.size > 0 && performance.now() < until) {
      for (const [id, path] of open) {
        const state = await this.askState(path, id)
        if (state !== undefined && FINAL.includes(state)) open.delete(id)
      }
      if (open.size > 0) await wait(RETRY_MS)
    }
    return [...open.keys()]
  }

  async close (): Promise<void> {
    await this.agent.destroy()
  }

  private async submit (path: string, body: unknown, id: string): Promise<boolean> {
    let everDoubtful = false
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      if (attempt > 0) await wait(RETRY_MS)
      const answer = await this.call('POST', path, body)
      if (answer?.status === 200) return true
      everDoubtful ||= answer === undefined || (answer.status !== 503 && answer.status !== 429)
    }
    if (everDoubtful) {
      this.doubtful += 1
      return false
    }
    this.refused += 1
    this.cell.history.noteRefused(id)
    return false
  }

  private async cancel (path: string, id: string): Promise<void> {
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      // A cancelling without an answer may have been stored as well, so that the job may be shown as cancelled.
      this.cell.history.noteCancelled(id, Infinity)
      const answer = await this.call('DELETE', path)
      if (answer?.status === 200) return this.cell.history.noteCancelled(id, performance.now())
      await wait(RETRY_MS)
    }
  }

  private async askState (path: string, id: string): Promise<string | undefined> {
    const answer = await this.call('GET', path)
    if (answer === undefined) return undefined
    if (answer.status === 410) this.cell.history.noteState(id, 'absent')
    const { state } = answer.body as { readonly state?: string }
    if (state !== undefined) this.cell.history.noteState(id, state)
    return state
  }

  private async call (method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown): Promise<Answer | undefined> {
    const address = this.cell.callerAddresses[this.random.nextInt(this.cell.callerAddresses.length)]!
    try {
      const answer = await request(`${address}${path}`, {
        method,
        dispatcher: this.agent,
        headers: { host: SOAK_HOST, key: SOAK_KEY, 'deadline-ms': String(DEADLINE_MS), 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(DEADLINE_MS)
      })
      const text = await answer.body.text()
      return { status: answer.statusCode, body: text === '' ? {} : JSON.parse(text) }
    } catch {
      // The process has ended, is paused or was too slow: the caller does not know what became of its request.
      return undefined
    }
  }
}
