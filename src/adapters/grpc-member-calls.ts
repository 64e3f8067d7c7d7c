import { Client, Metadata, Server, ServerCredentials, credentials, status } from '@grpc/grpc-js'
import type { ServerDuplexStream, ServerUnaryCall, ServiceError, sendUnaryData } from '@grpc/grpc-js'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberResponse, MemberCall, MemberCallFailure } from '../controller/member-call.ts'
import type { RelayReply, RelayRequest } from '../controller/relay-message.ts'
import { assertNever } from '../util/assert-never.ts'
import { BOUND_RELAY_METHOD, RELAY_METHOD, acceptRelayStream } from './grpc-relay-stream.ts'
import type { RelayStreamAcceptor } from './grpc-relay-stream.ts'
import { CHANNEL_OPTIONS } from './member-channel-options.ts'
import { decodeMessage, encodeMessage } from './message-codec.ts'

const MAX_MESSAGE_BYTES = 4_194_304

const CALL_METHOD = {
  path: '/damaskfield.Member/Call',
  requestStream: false,
  responseStream: false,
  requestSerialize: (call: MemberCall): Buffer => encodeMessage(call),
  requestDeserialize: (bytes: Buffer): MemberCall => decodeMessage(bytes) as MemberCall,
  responseSerialize: (response: MemberResponse): Buffer => encodeMessage(response),
  responseDeserialize: (bytes: Buffer): MemberResponse => decodeMessage(bytes) as MemberResponse
} as const

/** Options of the server. */
export type MemberCallServerOptions = {
  /** Address to listen on, for example `127.0.0.1:0`; with port 0 the operating system chooses a free port. */
  readonly address: string
  /** Handles a call and returns the response. */
  readonly onCall: (call: MemberCall) => Promise<MemberResponse>
  /** Accepts a stream on which the leader sends commands for targets; without it, such streams are refused. */
  readonly onRelayStream?: RelayStreamAcceptor
}

/** Handles calls of other members. */
export class MemberCallServer {
  private constructor (private readonly server: Server, readonly port: number) {}

  /**
   * Starts a server on the address; rejects if it cannot listen.
   *
   * @example
   * const server = await MemberCallServer.listen({ address: '127.0.0.1:0', onCall: async () => ({ type: 'noted' }) })
   */
  static listen ({ address, onCall, onRelayStream }: MemberCallServerOptions): Promise<MemberCallServer> {
    const server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES })
    server.addService({ call: CALL_METHOD }, {
      call: (call: ServerUnaryCall<MemberCall, MemberResponse>, respond: sendUnaryData<MemberResponse>) => {
        onCall(call.request).then((response) => respond(null, response), (error: unknown) => respond({ code: status.INTERNAL, details: String(error) }))
      }
    })
    if (onRelayStream !== undefined) {
      const accept = (stream: ServerDuplexStream<RelayRequest, RelayReply>): void => acceptRelayStream(stream, onRelayStream)
      server.addService({ boundRelay: BOUND_RELAY_METHOD, relay: RELAY_METHOD }, { boundRelay: accept, relay: accept })
    }
    return new Promise((resolve, reject) => {
      server.bindAsync(address, ServerCredentials.createInsecure(), (error, port) => {
        if (error === null) resolve(new MemberCallServer(server, port))
        else reject(error)
      })
    })
  }

  close (): void {
    this.server.forceShutdown()
  }
}

/** If a connection has had no response for this time, the next call that times out closes it. */
const UNRESPONSIVE_AFTER_MS = 1_000

type Connection = { readonly client: Client, lastResponseAtMs: number }

/**
 * Calls other members by address. A connection may become unresponsive while new connections work. It is therefore closed
 * when a call times out and no recent call had a response. The connection to a busy member that responds to some calls
 * stays open.
 */
export class MemberCallClient {
  private readonly connections = new Map<string, Connection>()

  private constructor () {}

  /**
   * Creates a client; it connects to a member at the first call.
   *
   * @example
   * const response = await MemberCallClient.create().call('10.0.0.1:7420', { type: 'phase', id }, 300)
   */
  static create (): MemberCallClient {
    return new MemberCallClient()
  }

  call (address: string, call: MemberCall, timeoutMs: number): Promise<Result<MemberResponse, MemberCallFailure>> {
    const connection = this.getConnection(address)
    return new Promise((resolve) => {
      const deadline = Date.now() + timeoutMs
      connection.client.makeUnaryRequest(CALL_METHOD.path, CALL_METHOD.requestSerialize, CALL_METHOD.responseDeserialize, call, new Metadata(), { deadline }, (error, response) => {
        const outcome = error === null && response !== undefined ? 'answered' : toFailureReason(error)
        this.handleOutcome(address, connection, outcome)
        resolve(outcome === 'answered' ? ok(response!) : err({ reason: outcome }))
      })
    })
  }

  close (): void {
    for (const { client } of this.connections.values()) client.close()
    this.connections.clear()
  }

  private getConnection (address: string): Connection {
    const existing = this.connections.get(address)
    if (existing !== undefined) return existing
    const connection = { client: new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS), lastResponseAtMs: performance.now() }
    this.connections.set(address, connection)
    return connection
  }

  private handleOutcome (address: string, connection: Connection, outcome: 'answered' | MemberCallFailure['reason']): void {
    switch (outcome) {
      case 'answered':
      case 'rejected':
        connection.lastResponseAtMs = performance.now()
        return
      case 'timeout':
        if (performance.now() - connection.lastResponseAtMs > UNRESPONSIVE_AFTER_MS) this.closeConnection(address, connection)
        return
      case 'unavailable': return this.closeConnection(address, connection)
      default: assertNever(outcome)
    }
  }

  private closeConnection (address: string, connection: Connection): void {
    if (this.connections.get(address) === connection) this.connections.delete(address)
    connection.client.close()
  }
}

function toFailureReason (error: ServiceError | null): MemberCallFailure['reason'] {
  switch (error?.code) {
    case status.DEADLINE_EXCEEDED: return 'timeout'
    case status.UNAVAILABLE:
    case status.CANCELLED: return 'unavailable'
    default: return 'rejected'
  }
}
