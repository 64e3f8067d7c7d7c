import type { AdviceResponse } from '../../ports/command-client.ts'

/** A request for advice on the targets that may run a step. */
export type AdviceRequest = {
  readonly step: string
  readonly targets: readonly string[]
  /** Time that the advisor needs for the request, in milliseconds. */
  readonly costMs: number
  /** Whether it goes before requests that are not urgent. */
  readonly urgent: boolean
}

/** Sends requests through one member; the advisor handles one call of each member at a time. */
export type AdviceChannel = { readonly name: string, readonly send: (request: AdviceRequest) => Promise<AdviceResponse> }

export type AdviceDispatcherOptions = {
  readonly onResponse: (request: AdviceRequest, response: AdviceResponse) => void
}

/** How long a channel is not used after a failed request, in milliseconds. */
const FAILED_CHANNEL_PAUSE_MS = 1_500

/** A channel and what it does now. A channel that replaces another of the same name has a state of its own. */
type ChannelState = { readonly channel: AdviceChannel, phase: 'free' | 'busy' | 'paused' }

/** Distributes requests over the channels, urgent requests first. Each channel handles one request at a time. */
export class AdviceDispatcher {
  private readonly states = new Map<string, ChannelState>()
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
    this.states.set(channel.name, { channel, phase: 'free' })
    this.dispatch()
  }

  removeChannel (name: string): void {
    this.states.delete(name)
  }

  enqueue (request: AdviceRequest): void {
    this.queue.push(request)
    this.queue.sort((left, right) => Number(right.urgent) - Number(left.urgent))
    this.dispatch()
  }

  get channelCount (): number {
    return this.states.size
  }

  /** Number of channels that are not paused. */
  get usableCount (): number {
    return this.channelCount - this.pausedCount
  }

  /** Number of requests that wait for a channel. */
  get queuedCount (): number {
    return this.queue.length
  }

  /** Number of channels with a request that has not settled. */
  get busyCount (): number {
    return this.countChannels('busy')
  }

  /** Number of channels that are not used because their last request failed. */
  get pausedCount (): number {
    return this.countChannels('paused')
  }

  stop (): void {
    this.queue = []
    this.states.clear()
  }

  private countChannels (phase: ChannelState['phase']): number {
    return [...this.states.values()].filter((state) => state.phase === phase).length
  }

  /** Gives requests to free channels. Must be called whenever a channel becomes free and whenever a request is added. */
  private dispatch (): void {
    for (const state of this.states.values()) {
      if (this.queue.length === 0) return
      if (state.phase === 'free') this.sendRequest(state, this.queue.shift()!)
    }
  }

  private sendRequest (state: ChannelState, request: AdviceRequest): void {
    state.phase = 'busy'
    const settle = (response: AdviceResponse): void => {
      if (response.type === 'failed') this.pause(state)
      else state.phase = 'free'
      this.options.onResponse(request, response)
      this.dispatch()
    }
    state.channel.send(request).then(settle, (error: unknown) => settle({ type: 'failed', reason: String(error) }))
  }

  /** Requests may wait for this channel only, so the end of its pause must give it one. */
  private pause (state: ChannelState): void {
    state.phase = 'paused'
    setTimeout(() => {
      state.phase = 'free'
      this.dispatch()
    }, FAILED_CHANNEL_PAUSE_MS).unref()
  }
}
