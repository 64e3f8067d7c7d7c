import { Client, Metadata, credentials } from '@grpc/grpc-js'
import type { ServerDuplexStream } from '@grpc/grpc-js'
import type { RelayReply, RelayRequest, RelayStream, RelayStreamEvents } from '../controller/commands/relay-message.ts'
import { CHANNEL_OPTIONS } from './member-channel-options.ts'
import { decodeRelayReply, decodeRelayRequest, encodeRelayMessage } from './relay-codec.ts'

/**
 * Method of the stream on which a member relays commands of the leader, and binds them to the incarnations that are meant. Members
 * of older releases don't have it.
 */
export const BOUND_RELAY_METHOD = {
  path: '/damaskfield.Member/BoundRelay',
  requestStream: true,
  responseStream: true,
  requestSerialize: encodeRelayMessage,
  requestDeserialize: decodeRelayRequest,
  responseSerialize: encodeRelayMessage,
  responseDeserialize: decodeRelayReply
} as const

/** Method of the stream on which leaders of older releases send commands. */
export const RELAY_METHOD = { ...BOUND_RELAY_METHOD, path: '/damaskfield.Member/Relay' } as const

/** The relay's end of a stream. */
export type RelayStreamHandler = {
  readonly handle: (request: RelayRequest) => void
  readonly close: () => void
}

/** Creates the handler of a new stream; `reply` sends a message to the leader. */
export type RelayStreamAcceptor = (reply: (message: RelayReply) => void) => RelayStreamHandler

/** Connects the stream of a leader to its handler. */
export function acceptRelayStream (stream: ServerDuplexStream<RelayRequest, RelayReply>, accept: RelayStreamAcceptor): void {
  const handler = accept((message) => { stream.write(message) })
  stream.on('data', (request: RelayRequest) => handler.handle(request))
  stream.on('error', () => handler.close())
  stream.on('cancelled', () => handler.close())
  stream.on('end', () => {
    handler.close()
    stream.end()
  })
}

/**
 * Opens a stream to the relay at an address, over a connection of its own.
 *
 * @example
 * const stream = openRelayStream('10.0.0.1:7420', { onReply, onClosed })
 * stream.send({ sequence: 1, entries: [] })
 */
export function openRelayStream (address: string, { onReply, onClosed }: RelayStreamEvents): RelayStream {
  const client = new Client(address, credentials.createInsecure(), CHANNEL_OPTIONS)
  const call = client.makeBidiStreamRequest(BOUND_RELAY_METHOD.path, BOUND_RELAY_METHOD.requestSerialize, BOUND_RELAY_METHOD.responseDeserialize, new Metadata())
  let open = true
  const end = (reason: string): void => {
    if (!open) return
    open = false
    client.close()
    onClosed(reason)
  }
  call.on('data', (reply: RelayReply) => { if (open) onReply(reply) })
  call.on('error', (error: Error) => end(error.message))
  call.on('end', () => end('ended'))
  return {
    send: (request) => { if (open) call.write(request) },
    close: () => {
      open = false
      call.cancel()
      client.close()
    }
  }
}
