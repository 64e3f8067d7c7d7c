import { request } from 'undici'
import { WorkerServer } from '../../platform/standin/worker-server.ts'
import type { WorkerEvent, WorkerServerOptions } from '../../platform/standin/worker-server.ts'

/** The task that is started by default. */
export const TASK = 'a.0.0.0'
/** A lease that lasts longer than a test. */
export const LONG_MS = 10_000

/** Status and fields of a worker's response. */
export type Answer = { readonly status: number, readonly reason?: string, readonly running?: readonly unknown[], readonly ended?: readonly unknown[] }

/** Fields of a start that differ from the default. */
export type StartFields = { readonly leaseMs?: number, readonly spec?: object, readonly [field: string]: unknown }

/** A worker whose events are collected with their times. */
export class TestWorker {
  readonly events: WorkerEvent[] = []
  readonly eventTimes: number[] = []

  private constructor (readonly server: WorkerServer) {}

  static async listen (options: Partial<WorkerServerOptions> = {}): Promise<TestWorker> {
    const observe = (event: WorkerEvent): void => {
      worker.events.push(event)
      worker.eventTimes.push(performance.now())
    }
    const worker: TestWorker = new TestWorker(await WorkerServer.listen({ id: 'w1', needsTickets: false, observe, ...options }))
    return worker
  }

  /** The ends so far, as `task run outcome`. */
  get ends (): readonly string[] {
    return this.events.flatMap((event) => event.type === 'ended' ? [`${event.task} ${event.run} ${event.outcome}`] : [])
  }

  async call (path: string, fields: object, instance = this.server.id): Promise<Answer> {
    const { statusCode, body } = await request(`http://${this.server.address}${path}`, { method: 'POST', headers: { 'expect-instance': instance }, body: JSON.stringify({ fencingToken: 1, ...fields }) })
    const text = await body.text()
    return { status: statusCode, ...(text === '' ? {} : JSON.parse(text) as object) }
  }

  /** Starts a task, by default run 1 of a task that lasts, with a long lease. */
  start ({ leaseMs = LONG_MS, spec = {}, ...fields }: StartFields = {}): Promise<Answer> {
    return this.call('/run-start', { task: TASK, run: 1, spec: JSON.stringify(spec), deadlineMs: this.server.clockMs + leaseMs, ...fields })
  }

  hold (fields: object = {}): Promise<Answer> {
    return this.call('/hold', fields)
  }
}
