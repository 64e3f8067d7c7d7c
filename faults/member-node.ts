import { createHash } from 'node:crypto'
import type { Configuration } from '../src/model/configuration.ts'
import type { MemberId } from '../src/model/ids.ts'
import type { EventQueue } from './event-queue.ts'
import type { Observed } from './history.ts'
import type { Exchange } from './member-access.ts'
import type { CreateMemberProcess, MemberInput, MemberOutput, MemberProcess } from './member-process.ts'

const TICK_MS = 50
const SHOW_MS = 500
/** Start of the wall clock; any moment in 2027. */
export const WALL_CLOCK_BASE_MS = 1_800_000_000_000

/** Carries out outputs that leave the process. */
export type PerformOutput = (node: MemberNode, output: MemberOutput, again: (input: MemberInput) => void) => void

export type MemberNodeOptions = {
  readonly id: MemberId
  readonly failureDomain: string
  readonly seed: number
  readonly queue: EventQueue
  readonly create: CreateMemberProcess
  readonly observe: (observed: Observed) => void
  readonly perform: PerformOutput
}

/** A member's host: starts, kills and pauses the process, and holds the connections of callers and operators. */
export class MemberNode {
  private process: MemberProcess | undefined
  private incarnation = 0
  private pausedUntil = 0
  private leaving = false
  private inbox: MemberInput[] = []
  private exchanges = new Map<string, Exchange<never>>()
  private exchangeSequence = 0
  private readonly answered = new Set<string>()

  private constructor (private readonly options: MemberNodeOptions) {}

  static create (options: MemberNodeOptions): MemberNode {
    return new MemberNode(options)
  }

  get id (): MemberId {
    return this.options.id
  }

  get up (): boolean {
    return this.process !== undefined
  }

  get isLeaving (): boolean {
    return this.leaving
  }

  get incarnationName (): string {
    return `${this.id}-${this.incarnation}`
  }

  /** Incarnation that the process writes on its messages. */
  get envelopeIncarnation (): string {
    return this.process?.incarnation() ?? this.incarnationName
  }

  start (): void {
    if (this.process !== undefined) return
    const { id, failureDomain, seed, create, observe } = this.options
    this.incarnation += 1
    this.leaving = false
    this.pausedUntil = 0
    this.process = create({ id, incarnation: this.incarnationName, failureDomain, seed: seed + this.incarnation, now: this.clock() })
    observe({ type: 'member-started', member: id, incarnation: this.incarnationName })
    this.repeat(TICK_MS, () => this.receive({ type: 'tick' }))
    this.repeat(SHOW_MS, () => this.show())
  }

  die (restartMs: number): void {
    if (this.process === undefined) return
    this.options.observe({ type: 'member-died', member: this.id })
    this.end('member-died', restartMs)
  }

  /** Stops the process for a while; what arrives meanwhile is handled after it. */
  pause (forMs: number): void {
    const { queue } = this.options
    if (this.process === undefined || this.paused) return
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

  /** Called when the process reports that it has left. */
  exit (restartMs: number): void {
    if (this.process === undefined) return
    this.options.observe({ type: 'member-exited', member: this.id })
    this.end('member-exited', restartMs)
  }

  /** Opens an exchange with a caller or operator. */
  open<Reply> (exchange: Exchange<Reply>, input: (exchangeId: string) => MemberInput): void {
    if (this.process === undefined) {
      exchange.disconnected('member-died')
      return
    }
    this.exchangeSequence += 1
    const exchangeId = `${this.incarnationName}-x${this.exchangeSequence}`
    this.exchanges.set(exchangeId, exchange as Exchange<never>)
    this.receive(input(exchangeId))
  }

  /** Completes an exchange; later answers go on to the caller too, so that the checker sees doubled ones. */
  answer (exchangeId: string, reply: unknown): void {
    this.exchanges.get(exchangeId)?.answered(reply as never)
    this.answered.add(exchangeId)
  }

  receive (input: MemberInput): void {
    if (this.process === undefined) return
    if (this.paused) {
      if (input.type !== 'tick') this.inbox.push(input)
      return
    }
    const { incarnation } = this
    const again = (later: MemberInput): void => {
      if (this.incarnation === incarnation) this.receive(later)
    }
    for (const output of this.process.apply(this.clock(), input)) {
      // An injected death takes effect between two outputs of one event.
      if (this.incarnation !== incarnation || this.process === undefined) return
      this.options.perform(this, output, again)
    }
  }

  private get paused (): boolean {
    return this.options.queue.now < this.pausedUntil
  }

  private end (cause: 'member-died' | 'member-exited', restartMs: number): void {
    const open = [...this.exchanges].filter(([id]) => !this.answered.has(id))
    this.process = undefined
    this.inbox = []
    this.exchanges = new Map()
    this.answered.clear()
    for (const [, exchange] of open) exchange.disconnected(cause)
    this.options.queue.after(restartMs, () => this.start())
  }

  /** Members' clocks are apart by up to 0.4 s and differ in speed by up to 0.08%. */
  private clock (): number {
    const { queue, seed } = this.options
    return Math.round(WALL_CLOCK_BASE_MS + (seed % 5) * 100 + queue.now * (1 + (seed % 3 - 1) * 0.0004))
  }

  private show (): void {
    if (this.process === undefined || this.paused) return
    const configuration = this.process.configuration()
    const fresh = this.process.fresh(this.clock())
    this.options.observe({ type: 'configuration-shown', member: this.id, incarnation: this.incarnationName, revision: configuration.revision, fresh, digest: digestOf(configuration) })
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

function digestOf (configuration: Configuration): string {
  const text = JSON.stringify(configuration, (_, value: unknown) => value instanceof Map ? [...value].sort() : value)
  return createHash('sha256').update(text).digest('hex').slice(0, 16)
}
