import { Agent, request } from 'undici'
import { Random } from '../../src/util/random.ts'
import { createUuidV7 } from '../../src/util/uuid-v7.ts'
import type { ProcessCell } from './process-cell.ts'
import { CELL_QUEUE } from './process-cell.ts'

const MS_PER_SECOND = 1_000
const TIMEOUT_MS = 20_000
/** A caller repeats a request with the same key until this time has passed. */
const PATIENCE_MS = 40_000
const RETRY_MS = 200
const OK = 200

/** How a caller's request ended for it. `broken`: every connection broke and it may not repeat the request. */
export type CallerOutcome =
  | { readonly type: 'answered', readonly echo: unknown, readonly work: string }
  | { readonly type: 'refused', readonly verdict: string, readonly code: string, readonly work: string | undefined }
  | { readonly type: 'broken' }

/** One request with what its caller saw. */
export type CallerRecord = {
  readonly number: number
  /** Requests with an idempotency key are the non-idempotent ones. */
  readonly keyed: boolean
  readonly sentAt: number
  readonly endedAt: number
  readonly tries: number
  readonly outcome: CallerOutcome
}

type Try = { readonly type: 'ended', readonly outcome: CallerOutcome } | { readonly type: 'again' } | { readonly type: 'connection-broken' }

/** Callers that send requests at a steady rate through all living members, as a load balancer would. */
export class ProcessLoad {
  readonly records: CallerRecord[] = []
  private readonly random: Random
  private readonly agent = new Agent({ connections: 64, headersTimeout: TIMEOUT_MS + 10_000 })
  private readonly waiting = new Set<Promise<void>>()
  private timer: NodeJS.Timeout | undefined
  private sent = 0

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
    await Promise.all(this.waiting)
    await this.agent.destroy()
    return this.records
  }

  private sendNext (): void {
    this.sent += 1
    const running = this.call(this.sent, this.sent % 2 === 0)
    this.waiting.add(running)
    running.finally(() => this.waiting.delete(running)).catch(() => {})
  }

  private async call (number: number, keyed: boolean): Promise<void> {
    const sentAt = Date.now()
    const key = keyed ? createUuidV7(sentAt) : undefined
    let tries = 0
    let outcome: CallerOutcome = { type: 'broken' }
    while (Date.now() - sentAt < PATIENCE_MS) {
      tries += 1
      const tried = await this.tryOnce(number, key)
      if (tried.type === 'ended') {
        outcome = tried.outcome
        break
      }
      if (tried.type === 'connection-broken' && !keyed) break
      await delay(RETRY_MS)
    }
    this.records.push({ number, keyed, sentAt, endedAt: Date.now(), tries, outcome })
  }

  private async tryOnce (number: number, key: string | undefined): Promise<Try> {
    const { living } = this.cell
    const member = living[this.random.nextInt(living.length)]
    if (member === undefined) return { type: 'again' }
    try {
      const response = await request(`${member.address}/v1/requests`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: key === undefined ? {} : { 'idempotency-key': key },
        body: JSON.stringify(bodyOf(number, key === undefined, 50 + number % 7 * 30))
      })
      return judge(response.statusCode, await response.body.json() as AnswerBody)
    } catch (error) {
      return isRefusedConnection(error) ? { type: 'again' } : { type: 'connection-broken' }
    }
  }
}

type AnswerBody = { readonly work?: string, readonly output?: { readonly echo?: unknown }, readonly verdict?: string, readonly code?: string }

function judge (status: number, body: AnswerBody): Try {
  if (status === OK) return { type: 'ended', outcome: { type: 'answered', echo: body.output?.echo, work: body.work ?? '' } }
  const { code = '', verdict = '', work } = body
  if (work === undefined && verdict === 'not-run') return { type: 'again' }
  return { type: 'ended', outcome: { type: 'refused', verdict, code, work } }
}

function bodyOf (number: number, idempotent: boolean, runMs: number): unknown {
  return {
    queue: CELL_QUEUE,
    resources: { cpuMillis: 500, memoryMiB: 256, slots: 1, connections: 1 },
    idempotent,
    timeoutMs: TIMEOUT_MS,
    payload: { runMs, output: { echo: number } }
  }
}

/** The request was not sent at all. */
function isRefusedConnection (error: unknown): boolean {
  return (error as { readonly code?: string }).code === 'ECONNREFUSED'
}

async function delay (durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs))
}
