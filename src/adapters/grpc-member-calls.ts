import { Client, Metadata, Server, ServerCredentials, credentials, status } from '@grpc/grpc-js'
import type { ChannelOptions, ServerUnaryCall, ServiceError, sendUnaryData } from '@grpc/grpc-js'
import { decode, encode } from '@msgpack/msgpack'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { MemberAnswer, MemberCall, MemberCallFailure } from '../controller/member-call.ts'

const MESSAGE_LIMIT_BYTES = 4_194_304

const ANSWER = {
  path: '/damaskfield.Member/Call',
  requestStream: false,
  responseStream: false,
  requestSerialize: (call: MemberCall): Buffer => encodeMessage(call),
  requestDeserialize: (bytes: Buffer): MemberCall => decode(bytes) as MemberCall,
  responseSerialize: (answer: MemberAnswer): Buffer => encodeMessage(answer),
  responseDeserialize: (bytes: Buffer): MemberAnswer => decode(bytes) as MemberAnswer
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

function encodeMessage (message: MemberCall | MemberAnswer): Buffer {
  // Without this option a field that is undefined would arrive as null.
  return Buffer.from(encode(message, { ignoreUndefined: true }))
}

export type MemberCallServerOptions = {
  /** Address to listen on, `127.0.0.1:0`; port 0 lets the system choose. */
  readonly address: string
  readonly onCall: (call: MemberCall) => Promise<MemberAnswer>
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
      call: (call: ServerUnaryCall<MemberCall, MemberAnswer>, respond: sendUnaryData<MemberAnswer>) => {
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

/** Calls other members by address. A call that times out gives up its connection, because it may have become silent. */
export class MemberCallClient {
  private readonly clients = new Map<string, Client>()

  private constructor () {}

  /**
   * @example
   * const answer = await MemberCallClient.create().call('10.0.0.1:7420', { type: 'phase', id }, 300)
   */
  static create (): MemberCallClient {
    return new MemberCallClient()
  }

  call (address: string, call: MemberCall, timeoutMs: number): Promise<Result<MemberAnswer, MemberCallFailure>> {
    const client = this.clientOf(address)
    return new Promise((resolve) => {
      const deadline = Date.now() + timeoutMs
      client.makeUnaryRequest(ANSWER.path, ANSWER.requestSerialize, ANSWER.responseDeserialize, call, new Metadata(), { deadline }, (error, answer) => {
        if (error === null && answer !== undefined) return resolve(ok(answer))
        const reason = reasonOf(error)
        if (reason !== 'rejected') this.drop(address, client)
        resolve(err({ reason }))
      })
    })
  }

  close (): void {
    for (const client of this.clients.values()) client.close()
    this.clients.clear()
  }

  private clientOf (address: string): Client {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const client = new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS)
    this.clients.set(address, client)
    return client
  }

  private drop (address: string, client: Client): void {
    if (this.clients.get(address) === client) this.clients.delete(address)
    client.close()
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
