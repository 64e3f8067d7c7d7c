import { Client, Metadata, Server, ServerCredentials, credentials, status } from '@grpc/grpc-js'
import type { ServerDuplexStream, ServerUnaryCall, ServiceError, sendUnaryData } from '@grpc/grpc-js'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberResponse, MemberCall, MemberCallFailure } from '../controller/member-call.ts'
import type { RelayReply, RelayRequest } from '../controller/commands/relay-message.ts'
import { assertNever } from '../util/assert-never.ts'
import { BOUND_RELAY_METHOD, RELAY_METHOD, acceptRelayStream } from './grpc-relay-stream.ts'
import type { RelayStreamAcceptor } from './grpc-relay-stream.ts'
import { CHANNEL_OPTIONS } from './member-channel-options.ts'
import { decodeMemberMessage, encodeMemberMessage } from './member-message.ts'
import type { MemberCodec, MemberMessage } from './member-message.ts'

const MAX_MESSAGE_BYTES = 4_194_304
/** What gRPC says of a request that the member can't read, or the caller can't encode. */
const UNREADABLE_DETAILS = /^(Error deserializing request|Request message serialization failure)/

const CALL_METHOD = {
  path: '/damaskfield.Member/Call',
  requestStream: false,
  responseStream: false,
  requestSerialize: (call: MemberMessage<MemberCall>): Buffer => encodeMemberMessage(call),
  requestDeserialize: (bytes: Buffer): MemberMessage<MemberCall> => decodeMemberMessage(bytes),
  responseSerialize: (response: MemberMessage<MemberResponse>): Buffer => encodeMemberMessage(response),
  responseDeserialize: (bytes: Buffer): MemberMessage<MemberResponse> => decodeMemberMessage(bytes)
} as const

/** Options of the server. */
export type MemberCallServerOptions = {
  /** Address to listen on, for example `127.0.0.1:0`; with port 0 the operating system chooses a free port. */
  readonly address: string
  /** Handles a call and returns the response. `isAwaited`: whether the caller still waits for it. */
  readonly onCall: (call: MemberCall, isAwaited: () => boolean) => Promise<MemberResponse>
  /** Accepts a stream on which the leader sends commands for targets; without it, such streams are refused. */
  readonly onRelayStream?: RelayStreamAcceptor
  /** Called with the reason why a call could not be read. */
  readonly onUnreadableCall?: (reason: string) => void
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
  static listen ({ address, onCall, onRelayStream, onUnreadableCall }: MemberCallServerOptions): Promise<MemberCallServer> {
    const server = new Server({ 'grpc.max_receive_message_length': MAX_MESSAGE_BYTES })
    server.addService({ call: { ...CALL_METHOD, requestDeserialize: createDeserializer(onUnreadableCall) } }, {
      call: (received: ServerUnaryCall<MemberMessage<MemberCall>, MemberMessage<MemberResponse>>, respond: sendUnaryData<MemberMessage<MemberResponse>>) => {
        const { codec, content } = received.request
        onCall(content, () => !received.cancelled).then((response) => respond(null, { codec, content: response }), (error: unknown) => respond({ code: status.INTERNAL, details: String(error) }))
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

/** Tells the reason why a call can't be read; gRPC then sends an error to the caller. */
function createDeserializer (onUnreadableCall: MemberCallServerOptions['onUnreadableCall']): typeof CALL_METHOD.requestDeserialize {
  return (bytes) => {
    try {
      return CALL_METHOD.requestDeserialize(bytes)
    } catch (error) {
      onUnreadableCall?.(String(error))
      throw error
    }
  }
}

/** If a connection has had no response for this time, the next call that times out closes it. */
const UNRESPONSIVE_AFTER_MS = 1_000

/** `rejected`: the types of calls of which a rejection has been told. */
type Connection = { readonly client: Client, readonly rejected: Set<MemberCall['type']>, codec: MemberCodec, lastResponseAtMs: number }

/** What has become of one attempt of a call. */
type Attempt = { readonly response?: MemberResponse, readonly error: ServiceError | null, readonly outcome: 'answered' | MemberCallFailure['reason'] }

/** A call that a member has rejected, and why. */
export type RejectedCall = { readonly address: string, readonly type: MemberCall['type'], readonly reason: string }

export type MemberCallClientOptions = {
  /** Called when a member rejects a call, once for each type of calls on a connection. */
  readonly onRejected?: (rejected: RejectedCall) => void
}

/**
 * Calls other members by address. A connection may become unresponsive while new connections work. It is therefore closed
 * when a call times out and no recent call had a response. The connection to a busy member that responds to some calls
 * stays open. A member that can't read a call gets it once more in the other codec.
 */
export class MemberCallClient {
  private readonly connections = new Map<string, Connection>()

  private constructor (private readonly options: MemberCallClientOptions) {}

  /**
   * Creates a client; it connects to a member at the first call.
   *
   * @example
   * const response = await MemberCallClient.create().call('10.0.0.1:7420', { type: 'phase', id }, 300)
   */
  static create (options: MemberCallClientOptions = {}): MemberCallClient {
    return new MemberCallClient(options)
  }

  async call (address: string, call: MemberCall, timeoutMs: number): Promise<Result<MemberResponse, MemberCallFailure>> {
    const connection = this.getConnection(address)
    const deadline = Date.now() + timeoutMs
    const { response, error, outcome } = await this.sendInEitherCodec(connection, call, deadline)
    this.handleOutcome(address, connection, outcome)
    if (outcome === 'answered') return ok(response!)
    if (outcome === 'rejected') this.reportRejection(connection, { address, type: call.type, reason: error?.details ?? 'no response' })
    return err({ reason: outcome })
  }

  /** Uses the codec of the last call that the member has read, and the other one if it can't read this call. */
  private async sendInEitherCodec (connection: Connection, call: MemberCall, deadline: number): Promise<Attempt> {
    const { codec } = connection
    const attempt = await this.send(connection, { codec, content: call }, deadline)
    if (!isUnreadable(attempt.error)) return attempt
    const otherCodec = codec === 'json' ? 'message-pack' : 'json'
    const secondAttempt = await this.send(connection, { codec: otherCodec, content: call }, deadline)
    if (secondAttempt.outcome === 'answered') connection.codec = otherCodec
    return secondAttempt
  }

  private send ({ client }: Connection, call: MemberMessage<MemberCall>, deadline: number): Promise<Attempt> {
    return new Promise((resolve) => {
      client.makeUnaryRequest(CALL_METHOD.path, CALL_METHOD.requestSerialize, CALL_METHOD.responseDeserialize, call, new Metadata(), { deadline }, (error, response) => {
        if (error === null && response !== undefined) resolve({ response: response.content, error, outcome: 'answered' })
        else resolve({ error, outcome: toFailureReason(error) })
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
    const connection: Connection = { client: new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS), rejected: new Set(), codec: 'json', lastResponseAtMs: performance.now() }
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

  private reportRejection ({ rejected }: Connection, call: RejectedCall): void {
    if (rejected.has(call.type)) return
    rejected.add(call.type)
    this.options.onRejected?.(call)
  }

  private closeConnection (address: string, connection: Connection): void {
    if (this.connections.get(address) === connection) this.connections.delete(address)
    connection.client.close()
  }
}

/** Whether a call was not handled, because the member couldn't read it or its codec can't pass it unchanged. */
function isUnreadable (error: ServiceError | null): boolean {
  return error?.code === status.INTERNAL && UNREADABLE_DETAILS.test(error.details)
}

function toFailureReason (error: ServiceError | null): MemberCallFailure['reason'] {
  switch (error?.code) {
    case status.DEADLINE_EXCEEDED: return 'timeout'
    case status.UNAVAILABLE:
    case status.CANCELLED: return 'unavailable'
    default: return 'rejected'
  }
}
