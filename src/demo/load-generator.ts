import { Agent, request } from 'undici'
import type { Deployment } from './deployment.ts'
import { clockNow } from '../standins/clock.ts'
import { Random } from '../util/random.ts'

/** Numbers of requests and jobs that are sent per second. */
const REQUESTS_PER_SECOND = 60
const JOBS_PER_SECOND = 4
const BATCH_TASKS = 12
const GANG_TASKS = 6
/** One request out of this many is urgent. */
const REQUESTS_PER_URGENT = 10
const DEADLINE_MS = 10_000
const MS_PER_SECOND = 1_000
const MAX_CONNECTIONS = 128
const SUCCESS_STATUSES = [200, 202]

/** Class of the work that the load generator sends. */
export type WorkClass = 'urgent' | 'request' | 'batch' | 'gang'

/** The result of one request or submission, as the caller observed it. */
export type Observation = {
  readonly workClass: WorkClass
  readonly work: string | undefined
  readonly sentAt: number
  readonly answeredAt: number
  readonly status: number
  readonly verdict: string | undefined
}

/** Options of `LoadGenerator`. */
export type LoadGeneratorOptions = {
  readonly deployment: Deployment
  readonly addresses: readonly string[]
  /** Team keys by team name. */
  readonly keys: ReadonlyMap<string, string>
  readonly seed: number
}

/** Sends requests and jobs for all queues of a deployment at a constant rate. */
export class LoadGenerator {
  readonly observations: Observation[] = []
  private readonly random: Random
  private readonly agent = new Agent({ connections: MAX_CONNECTIONS })
  private readonly pendingSends = new Set<Promise<void>>()
  private timers: NodeJS.Timeout[] = []
  private sentRequests = 0

  private constructor (private readonly options: LoadGeneratorOptions) {
    this.random = Random.create(options.seed)
  }

  /**
   * Creates a load generator; `start` starts sending.
   *
   * @example
   * const load = LoadGenerator.create({ deployment, addresses, keys, seed: 1 })
   */
  static create (options: LoadGeneratorOptions): LoadGenerator {
    return new LoadGenerator(options)
  }

  start (): void {
    this.timers = [
      setInterval(() => this.sendRequest(), MS_PER_SECOND / REQUESTS_PER_SECOND),
      setInterval(() => this.sendJob(), MS_PER_SECOND / JOBS_PER_SECOND)
    ]
  }

  /** Stops sending and waits for the pending responses. */
  async stop (): Promise<void> {
    for (const timer of this.timers) clearInterval(timer)
    await Promise.all(this.pendingSends)
    await this.agent.close()
  }

  private sendRequest (): void {
    this.sentRequests += 1
    const urgent = this.sentRequests % REQUESTS_PER_URGENT === 0
    const body = { ...this.createCommonBody(urgent, 50 + this.random.nextInt(250)), timeoutMs: DEADLINE_MS }
    this.trackSend(this.send('/v1/requests', urgent ? 'urgent' : 'request', body))
  }

  private sendJob (): void {
    const kind = this.random.nextInt(4) === 0 ? 'gang' : 'batch'
    const body = { ...this.createCommonBody(false, 1_000 + this.random.nextInt(3_000)), kind, count: kind === 'gang' ? GANG_TASKS : BATCH_TASKS, idempotent: true }
    this.trackSend(this.send('/v1/jobs', kind, body))
  }

  private createCommonBody (urgent: boolean, runMs: number): Readonly<Record<string, unknown>> & { readonly queue: string, readonly team: string } {
    const { queues } = this.options.deployment.content
    const queue = queues[this.random.nextInt(queues.length)]!
    const resources = { cpuMillis: 500 + 500 * this.random.nextInt(3), memoryMiB: 512, accelerators: 0, slots: 1, connections: 2 }
    return { queue: queue.name, team: queue.team, resources, expectedMs: runMs, urgent, payload: { runMs, output: { echo: this.sentRequests } } }
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
      const result = await response.body.json() as { readonly work?: string, readonly verdict?: string }
      this.observations.push({ workClass, work: result.work, sentAt, answeredAt: clockNow(), status: response.statusCode, verdict: result.verdict })
    } catch {
      this.observations.push({ workClass, work: undefined, sentAt, answeredAt: clockNow(), status: 0, verdict: undefined })
    }
  }

  private trackSend (send: Promise<void>): void {
    this.pendingSends.add(send)
    send.finally(() => this.pendingSends.delete(send)).catch(() => {})
  }
}

/**
 * Whether the request or submission succeeded.
 *
 * @example
 * isSuccess(observation)
 */
export function isSuccess (observation: Observation): boolean {
  return SUCCESS_STATUSES.includes(observation.status)
}
