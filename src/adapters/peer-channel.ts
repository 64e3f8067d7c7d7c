import { Client, credentials, experimental, status } from '@grpc/grpc-js'
import type { ChannelCredentials, ChannelOptions, ServiceError } from '@grpc/grpc-js'
import { Metadata } from '@grpc/grpc-js'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { PeerFailure } from '../ports/peer-transport.ts'
import type { Closable } from './address-table.ts'
import type { IncrementCounter } from './count.ts'
import { DELIVER_METHOD, KEEPALIVE_INTERVAL_MS, KEEPALIVE_TIMEOUT_MS } from './peer-service.ts'
import type { TlsFiles } from './tls-files.ts'

/** Options of a peer channel. */
export type PeerChannelOptions = {
  /** gRPC target, for example `ipv4:127.0.0.1:7000`. */
  readonly target: string
  readonly timeoutMs: number
  readonly tls: TlsFiles | undefined
  readonly count: IncrementCounter
}

/** A gRPC client with the number of its unfinished calls. */
type ClientHandle = { readonly client: Client, pendingCalls: number }

/** Without this bound, a peer that receives messages more slowly than they are sent would exhaust the memory of this member. */
const MAX_PENDING_BYTES = 16_777_216

const CHANNEL_OPTIONS: ChannelOptions = {
  // With the global pool, a new client would reuse the unresponsive connection of an older client with the same address.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
  'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  'grpc.keepalive_permit_without_calls': 1,
  // A restarted member must become reachable again within its heartbeat interval.
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000
}

/**
 * The connection to one member. After a call has timed out, later calls use a new connection, and the pending calls of
 * the previous connection may still complete on it. An unresponsive connection therefore fails only its pending calls.
 */
export class PeerChannel implements Closable {
  private current: ClientHandle
  private readonly draining = new Set<ClientHandle>()
  private pendingBytes = 0

  private constructor (private readonly options: PeerChannelOptions) {
    this.current = this.openClient()
  }

  static create (options: PeerChannelOptions): PeerChannel {
    return new PeerChannel(options)
  }

  get busy (): boolean {
    return this.pendingBytes > 0
  }

  async deliver (bytes: Buffer): Promise<Result<void, PeerFailure>> {
    if (this.pendingBytes + bytes.length > MAX_PENDING_BYTES) return err({ reason: 'unavailable' })
    const handle = this.current
    handle.pendingCalls += 1
    this.pendingBytes += bytes.length
    const error = await this.sendCall(handle.client, bytes)
    this.pendingBytes -= bytes.length
    handle.pendingCalls -= 1
    if (error?.code === status.DEADLINE_EXCEEDED) this.handleTimeout(handle)
    this.closeIfDrained(handle)
    return error === undefined ? ok(undefined) : err({ reason: toFailureReason(error) })
  }

  /** Opens a new connection for later calls and closes the previous one after its pending calls. */
  replace (): void {
    const previous = this.current
    this.current = this.openClient()
    this.draining.add(previous)
    this.closeIfDrained(previous)
  }

  close (): void {
    for (const { client } of [this.current, ...this.draining]) client.close()
    this.draining.clear()
  }

  private openClient (): ClientHandle {
    return { client: new Client(this.options.target, this.createCredentials(), this.createChannelOptions()), pendingCalls: 0 }
  }

  private createCredentials (): ChannelCredentials {
    const { tls } = this.options
    return tls === undefined ? credentials.createInsecure() : experimental.createCertificateProviderChannelCredentials(tls, tls)
  }

  private createChannelOptions (): ChannelOptions {
    const { tls } = this.options
    return tls === undefined ? CHANNEL_OPTIONS : { ...CHANNEL_OPTIONS, 'grpc.ssl_target_name_override': tls.serverName }
  }

  private sendCall (client: Client, bytes: Buffer): Promise<ServiceError | undefined> {
    return new Promise((resolve) => {
      const deadline = Date.now() + this.options.timeoutMs
      const { path, requestSerialize, responseDeserialize } = DELIVER_METHOD
      client.makeUnaryRequest(path, requestSerialize, responseDeserialize, bytes, new Metadata(), { deadline }, (error) => resolve(error ?? undefined))
    })
  }

  /** Replaces the connection, unless it is replaced already: a later timeout on the previous one must not replace the new one. */
  private handleTimeout (handle: ClientHandle): void {
    this.options.count('peer-channel', 'timeout')
    if (handle !== this.current) return
    this.options.count('peer-channel', 'replaced')
    this.replace()
  }

  private closeIfDrained (handle: ClientHandle): void {
    if (handle.pendingCalls === 0 && this.draining.delete(handle)) handle.client.close()
  }
}

function toFailureReason (error: ServiceError): PeerFailure['reason'] {
  switch (error.code) {
    case status.DEADLINE_EXCEEDED: return 'timeout'
    case status.UNAVAILABLE:
    case status.CANCELLED: return 'unavailable'
    default: return 'rejected'
  }
}
