import { createHash } from 'node:crypto'
import type { Configuration } from '../src/model/configuration.ts'
import type { MemberId } from '../src/model/ids.ts'
import type { EventQueue } from './event-queue.ts'
import type { ObservedEvent } from './history.ts'
import type { Exchange } from './member-access.ts'
import type { CreateMemberProcess, MemberInput, MemberOutput, MemberProcess } from './member-process.ts'

const TICK_INTERVAL_MS = 50
const CONFIGURATION_SAMPLE_INTERVAL_MS = 500
/** Start of the simulated wall clock; an arbitrary time in 2027. */
export const WALL_CLOCK_BASE_MS = 1_800_000_000_000

/** Performs an output of the process; `receiveLater` passes its result to the same incarnation. */
export type PerformOutput = (node: MemberNode, output: MemberOutput, receiveLater: (input: MemberInput) => void) => void

export type MemberNodeOptions = {
  readonly id: MemberId
  readonly failureDomain: string
  readonly seed: number
  readonly queue: EventQueue
  readonly create: CreateMemberProcess
  readonly observe: (observed: ObservedEvent) => void
  readonly perform: PerformOutput
}

/** Host of a member: starts, kills and pauses the process, and keeps the connections of callers and operators. */
export class MemberNode {
  private process: MemberProcess | undefined
  private incarnation = 0
  private pausedUntil = 0
  private leaving = false
  private inbox: MemberInput[] = []
  private exchanges = new Map<string, Exchange<never>>()
  private exchangeSequence = 0
  private readonly completedExchanges = new Set<string>()

  private constructor (private readonly options: MemberNodeOptions) {}

  static create (options: MemberNodeOptions): MemberNode {
    return new MemberNode(options)
  }

  get id (): MemberId {
    return this.options.id
  }

  get isRunning (): boolean {
    return this.process !== undefined
  }

  get isLeaving (): boolean {
    return this.leaving
  }

  get incarnationName (): string {
    return `${this.id}-${this.incarnation}`
  }

  /** Incarnation that the process puts on its messages. */
  get envelopeIncarnation (): string {
    return this.process?.incarnation() ?? this.incarnationName
  }

  start (): void {
    if (this.process !== undefined) return
    const { id, failureDomain, seed, create, observe } = this.options
    this.incarnation += 1
    this.leaving = false
    this.pausedUntil = 0
    this.process = create({ id, incarnation: this.incarnationName, failureDomain, seed: seed + this.incarnation, now: this.readClock() })
    observe({ type: 'member-started', member: id, incarnation: this.incarnationName })
    this.repeat(TICK_INTERVAL_MS, () => this.receive({ type: 'tick' }))
    this.repeat(CONFIGURATION_SAMPLE_INTERVAL_MS, () => this.observeConfiguration())
  }

  kill (restartMs: number): void {
    if (this.process === undefined) return
    this.options.observe({ type: 'member-died', member: this.id })
    this.endIncarnation('member-died', restartMs)
  }

  /** Pauses the process; inputs that arrive meanwhile are handled when it resumes. */
  pause (forMs: number): void {
    const { queue } = this.options
    if (this.process === undefined || this.isPaused) return
    const { incarnation } = this
    const since = queue.now
    this.pausedUntil = queue.now + forMs
    queue.at(this.pausedUntil, () => {
      if (this.incarnation !== incarnation || this.process === undefined) return
      const inbox = this.inbox.splice(0)
      this.pausedUntil = 0
      this.receive({ type: 'paused', lateMs: queue.now - since })
      inbox.forEach((input) => this.receive(input))
    })
  }

  leave (): void {
    if (this.process === undefined || this.leaving) return
    this.leaving = true
    this.options.observe({ type: 'member-shutdown-asked', member: this.id })
    this.receive({ type: 'leave-requested' })
  }

  /** Ends the process after it has left the cluster gracefully. */
  exit (restartMs: number): void {
    if (this.process === undefined) return
    this.options.observe({ type: 'member-exited', member: this.id })
    this.endIncarnation('member-exited', restartMs)
  }

  /** Opens an exchange with a caller or operator. */
  openExchange<Reply> (exchange: Exchange<Reply>, input: (exchangeId: string) => MemberInput): void {
    if (this.process === undefined) {
      exchange.onDisconnected('member-died')
      return
    }
    this.exchangeSequence += 1
    const exchangeId = `${this.incarnationName}-x${this.exchangeSequence}`
    this.exchanges.set(exchangeId, exchange as Exchange<never>)
    this.receive(input(exchangeId))
  }

  /** Passes the response to the caller. Further responses are passed on too, so that the checker sees duplicates. */
  completeExchange (exchangeId: string, reply: unknown): void {
    this.exchanges.get(exchangeId)?.onResponse(reply as never)
    this.completedExchanges.add(exchangeId)
  }

  receive (input: MemberInput): void {
    if (this.process === undefined) return
    if (this.isPaused) {
      if (input.type !== 'tick') this.inbox.push(input)
      return
    }
    const { incarnation } = this
    const receiveLater = (later: MemberInput): void => {
      if (this.incarnation === incarnation) this.receive(later)
    }
    for (const output of this.process.apply(this.readClock(), input)) {
      // An injected death takes effect between two outputs of one event.
      if (this.incarnation !== incarnation || this.process === undefined) return
      this.options.perform(this, output, receiveLater)
    }
  }

  private get isPaused (): boolean {
    return this.options.queue.now < this.pausedUntil
  }

  private endIncarnation (cause: 'member-died' | 'member-exited', restartMs: number): void {
    const open = [...this.exchanges].filter(([id]) => !this.completedExchanges.has(id))
    this.process = undefined
    this.inbox = []
    this.exchanges = new Map()
    this.completedExchanges.clear()
    for (const [, exchange] of open) exchange.onDisconnected(cause)
    this.options.queue.after(restartMs, () => this.start())
  }

  /** Returns the member's clock. The clocks of members differ by up to 0.4 s and in speed by up to 0.08%. */
  private readClock (): number {
    const { queue, seed } = this.options
    return Math.round(WALL_CLOCK_BASE_MS + (seed % 5) * 100 + queue.now * (1 + (seed % 3 - 1) * 0.0004))
  }

  private observeConfiguration (): void {
    if (this.process === undefined || this.isPaused) return
    const configuration = this.process.configuration()
    const fresh = this.process.isFresh(this.readClock())
    this.options.observe({ type: 'configuration-shown', member: this.id, incarnation: this.incarnationName, revision: configuration.revision, fresh, digest: computeDigest(configuration) })
  }

  private repeat (intervalMs: number, action: () => void): void {
    const { incarnation } = this
    this.options.queue.after(intervalMs, () => {
      if (this.incarnation !== incarnation || this.process === undefined) return
      action()
      this.repeat(intervalMs, action)
    })
  }
}

function computeDigest (configuration: Configuration): string {
  const text = JSON.stringify(configuration, (_, value: unknown) => value instanceof Map ? [...value].sort() : value)
  return createHash('sha256').update(text).digest('hex').slice(0, 16)
}
