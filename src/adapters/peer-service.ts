import { decode, encode } from '@msgpack/msgpack'
import type { PeerEnvelope, PeerMessage } from '../model/peer.ts'
import { isIntersectionOf, isShape, isString } from './guards.ts'
import type { Guard } from './guards.ts'

/** Maximum size of a message between members. */
export const MAX_PEER_MESSAGE_BYTES = 4_194_304

/** An idle connection is probed after this time. */
export const KEEPALIVE_INTERVAL_MS = 5_000
/** A connection is closed if a probe gets no response within this time. */
export const KEEPALIVE_TIMEOUT_MS = 2_000

const MESSAGE_TYPES: Readonly<Record<PeerMessage['type'], true>> = {
  heartbeat: true,
  'heartbeat-answer': true,
  revisions: true,
  snapshot: true,
  'stopped-asked': true,
  'stopped-answer': true,
  ownership: true,
  'grant-report-asked': true,
  'grant-report': true,
  'grant-asked': true,
  'grant-given': true,
  'grant-recalled': true,
  submit: true,
  answer: true,
  'answer-received': true,
  ask: true,
  reply: true
}

const isMessage: Guard<PeerMessage> = (value): value is PeerMessage => {
  return isShape({ type: isString })(value) && Object.hasOwn(MESSAGE_TYPES, value.type)
}

/** Checks the envelope and the type of the message. The fields of the message are not checked, because members authenticate each other. */
const isEnvelope: Guard<PeerEnvelope> = isIntersectionOf(isShape({ from: isString, incarnation: isString }), isShape({ message: isMessage }))

/**
 * Encodes an envelope as bytes. Throws if a value is nested more than 100 levels deep.
 *
 * @example
 * decodeEnvelope(encodeEnvelope(envelope))
 */
export function encodeEnvelope (envelope: PeerEnvelope): Buffer {
  // Without this option, an undefined field would be decoded as null.
  return Buffer.from(encode(envelope, { ignoreUndefined: true }))
}

/**
 * Decodes an envelope. Throws if the bytes are not an envelope; the gRPC library then sends an error to the sender.
 *
 * @example
 * decodeEnvelope(encodeEnvelope(envelope))
 */
export function decodeEnvelope (bytes: Uint8Array): PeerEnvelope {
  const value = decode(bytes)
  if (!isEnvelope(value)) throw new Error('the message is not a peer envelope')
  return value
}

/** The gRPC method that delivers a message to a member: a unary call with an empty response. The client passes encoded envelopes. */
export const DELIVER_METHOD = {
  path: '/damaskfield.Peer/Deliver',
  requestStream: false,
  responseStream: false,
  requestSerialize: (bytes: Buffer): Buffer => bytes,
  requestDeserialize: decodeEnvelope,
  responseSerialize: (): Buffer => Buffer.alloc(0),
  responseDeserialize: (): void => {}
}
