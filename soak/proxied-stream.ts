import type { Socket } from 'node:net'

/**
 * How a proxy handles its connections. `open`: bytes are forwarded. `slow`: bytes are forwarded with a delay. `held`: bytes
 * and the ends of connections are kept and forwarded when the link is open again. `silent`: bytes are discarded in both
 * directions. `one-way`: requests are forwarded and responses are discarded. `reset`: open and new connections are closed
 * immediately. `refused`: open connections are closed, and nothing listens. `refuses-new`: nothing listens, and open connections go on. `dark`: bytes and the ends of connections are
 * discarded, and no connection outlives this, as with a target that has no power.
 */
export type LinkState = 'open' | 'slow' | 'held' | 'silent' | 'one-way' | 'reset' | 'refused' | 'refuses-new' | 'dark'

/** The states in which nothing is forwarded in either direction, and nothing later. */
const DISCARDING_STATES: readonly LinkState[] = ['silent', 'reset', 'refused', 'dark']

const SLOW_LINK_DELAY_MS = 150
/** Time to the first retransmission of a lost segment. Each of the following takes twice as long. */
const RETRANSMISSION_MS = 200

/** One direction of a proxied connection. */
export class ProxiedStream {
  private held: Buffer[] = []
  private heldSinceMs: number | undefined
  private hasEnded = false
  private releaseTimer: NodeJS.Timeout | undefined

  private constructor (private readonly destination: Socket, private readonly type: 'requests' | 'responses', private state: LinkState) {}

  /**
   * Creates a stream that writes to the destination.
   *
   * @example
   * const requests = ProxiedStream.create(peer, 'requests', 'open')
   * client.on('data', (bytes) => requests.write(bytes))
   */
  static create (destination: Socket, type: 'requests' | 'responses', state: LinkState): ProxiedStream {
    return new ProxiedStream(destination, type, state)
  }

  /** Whether what is written now is kept. Bytes stay in order, so this lasts until the earlier ones have been released. */
  get isHolding (): boolean {
    return this.state === 'held' || this.heldSinceMs !== undefined
  }

  write (bytes: Buffer): void {
    if (this.isHolding) this.hold(bytes)
    else this.forward(bytes)
  }

  /** Closes the destination, or lets this wait until the kept bytes have been released. */
  end (): void {
    if (this.isHolding) {
      this.hasEnded = true
      this.heldSinceMs ??= performance.now()
    } else {
      this.destination.destroy()
    }
  }

  setState (state: LinkState): void {
    this.state = state
    clearTimeout(this.releaseTimer)
    if (this.heldSinceMs === undefined || state === 'held') return
    if (this.discards()) return this.discardHeld()
    this.releaseTimer = setTimeout(() => this.release(), computeRetransmissionDelay(performance.now() - this.heldSinceMs))
  }

  private hold (bytes: Buffer): void {
    this.heldSinceMs ??= performance.now()
    this.held.push(bytes)
  }

  private forward (bytes: Buffer): void {
    if (this.discards() || this.destination.destroyed) return
    if (this.state === 'slow') setTimeout(() => { if (!this.destination.destroyed) this.destination.write(bytes) }, SLOW_LINK_DELAY_MS)
    else this.destination.write(bytes)
  }

  private release (): void {
    const bytes = Buffer.concat(this.held)
    this.held = []
    this.heldSinceMs = undefined
    if (this.destination.destroyed) return
    if (bytes.length > 0) this.destination.write(bytes)
    if (this.hasEnded) this.destination.end()
  }

  private discardHeld (): void {
    this.held = []
    this.heldSinceMs = undefined
    if (this.hasEnded) this.destination.destroy()
  }

  private discards (): boolean {
    return DISCARDING_STATES.includes(this.state) || (this.state === 'one-way' && this.type === 'responses')
  }
}

/**
 * Time until the next retransmission of bytes that were first sent the given time ago.
 *
 * @example
 * computeRetransmissionDelay(500) // 100: after 200 ms follows the one after 600 ms
 */
export function computeRetransmissionDelay (elapsedMs: number): number {
  let dueMs = RETRANSMISSION_MS
  for (let intervalMs = 2 * RETRANSMISSION_MS; dueMs < elapsedMs; intervalMs *= 2) dueMs += intervalMs
  return dueMs - elapsedMs
}
