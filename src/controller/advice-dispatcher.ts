import type { AdviceResponse } from '../ports/command-client.ts'

export type AdviceRequest = {
  readonly step: string
  readonly targets: readonly string[]
  /** Time that the advisor takes, in milliseconds. */
  readonly costMs: number
  /** The step is of a queue with the highest priority. */
  readonly urgent: boolean
}

/** Asks through one member; the advisor serves each member one call at a time. */
export type AdviceChannel = { readonly name: string, readonly ask: (request: AdviceRequest) => Promise<AdviceResponse> }

export type AdviceDispatcherOptions = {
  readonly onAnswer: (request: AdviceRequest, answer: AdviceResponse) => void
}

/** A lane that failed is left out for this time, in milliseconds. */
const CHANNEL_PAUSE_MS = 1_500

/** Spreads questions over lanes, urgent ones first, each lane one at a time. */
export class AdviceDispatcher {
  private readonly channels = new Map<string, AdviceChannel>()
  private readonly busy = new Set<string>()
  private readonly pausedUntil = new Map<string, number>()
  private waiting: AdviceRequest[] = []

  private constructor (private readonly options: AdviceDispatcherOptions) {}

  /**
   * @example
   * const lanes = AdviceLanes.create({ onAnswer: (question, answer) => cell.apply({ type: 'advised', ... }) })
   * lanes.add({ name: 'entry-2', ask: (question) => askThrough('10.0.0.2:7420', question) })
   */
  static create (options: AdviceDispatcherOptions): AdviceDispatcher {
    return new AdviceDispatcher(options)
  }

  add (channel: AdviceChannel): void {
    this.channels.set(channel.name, channel)
    this.dispatch()
  }

  remove (name: string): void {
    this.channels.delete(name)
  }

  ask (request: AdviceRequest): void {
    this.waiting.push(request)
    this.waiting.sort((left, right) => Number(right.urgent) - Number(left.urgent))
    this.dispatch()
  }

  get size (): number {
    return this.channels.size
  }

  /** Questions that wait for a lane. */
  get waitingCount (): number {
    return this.waiting.length
  }

  stop (): void {
    this.waiting = []
    this.channels.clear()
  }

  private dispatch (): void {
    for (const channel of this.channels.values()) {
      if (this.waiting.length === 0) return
      if (!this.busy.has(channel.name) && (this.pausedUntil.get(channel.name) ?? 0) <= performance.now()) this.use(channel, this.waiting.shift()!)
    }
  }

  private use (channel: AdviceChannel, request: AdviceRequest): void {
    this.busy.add(channel.name)
    channel.ask(request).then((answer) => {
      this.busy.delete(channel.name)
      if (answer.type === 'failed') this.pausedUntil.set(channel.name, performance.now() + CHANNEL_PAUSE_MS)
      this.options.onAnswer(request, answer)
      this.dispatch()
    }, (error: unknown) => {
      this.busy.delete(channel.name)
      this.options.onAnswer(request, { type: 'failed', reason: String(error) })
    })
  }
}
