import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { Duplex } from 'node:stream'
import type { ConnectionState } from './connection-state.ts'
import { findBoundary } from './request-boundary.ts'

/** Largest part that is passed on at once, in bytes: one that comes in chunks of one byte costs an event for each. */
const PART_BYTES = 8_192
/** From this size on a request counts as large, in bytes. */
const LARGE_BYTES = 16_384
/** Bytes that are discarded after this side was closed, before the connection is broken off. */
const MAX_DISCARDED_BYTES = 1_048_576

/** What a connection tells the port that it belongs to. */
export type ConnectionEvents = {
  /** There is a part to pass on. */
  readonly onPassable: (connection: CallerConnection) => void
  /** Bytes have arrived. */
  readonly onReceived: (connection: CallerConnection) => void
  /** The connection holds more bytes or requests for its organisation, or fewer. */
  readonly onHeldChange: (organisation: string | undefined, bytes: number, requests: number) => void
  readonly onClose: (connection: CallerConnection) => void
  /** Maximum size of a request with its headers and trailers, in bytes as sent. */
  readonly getMaxRequestBytes: () => number
  readonly onTooLong: (connection: CallerConnection) => void
}

type Exchange = { readonly request: IncomingMessage, readonly response: ServerResponse }

/**
 * The connection that the HTTP library sees in place of a socket. It reads from the socket only what it can pass on:
 * while a response is prepared or not read to its end, nothing of the next request.
 */
export class CallerConnection extends Duplex {
  /** Ends the reading of a body; set while one is being read. */
  abortBody: ((reason: 'overloaded' | 'interrupted') => void) | undefined
  private organisationName: string | undefined
  private readonly exchanges: Exchange[] = []
  /** The latest request, until all of it has arrived. */
  private unfinished: IncomingMessage | undefined
  private rest: Buffer | undefined
  private heldBytes = 0
  private countedRequests = 0
  private bodyBytes = 0
  private passedBytes = 0
  private discardedBytes = 0
  private isUsed = false
  private hasEnded = false
  private isEndPassed = false
  private isDiscarding = false
  private lingeringSinceMs: number | undefined
  private receivingSinceMs: number | undefined
  private stateSinceMs = performance.now()

  private constructor (private readonly socket: Socket, private readonly events: ConnectionEvents) {
    super({ allowHalfOpen: true })
    socket.on('readable', () => this.handleReadable())
    socket.on('end', () => this.handleEnd())
    socket.on('error', () => {})
    socket.on('close', () => this.destroy())
  }

  static create (socket: Socket, events: ConnectionEvents): CallerConnection {
    return new CallerConnection(socket, events)
  }

  get isLarge (): boolean { return this.passedBytes > LARGE_BYTES }
  get remoteAddress (): string | undefined { return this.socket.remoteAddress }

  get state (): ConnectionState {
    const phase = this.phase
    const sinceMs = phase === 'lingering' ? this.lingeringSinceMs! : phase === 'receiving' ? this.receivingSinceMs ?? this.stateSinceMs : this.stateSinceMs
    // The body of a request that is being served is not given up.
    const heldBytes = phase === 'serving' ? this.heldBytes - this.bodyBytes : this.heldBytes
    return { phase, sinceMs, heldBytes, unreadBytes: this.socket.writableLength }
  }

  get organisation (): string | undefined { return this.organisationName }
  /** Number of requests whose response has not been sent to its end. */
  get requests (): number { return this.countedRequests }
  get isRefusingFurther (): boolean { return this.isDiscarding }
  get isBetweenResponses (): boolean { return this.exchanges.length === 0 }
  /** Whether something has been sent after the present request, which has no body. */
  get isPipelining (): boolean {
    const { headers } = this.exchanges.at(-1)?.request ?? {}
    return this.hasInput && headers?.['transfer-encoding'] === undefined && Number(headers?.['content-length'] ?? 0) === 0
  }

  /** Everything that is held for the caller, in bytes. */
  get held (): number { return this.heldBytes }

  /** Whether nothing of a request has arrived since the last response. */
  get isQuiet (): boolean {
    return (this.phase === 'idle' || this.phase === 'unused') && this.socket.readableLength === 0
  }

  /** Called when the HTTP library has read the headers of a request. */
  begin (request: IncomingMessage, response: ServerResponse): void {
    // The library may still take a request from a part that it was given before the connection was closed.
    if (this.destroyed) return
    const exchange = { request, response }
    this.isUsed = true
    this.unfinished = request
    this.exchanges.push(exchange)
    this.countRequests(this.countedRequests + 1)
    this.stateSinceMs = performance.now()
    request.on('resume', () => this.schedule())
    response.once('prefinish', () => { this.stateSinceMs = performance.now() })
    response.once('close', () => this.endExchange(exchange))
  }

  /** Passes the next part on to the HTTP library. Returns whether there is more that can be passed on now. */
  passPart (): boolean {
    if (!this.canPass) return false
    const part = this.takePart()
    if (part === undefined) return false
    this.passedBytes += part.length
    this.receivingSinceMs ??= performance.now()
    this.push(part)
    if (this.unfinished?.complete === true) {
      this.unfinished = undefined
      if (this.exchanges.length === 0) this.awaitNextRequest()
    }
    this.passEnd()
    this.updateHeld()
    if (this.passedBytes > this.events.getMaxRequestBytes()) this.events.onTooLong(this)
    return this.canPass && this.hasInput
  }

  /** Counts what the connection holds for an organisation, until the response has ended. */
  assign (organisation: string | undefined): void {
    this.events.onHeldChange(this.organisationName, -this.heldBytes, -this.countedRequests)
    this.organisationName = organisation
    this.events.onHeldChange(organisation, this.heldBytes, this.countedRequests)
  }

  /** Counts its requests and their body no more: they are being refused, or other limits apply to them from now on. */
  releaseRequests (): void {
    this.setBodyBytes(0)
    this.countRequests(0)
  }

  /** Sets the size of the body that is being read or served. */
  setBodyBytes (bytes: number): void {
    this.bodyBytes = bytes
    this.updateHeld()
  }

  /** Reads nothing more for the HTTP library, and closes the connection after the responses to what it has read. */
  refuseFurther (): void {
    this.isDiscarding = true
    this.rest = undefined
    this.discard()
    this.updateHeld()
  }

  override _read (): void {
    this.schedule()
  }

  override _write (chunk: Buffer, _encoding: BufferEncoding, callback: (error?: Error | null) => void): void {
    this.socket.write(chunk, callback)
  }

  override _writev (chunks: Array<{ chunk: Buffer | string, encoding: BufferEncoding }>, callback: (error?: Error | null) => void): void {
    const parts = chunks.map(({ chunk, encoding }) => typeof chunk === 'string' ? Buffer.from(chunk, encoding) : chunk)
    this.socket.write(Buffer.concat(parts), callback)
  }

  override _final (callback: (error?: Error | null) => void): void {
    this.lingeringSinceMs = performance.now()
    this.refuseFurther()
    this.socket.end()
    callback()
  }

  override _destroy (error: Error | null, callback: (error?: Error | null) => void): void {
    this.socket.destroy()
    this.events.onHeldChange(this.organisationName, -this.heldBytes, -this.countedRequests)
    this.exchanges.length = 0
    this.countedRequests = 0
    this.rest = undefined
    this.heldBytes = 0
    this.bodyBytes = 0
    this.events.onClose(this)
    callback(error)
  }

  private get phase (): ConnectionState['phase'] {
    if (this.lingeringSinceMs !== undefined) return 'lingering'
    const exchange = this.exchanges[0]
    if (exchange?.response.writableEnded === true) return 'unread'
    if (exchange !== undefined && exchange.request.complete) return 'serving'
    if (exchange !== undefined || this.unfinished !== undefined || this.receivingSinceMs !== undefined) return 'receiving'
    return this.isUsed ? 'idle' : 'unused'
  }

  private get hasInput (): boolean {
    return this.rest !== undefined || this.socket.readableLength > 0
  }

  /** Whether a part may be passed on: to a body that is being read, or else with no response outstanding. */
  private get canPass (): boolean {
    if (this.destroyed || this.isDiscarding || this.readableLength > 0 || this.exchanges.length > 1) return false
    const exchange = this.exchanges[0]
    if (exchange === undefined) return true
    return !exchange.request.complete && exchange.request.readableFlowing === true
  }

  private takePart (): Buffer | undefined {
    const input = this.rest ?? this.socket.read(Math.min(PART_BYTES, this.socket.readableLength)) as Buffer | null
    if (input === null || input.length === 0) return undefined
    const end = findBoundary(input)
    this.rest = end < input.length ? input.subarray(end) : undefined
    return input.subarray(0, end)
  }

  private schedule (): void {
    if (this.canPass && this.hasInput) this.events.onPassable(this)
  }

  private handleReadable (): void {
    if (this.isDiscarding) return this.discard()
    // Only a read that finds nothing makes the socket report its end.
    if (this.socket.readableLength === 0) this.socket.read()
    else if (this.phase === 'unused' || this.phase === 'idle') this.receivingSinceMs = performance.now()
    this.updateHeld()
    this.schedule()
    if (this.heldBytes > 0) this.events.onReceived(this)
  }

  private handleEnd (): void {
    this.hasEnded = true
    this.passEnd()
  }

  /** Passes the end of the connection on after everything that was sent before it. */
  private passEnd (): void {
    if (!this.hasEnded || this.isEndPassed || this.rest !== undefined) return
    this.isEndPassed = true
    this.push(null)
  }

  private endExchange (exchange: Exchange): void {
    const index = this.exchanges.indexOf(exchange)
    if (index === -1) return
    this.bodyBytes = 0
    this.updateHeld()
    this.assign(undefined)
    this.exchanges.splice(index, 1)
    this.countRequests(Math.max(0, this.countedRequests - 1))
    this.stateSinceMs = performance.now()
    if (this.unfinished?.complete === true) this.unfinished = undefined
    if (this.exchanges.length === 0 && this.unfinished === undefined) this.awaitNextRequest()
    if (this.isDiscarding && this.exchanges.length === 0) this.end()
    else this.schedule()
  }

  private awaitNextRequest (): void {
    this.passedBytes = 0
    this.receivingSinceMs = this.hasInput ? performance.now() : undefined
  }

  private discard (): void {
    const bytes = this.socket.read() as Buffer | null
    this.discardedBytes += bytes?.length ?? 0
    if (this.lingeringSinceMs !== undefined && this.discardedBytes > MAX_DISCARDED_BYTES) this.destroy()
  }

  private countRequests (requests: number): void {
    const change = requests - this.countedRequests
    this.countedRequests = requests
    this.events.onHeldChange(this.organisationName, 0, change)
  }

  private updateHeld (): void {
    if (this.destroyed) return
    const bytes = (this.rest?.length ?? 0) + this.socket.readableLength + this.bodyBytes
    const change = bytes - this.heldBytes
    this.heldBytes = bytes
    if (change !== 0) this.events.onHeldChange(this.organisationName, change, 0)
  }
}
