import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberId } from '../model/ids.ts'
import type { PeerEnvelope } from '../model/peer.ts'
import type { PeerFailure, PeerTransport } from '../ports/peer-transport.ts'
import { AddressTable } from './address-table.ts'
import type { IncrementCounter } from './count.ts'
import { IGNORE_COUNT } from './count.ts'
import { PeerChannel } from './peer-channel.ts'
import { MAX_PEER_MESSAGE_BYTES, encodeEnvelope } from './peer-service.ts'
import type { TlsFiles } from './tls-files.ts'

/** Options of the transport. */
export type GrpcPeerTransportOptions = {
  /** Timeout of one message. Default 1,000, the heartbeat interval. */
  readonly timeoutMs?: number
  /** Maximum size of a message. Default 4,194,304. */
  readonly maxMessageBytes?: number
  /** Files for mutual TLS; without them the transport uses plain TCP. */
  readonly tls?: TlsFiles
  readonly count?: IncrementCounter
}

/** Number of messages and their size in bytes, without the overhead of the protocol. */
export type PeerTraffic = { readonly messages: number, readonly bytes: number }

const DEFAULT_TIMEOUT_MS = 1_000

/**
 * Sends messages to members over gRPC, with one connection for each address. Addresses have the form `127.0.0.1:7000` or
 * `[::1]:7000`.
 *
 * @example
 * const transport = GrpcPeerTransport.create()
 * await transport.send('m2', '127.0.0.1:7000', { from: 'm1', incarnation: 'i1', message })
 */
export class GrpcPeerTransport implements PeerTransport {
  private messages = 0
  private bytes = 0
  private readonly onTlsChange = () => {
    for (const channel of this.channels.items()) channel.replace()
  }

  private constructor (
    private readonly channels: AddressTable<PeerChannel>,
    private readonly maxMessageBytes: number,
    private readonly tls: TlsFiles | undefined
  ) {
    tls?.onChange(this.onTlsChange)
  }

  static create (options: GrpcPeerTransportOptions = {}): GrpcPeerTransport {
    const { timeoutMs = DEFAULT_TIMEOUT_MS, maxMessageBytes = MAX_PEER_MESSAGE_BYTES, tls, count = IGNORE_COUNT } = options
    const channels = AddressTable.create((address) => {
      const target = toGrpcTarget(address)
      return target === undefined ? undefined : PeerChannel.create({ target, timeoutMs, tls, count })
    })
    return new GrpcPeerTransport(channels, maxMessageBytes, tls)
  }

  get sentTraffic (): PeerTraffic {
    return { messages: this.messages, bytes: this.bytes }
  }

  async send (_to: MemberId, address: string, envelope: PeerEnvelope): Promise<Result<void, PeerFailure>> {
    const bytes = tryEncodeEnvelope(envelope)
    if (bytes === undefined || bytes.length > this.maxMessageBytes) return err({ reason: 'rejected' })
    const channel = this.channels.get(address)
    if (channel === undefined) return err({ reason: 'unavailable' })
    this.messages += 1
    this.bytes += bytes.length
    return channel.deliver(bytes)
  }

  close (): void {
    this.tls?.removeChangeListener(this.onTlsChange)
    this.channels.close()
  }
}

/** Returns undefined for an envelope that cannot be encoded, for example because a value is nested too deep. */
function tryEncodeEnvelope (envelope: PeerEnvelope): Buffer | undefined {
  try {
    return encodeEnvelope(envelope)
  } catch {
    return undefined
  }
}

/** Converts an address to a gRPC target that needs no name resolution; undefined if the address is malformed. */
function toGrpcTarget (address: string): string | undefined {
  if (/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(address)) return `ipv4:${address}`
  return /^\[[\da-fA-F:.]+\]:\d{1,5}$/.test(address) ? `ipv6:${address}` : undefined
}
