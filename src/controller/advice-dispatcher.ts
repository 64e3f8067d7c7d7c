import type { AdviceResponse } from '../ports/command-client.ts'

/** A request for advice on the targets that may run a step. */
export type AdviceRequest = {
  readonly step: string
  readonly targets: readonly string[]
  /** Time that the advisor needs for the request, in milliseconds. */
  readonly costMs: number
  /** Whether the step belongs to a queue with the highest priority. */
  readonly urgent: boolean
}

/** Sends requests through one member; the advisor handles one call of each member at a time. */
export type AdviceChannel = { readonly name: string, readonly send: (request: AdviceRequest) => Promise<AdviceResponse> }

export type AdviceDispatcherOptions = {
  readonly onResponse: (request: AdviceRequest, response: AdviceResponse) => void
}

/** How long a channel is not used after a failed request, in milliseconds. */
const FAILED_CHANNEL_PAUSE_MS = 1_500

/** Distributes requests over the channels, urgent requests first. Each channel handles one request at a time. */
export class AdviceDispatcher {
  private readonly channels = new Map<string, AdviceChannel>()
  private readonly busyChannels = new Set<string>()
  private readonly pausedUntil = new Map<string, number>()
  private queue: AdviceRequest[] = []

  private constructor (private readonly options: AdviceDispatcherOptions) {}

  /**
   * Creates a dispatcher without channels.
   *
   * @example
   * const dispatcher = AdviceDispatcher.create({ onResponse: (request, response) => scheduler.apply({ type: 'advised', ... }) })
   * dispatcher.addChannel({ name: 'entry-2', send: (request) => sendThrough('10.0.0.2:7420', request) })
   */
  static create (options: AdviceDispatcherOptions): AdviceDispatcher {
    return new AdviceDispatcher(options)
  }

  addChannel (channel: AdviceChannel): void {
    this.channels.set(channel.name, channel)
    this.dispatch()
  }

  removeChannel (name: string): void {
    this.channels.delete(name)
  }

  enqueue (request: AdviceRequest): void {
    this.queue.push(request)
    this.queue.sort((left, right) => Number(right.urgent) - Number(left.urgent))
    this.dispatch()
  }

  get channelCount (): number {
    return this.channels.size
  }

  /** Number of requests that wait for a channel. */
  get queuedCount (): number {
    return this.queue.length
  }

  /** Number of channels with a request that has not settled. */
  get busyCount (): number {
    return this.busyChannels.size
  }

  /** Number of channels that are not used because their last request failed. */
  get pausedCount (): number {
    return [...this.channels.keys()].filter((name) => this.isPaused(name)).length
  }

  stop (): void {
    this.queue = []
    this.channels.clear()
  }

  private dispatch (): void {
    for (const channel of this.channels.values()) {
      if (this.queue.length === 0) return
      if (!this.busyChannels.has(channel.name) && !this.isPaused(channel.name)) this.sendRequest(channel, this.queue.shift()!)
    }
  }

  private isPaused (name: string): boolean {
    return (this.pausedUntil.get(name) ?? 0) > performance.now()
  }

  private sendRequest (channel: AdviceChannel, request: AdviceRequest): void {
    this.busyChannels.add(channel.name)
    channel.send(request).then((response) => {
      this.busyChannels.delete(channel.name)
      if (response.type === 'failed') this.pausedUntil.set(channel.name, performance.now() + FAILED_CHANNEL_PAUSE_MS)
      this.options.onResponse(request, response)
      this.dispatch()
    }, (error: unknown) => {
      this.busyChannels.delete(channel.name)
      this.options.onResponse(request, { type: 'failed', reason: String(error) })
    })
  }
}
