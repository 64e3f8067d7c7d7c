import { Agent, request } from 'undici'
import type { Deployment } from './deployment.ts'
import { clockNow } from '../standins/clock.ts'
import { Random } from '../util/random.ts'

/** Starts of requests and jobs in one second. */
const REQUESTS_PER_SECOND = 60
const JOBS_PER_SECOND = 4
const BATCH_TASKS = 12
const GANG_TASKS = 6
/** One request in this many is urgent. */
const URGENT_EVERY = 10
const DEADLINE_MS = 10_000
const MS_PER_SECOND = 1_000
const CONNECTIONS = 128
const SUCCESS = [200, 202]

export type WorkClass = 'urgent' | 'request' | 'batch' | 'gang'

/** What one caller saw. */
export type Observation = {
  readonly workClass: WorkClass
  readonly work: string | undefined
  readonly sentAt: number
  readonly answeredAt: number
  readonly status: number
  readonly verdict: string | undefined
}

export type LoadOptions = {
  readonly deployment: Deployment
  readonly addresses: readonly string[]
  /** Team keys by team name. */
  readonly keys: ReadonlyMap<string, string>
  readonly seed: number
}

/** Callers that send requests and jobs of all queues of a deployment at a steady rate. */
export class Load {
  readonly observations: Observation[] = []
  private readonly random: Random
  private readonly agent = new Agent({ connections: CONNECTIONS })
  private readonly waiting = new Set<Promise<void>>()
  private timers: NodeJS.Timeout[] = []
  private sent = 0

  private constructor (private readonly options: LoadOptions) {
    this.random = Random.create(options.seed)
  }

  /**
   * Prepares the load; `start` begins it.
   *
   * @example
   * const load = Load.create({ deployment, addresses, keys, seed: 1 })
   */
  static create (options: LoadOptions): Load {
    return new Load(options)
  }

  start (): void {
    this.timers = [
      setInterval(() => this.sendRequest(), MS_PER_SECOND / REQUESTS_PER_SECOND),
      setInterval(() => this.sendJob(), MS_PER_SECOND / JOBS_PER_SECOND)
    ]
  }

  /** Stops sending and waits for the answers. */
  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    await Promise.all(this.waiting)
    await this.agent.close()
  }

  private sendRequest (): void {
    this.sent += 1
    const urgent = this.sent % URGENT_EVERY === 0
    const body = { ...this.common(urgent, 50 + this.random.nextInt(250)), timeoutMs: DEADLINE_MS }
    this.track(this.send('/v1/requests', urgent ? 'urgent' : 'request', body))
  }

  private sendJob (): void {
    const kind = this.random.nextInt(4) === 0 ? 'gang' : 'batch'
    const body = { ...this.common(false, 1_000 + this.random.nextInt(3_000)), kind, count: kind === 'gang' ? GANG_TASKS : BATCH_TASKS, idempotent: true }
    this.track(this.send('/v1/jobs', kind, body))
  }

  private common (urgent: boolean, runMs: number): Readonly<Record<string, unknown>> & { readonly queue: string, readonly team: string } {
    const { queues } = this.options.deployment.content
    const queue = queues[this.random.nextInt(queues.length)]!
    const resources = { cpuMillis: 500 + 500 * this.random.nextInt(3), memoryMiB: 512, accelerators: 0, slots: 1, connections: 2 }
    return { queue: queue.name, team: queue.team, resources, expectedMs: runMs, urgent, payload: { runMs, output: { echo: this.sent } } }
  }

  private async send (path: string, workClass: WorkClass, work: Readonly<Record<string, unknown>> & { readonly team: string }): Promise<void> {
    const { team, ...body } = work
    const { addresses, keys } = this.options
    const sentAt = clockNow()
    try {
      const response = await request(`${addresses[this.random.nextInt(addresses.length)]}${path}`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: { authorization: `Bearer ${keys.get(team)}`, 'content-type': 'application/json' },
        body: JSON.stringify(body)
      })
      const answer = await response.body.json() as { readonly work?: string, readonly verdict?: string }
      this.observations.push({ workClass, work: answer.work, sentAt, answeredAt: clockNow(), status: response.statusCode, verdict: answer.verdict })
    } catch {
      this.observations.push({ workClass, work: undefined, sentAt, answeredAt: clockNow(), status: 0, verdict: undefined })
    }
  }

  private track (running: Promise<void>): void {
    this.waiting.add(running)
    running.finally(() => this.waiting.delete(running)).catch(() => {})
  }
}

/**
 * Whether a caller got what it asked for.
 *
 * @example
 * isSuccess(observation)
 */
export function isSuccess (observation: Observation): boolean {
  return SUCCESS.includes(observation.status)
}
