import { Agent, request } from 'undici'
import { Random } from '../../src/util/random.ts'
import { createUuidV7 } from '../../src/util/uuid-v7.ts'
import type { ProcessCell } from './process-cell.ts'
import { CELL_QUEUE } from './process-cell.ts'

const MS_PER_SECOND = 1_000
const REQUEST_TIMEOUT_MS = 20_000
/** Time during which a caller retries a request with the same key. */
const RETRY_PERIOD_MS = 40_000
const RETRY_DELAY_MS = 200
const STATUS_OK = 200

/**
 * Outcome of a request for its caller. `broken`: the connection broke and a retry is not allowed, or the retry period is
 * over; `cause` is the last error and `member` the process that the request was sent to.
 */
export type CallerOutcome =
  | { readonly type: 'answered', readonly echo: unknown, readonly work: string }
  | { readonly type: 'refused', readonly verdict: string, readonly code: string, readonly work: string | undefined }
  | BrokenOutcome

type BrokenOutcome = { readonly type: 'broken', readonly cause: string, readonly member: string }

/** One request and its outcome, as its caller observed them. */
export type CallerRecord = {
  readonly number: number
  /** Whether the request has an idempotency key; exactly the non-idempotent requests have one. */
  readonly keyed: boolean
  readonly sentAt: number
  readonly endedAt: number
  readonly tries: number
  readonly outcome: CallerOutcome
}

type Attempt = { readonly type: 'ended', readonly outcome: CallerOutcome } | { readonly type: 'again' } | { readonly type: 'connection-broken', readonly outcome: BrokenOutcome }

/** Callers that send requests at a constant rate through all running members, as a load balancer would. */
export class ProcessLoad {
  readonly records: CallerRecord[] = []
  private readonly random: Random
  private readonly agent = new Agent({ connections: 64, headersTimeout: REQUEST_TIMEOUT_MS + 10_000 })
  private readonly pendingCalls = new Set<Promise<void>>()
  private timer: NodeJS.Timeout | undefined
  private sentCount = 0

  private constructor (private readonly cell: ProcessCell, seed: number) {
    this.random = Random.create(seed)
  }

  /**
   * Starts sending at once.
   *
   * @example
   * const load = ProcessLoad.start(cell, 40, 1)
   */
  static start (cell: ProcessCell, perSecond: number, seed: number): ProcessLoad {
    const load = new ProcessLoad(cell, seed)
    load.timer = setInterval(() => load.sendNext(), MS_PER_SECOND / perSecond)
    return load
  }

  /** Stops sending and waits until every caller has an outcome. */
  async stop (): Promise<readonly CallerRecord[]> {
    clearInterval(this.timer)
    await Promise.all(this.pendingCalls)
    await this.agent.destroy()
    return this.records
  }

  private sendNext (): void {
    this.sentCount += 1
    const running = this.sendWithRetries(this.sentCount, this.sentCount % 2 === 0)
    this.pendingCalls.add(running)
    running.finally(() => this.pendingCalls.delete(running)).catch(() => {})
  }

  private async sendWithRetries (number: number, keyed: boolean): Promise<void> {
    const sentAt = Date.now()
    const key = keyed ? createUuidV7(sentAt) : undefined
    let tries = 0
    let outcome: CallerOutcome = { type: 'broken', cause: 'not sent', member: '' }
    while (Date.now() - sentAt < RETRY_PERIOD_MS) {
      tries += 1
      const tried = await this.sendOnce(number, key)
      if (tried.type === 'ended') {
        outcome = tried.outcome
        break
      }
      if (tried.type === 'connection-broken') {
        outcome = tried.outcome
        if (!keyed) break
      }
      await delay(RETRY_DELAY_MS)
    }
    this.records.push({ number, keyed, sentAt, endedAt: Date.now(), tries, outcome })
  }

  private async sendOnce (number: number, key: string | undefined): Promise<Attempt> {
    const { runningMembers: living } = this.cell
    const member = living[this.random.nextInt(living.length)]
    if (member === undefined) return { type: 'again' }
    try {
      const response = await request(`${member.address}/v1/requests`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: key === undefined ? {} : { 'idempotency-key': key },
        body: JSON.stringify(createRequestBody(number, key === undefined, 50 + number % 7 * 30))
      })
      return parseResponse(response.statusCode, await response.body.json() as ResponseBody)
    } catch (error) {
      if (isRefusedConnection(error)) return { type: 'again' }
      return { type: 'connection-broken', outcome: { type: 'broken', cause: describeError(error), member: member.id } }
    }
  }
}

type ResponseBody = { readonly work?: string, readonly output?: { readonly echo?: unknown }, readonly verdict?: string, readonly code?: string }

function parseResponse (status: number, body: ResponseBody): Attempt {
  if (status === STATUS_OK) return { type: 'ended', outcome: { type: 'answered', echo: body.output?.echo, work: body.work ?? '' } }
  const { code = '', verdict = '', work } = body
  if (work === undefined && verdict === 'not-run') return { type: 'again' }
  return { type: 'ended', outcome: { type: 'refused', verdict, code, work } }
}

function createRequestBody (number: number, idempotent: boolean, runMs: number): unknown {
  return {
    queue: CELL_QUEUE,
    resources: { cpuMillis: 500, memoryMiB: 256, slots: 1, connections: 1 },
    idempotent,
    timeoutMs: REQUEST_TIMEOUT_MS,
    payload: { runMs, output: { echo: number } }
  }
}

/** Returns whether the connection was refused, so that the request was not sent. */
function isRefusedConnection (error: unknown): boolean {
  return (error as { readonly code?: string }).code === 'ECONNREFUSED'
}

/**
 * Describes a connection error by its code and message.
 *
 * @example
 * describeError(error) // 'UND_ERR_SOCKET: other side closed'
 */
function describeError (error: unknown): string {
  const { code, message } = error as { readonly code?: string, readonly message?: string }
  return `${code ?? 'no code'}: ${message ?? String(error)}`
}

async function delay (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
