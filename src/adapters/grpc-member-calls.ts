import { Client, Metadata, Server, ServerCredentials, credentials, status } from '@grpc/grpc-js'
import type { ChannelOptions, ServerUnaryCall, ServiceError, sendUnaryData } from '@grpc/grpc-js'
import { decode, encode } from '@msgpack/msgpack'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberResponse, MemberCall, MemberCallFailure } from '../controller/member-call.ts'
import { assertNever } from '../util/assert-never.ts'

const MESSAGE_LIMIT_BYTES = 4_194_304

const ANSWER = {
  path: '/damaskfield.Member/Call',
  requestStream: false,
  responseStream: false,
  requestSerialize: (call: MemberCall): Buffer => encodeMessage(call),
  requestDeserialize: (bytes: Buffer): MemberCall => decode(bytes) as MemberCall,
  responseSerialize: (answer: MemberResponse): Buffer => encodeMessage(answer),
  responseDeserialize: (bytes: Buffer): MemberResponse => decode(bytes) as MemberResponse
} as const

const CHANNEL_OPTIONS: ChannelOptions = {
  // Channels of one address would share the connection that has become silent.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 1_000
}

function encodeMessage (message: MemberCall | MemberResponse): Buffer {
  // Without this option a field that is undefined would arrive as null.
  return Buffer.from(encode(message, { ignoreUndefined: true }))
}

export type MemberCallServerOptions = {
  /** Address to listen on, `127.0.0.1:0`; port 0 lets the system choose. */
  readonly address: string
  readonly onCall: (call: MemberCall) => Promise<MemberResponse>
}

/** Takes calls of other members. */
export class MemberCallServer {
  private constructor (private readonly server: Server, readonly port: number) {}

  /**
   * @example
   * const server = await MemberCallServer.listen({ address: '127.0.0.1:0', onCall: async () => ({ type: 'noted' }) })
   */
  static listen ({ address, onCall }: MemberCallServerOptions): Promise<MemberCallServer> {
    const server = new Server({ 'grpc.max_receive_message_length': MESSAGE_LIMIT_BYTES })
    server.addService({ call: ANSWER }, {
      call: (call: ServerUnaryCall<MemberCall, MemberResponse>, respond: sendUnaryData<MemberResponse>) => {
        onCall(call.request).then((answer) => respond(null, answer), (error: unknown) => respond({ code: status.INTERNAL, details: String(error) }))
      }
    })
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

/** A connection without an answer for this time is given up with the next timeout, in milliseconds. */
const SILENT_AFTER_MS = 1_000

type Connection = { readonly client: Client, answeredAt: number }

/**
 * Calls other members by address. A connection may become silent while new ones work, so it is given up when calls time
 * out and none was answered lately; a busy member that answers some calls keeps its connection.
 */
export class MemberCallClient {
  private readonly connections = new Map<string, Connection>()

  private constructor () {}

  /**
   * @example
   * const answer = await MemberCallClient.create().call('10.0.0.1:7420', { type: 'phase', id }, 300)
   */
  static create (): MemberCallClient {
    return new MemberCallClient()
  }

  call (address: string, call: MemberCall, timeoutMs: number): Promise<Result<MemberResponse, MemberCallFailure>> {
    const connection = this.connectionTo(address)
    return new Promise((resolve) => {
      const deadline = Date.now() + timeoutMs
      connection.client.makeUnaryRequest(ANSWER.path, ANSWER.requestSerialize, ANSWER.responseDeserialize, call, new Metadata(), { deadline }, (error, answer) => {
        const reason = error === null && answer !== undefined ? 'answered' : reasonOf(error)
        this.note(address, connection, reason)
        resolve(reason === 'answered' ? ok(answer!) : err({ reason }))
      })
    })
  }

  close (): void {
    for (const { client } of this.connections.values()) client.close()
    this.connections.clear()
  }

  private connectionTo (address: string): Connection {
    const known = this.connections.get(address)
    if (known !== undefined) return known
    const connection = { client: new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS), answeredAt: performance.now() }
    this.connections.set(address, connection)
    return connection
  }

  private note (address: string, connection: Connection, outcome: 'answered' | MemberCallFailure['reason']): void {
    switch (outcome) {
      case 'answered':
      case 'rejected':
        connection.answeredAt = performance.now()
        return
      case 'timeout':
        if (performance.now() - connection.answeredAt > SILENT_AFTER_MS) this.drop(address, connection)
        return
      case 'unavailable': return this.drop(address, connection)
      default: assertNever(outcome)
    }
  }

  private drop (address: string, connection: Connection): void {
    if (this.connections.get(address) === connection) this.connections.delete(address)
    connection.client.close()
  }
}

function reasonOf (error: ServiceError | null): MemberCallFailure['reason'] {
  switch (error?.code) {
    case status.DEADLINE_EXCEEDED: return 'timeout'
    case status.UNAVAILABLE:
    case status.CANCELLED: return 'unavailable'
    default: return 'rejected'
  }
}
