import type { Peer } from '../member-call.ts'
import { RELAY_BATCH_MS } from './relay-message.ts'
import type { RelayEntry, RelayReply, RelayStream, RelayStreamOpener, RelayedCommand, RelayedResponse } from './relay-message.ts'

/** A relay that has not sent anything for this time although a message was sent to it is lost, in milliseconds. */
const SILENCE_LIMIT_MS = 450
/** How long a command may wait at the relay before it is sent, in milliseconds. */
const COMMAND_VALIDITY_MS = 800
/** How long the leader waits for the response to a command, in milliseconds. */
const COMMAND_TIMEOUT_MS = 900
/** The same for a list request, in addition to its wait time. */
const LIST_TIMEOUT_MARGIN_MS = 500
/** If a check is later than this, this process was busy or suspended, and replies may wait to be read, in milliseconds. */
const LATE_CHECK_MS = 200

/** Reasons of unanswered commands that say nothing about the target: the connection was lost, or closed by the leader. */
export const RELAY_LOST = 'relay-lost'
export const RELAY_CLOSED = 'relay-closed'

export type RelayConnectionOptions = {
  readonly peer: Peer
  readonly open: RelayStreamOpener
  /** Called once when the relay is lost. All pending commands are unanswered then. */
  readonly onLost: (reason: string) => void
  /** Monotonic clock and time of day, in milliseconds. */
  readonly now?: () => number
  readonly timeOfDay?: () => number
}

type Pending = { readonly expiresAt: number, readonly resolve: (response: RelayedResponse) => void }

/**
 * The leader's connection to one relay. It gathers commands for a few milliseconds into one message. A relay that
 * stops responding is detected by its silence, because an open connection may lose its messages without an error.
 */
export class RelayConnection {
  readonly peer: Peer
  private readonly stream: RelayStream
  private readonly pending = new Map<number, Pending>()
  private outgoing: RelayEntry[] = []
  private lastNumber = 0
  private lastSequence = 0
  /** When the oldest message without a later reply was sent; undefined if the relay has replied since the last message. */
  private unansweredSince: number | undefined
  private lastCheckAt: number
  private flushScheduled = false
  private closed = false

  private constructor (private readonly options: RelayConnectionOptions) {
    this.peer = options.peer
    this.lastCheckAt = this.now()
    this.stream = options.open(options.peer.address, { onReply: (reply) => this.handleReply(reply), onClosed: (reason) => this.lose(reason) })
  }

  /**
   * Opens a connection. `checkSilence` must be called regularly.
   *
   * @example
   * const connection = RelayConnection.create({ peer, open, onLost: (reason) => reporter.count(RELAY_LOST, reason) })
   * const response = await connection.send({ type: 'stop', target, command })
   */
  static create (options: RelayConnectionOptions): RelayConnection {
    return new RelayConnection(options)
  }

  get pendingCount (): number {
    return this.pending.size
  }

  /** Sends a command through the relay. */
  send (relayed: RelayedCommand): Promise<RelayedResponse> {
    if (this.closed) return Promise.resolve({ type: 'unanswered', reason: RELAY_CLOSED })
    this.lastNumber += 1
    const number = this.lastNumber
    const timeoutMs = relayed.type === 'list' ? relayed.command.waitMs + LIST_TIMEOUT_MARGIN_MS : COMMAND_TIMEOUT_MS
    this.outgoing.push({ number, relayed, validUntilMs: this.timeOfDay() + COMMAND_VALIDITY_MS })
    this.scheduleFlush()
    return new Promise((resolve) => this.pending.set(number, { expiresAt: this.now() + timeoutMs, resolve }))
  }

  /** Detects a silent relay and the commands that it has not answered in time, and sends a message to get a sign of life. */
  checkSilence (): void {
    if (this.closed) return
    const now = this.now()
    const isLate = now - this.lastCheckAt > LATE_CHECK_MS
    this.lastCheckAt = now
    if (isLate) {
      this.unansweredSince = now
      return this.flush()
    }
    if (this.unansweredSince !== undefined && now - this.unansweredSince > SILENCE_LIMIT_MS) return this.lose('silent')
    for (const [number, { expiresAt }] of this.pending) {
      if (expiresAt <= now) this.resolve(number, { type: 'unanswered', reason: 'relay-timeout' })
    }
    this.flush()
  }

  /** Closes the connection; pending commands are unanswered. */
  close (): void {
    if (this.closed) return
    this.closed = true
    this.stream.close()
    this.failPending(RELAY_CLOSED)
  }

  private scheduleFlush (): void {
    if (this.flushScheduled) return
    this.flushScheduled = true
    setTimeout(() => {
      this.flushScheduled = false
      if (this.outgoing.length > 0) this.flush()
    }, RELAY_BATCH_MS)
  }

  private flush (): void {
    if (this.closed) return
    const entries = this.outgoing
    this.outgoing = []
    this.lastSequence += 1
    this.unansweredSince ??= this.now()
    this.stream.send({ sequence: this.lastSequence, entries })
  }

  private handleReply ({ sequence, responses }: RelayReply): void {
    if (this.closed) return
    this.unansweredSince = sequence >= this.lastSequence ? undefined : this.now()
    for (const { number, response } of responses) this.resolve(number, response)
  }

  private resolve (number: number, response: RelayedResponse): void {
    const pending = this.pending.get(number)
    if (pending === undefined) return
    this.pending.delete(number)
    pending.resolve(response)
  }

  private lose (reason: string): void {
    if (this.closed) return
    this.closed = true
    this.stream.close()
    this.options.onLost(reason)
    this.failPending(RELAY_LOST)
  }

  private failPending (reason: string): void {
    for (const number of [...this.pending.keys()]) this.resolve(number, { type: 'unanswered', reason })
  }

  private now (): number {
    return this.options.now?.() ?? performance.now()
  }

  private timeOfDay (): number {
    return this.options.timeOfDay?.() ?? Date.now()
  }
}
