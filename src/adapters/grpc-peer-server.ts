import { Server, ServerCredentials, experimental } from '@grpc/grpc-js'
import type { ServerUnaryCall, sendUnaryData } from '@grpc/grpc-js'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { PeerEnvelope } from '../model/peer.ts'
import type { PeerTraffic } from './grpc-peer-transport.ts'
import { DELIVER_METHOD, KEEPALIVE_INTERVAL_MS, KEEPALIVE_TIMEOUT_MS, MAX_PEER_MESSAGE_BYTES, decodeEnvelope } from './peer-service.ts'
import type { TlsFiles } from './tls-files.ts'

/** Options of the server. */
export type GrpcPeerServerOptions = {
  /** Address to listen on, for example `127.0.0.1:0`; with port 0 the operating system chooses a free port. */
  readonly address: string
  /** Handles each message. It must return quickly, because the response is sent to the sender afterwards. */
  readonly onEnvelope: (envelope: PeerEnvelope) => void
  /** If set, only members with a certificate of a trusted issuer may connect; otherwise the server uses plain TCP. */
  readonly tls?: TlsFiles
}

/** The server could not listen on its address. */
export type ListenFailure = { readonly reason: 'listen-failed', readonly detail: string }

/**
 * Receives the messages of the other members.
 *
 * @example
 * const server = await GrpcPeerServer.listen({ address: '127.0.0.1:0', onEnvelope: (envelope) => queue.push(envelope) })
 */
export class GrpcPeerServer {
  private messages = 0
  private bytes = 0
  private boundPort = 0

  private constructor (private readonly server: Server, private readonly onEnvelope: (envelope: PeerEnvelope) => void) {
    const deliver = { ...DELIVER_METHOD, requestDeserialize: (bytes: Buffer) => this.decode(bytes) }
    server.addService({ deliver }, { deliver: (call: ServerUnaryCall<PeerEnvelope, void>, respond: sendUnaryData<void>) => this.handle(call, respond) })
  }

  static async listen (options: GrpcPeerServerOptions): Promise<Result<GrpcPeerServer, ListenFailure>> {
    const server = new Server({
      'grpc.max_receive_message_length': MAX_PEER_MESSAGE_BYTES,
      'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
      'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS
    })
    return new GrpcPeerServer(server, options.onEnvelope).bind(options.address, createCredentials(options.tls))
  }

  get port (): number {
    return this.boundPort
  }

  get receivedTraffic (): PeerTraffic {
    return { messages: this.messages, bytes: this.bytes }
  }

  /** Closes all connections. */
  close (): void {
    this.server.forceShutdown()
  }

  private bind (address: string, credentials: ServerCredentials): Promise<Result<GrpcPeerServer, ListenFailure>> {
    return new Promise((resolve) => {
      this.server.bindAsync(address, credentials, (error, port) => {
        this.boundPort = port
        resolve(error === null ? ok(this) : err({ reason: 'listen-failed', detail: error.message }))
      })
    })
  }

  private decode (bytes: Buffer): PeerEnvelope {
    this.messages += 1
    this.bytes += bytes.length
    return decodeEnvelope(bytes)
  }

  private handle (call: ServerUnaryCall<PeerEnvelope, void>, respond: sendUnaryData<void>): void {
    this.onEnvelope(call.request)
    respond(null)
  }
}

function createCredentials (tls: TlsFiles | undefined): ServerCredentials {
  if (tls === undefined) return ServerCredentials.createInsecure()
  return experimental.createCertificateProviderServerCredentials(tls, tls, true)
}
