import type { PeerEnvelope, PeerMessage } from '../model/peer.ts'
import { isIntersectionOf, isShape, isString } from './guards.ts'
import type { Guard } from './guards.ts'
import { decodeMessage, encodeMessage } from './message-codec.ts'

/** Maximum size of a message between members. */
export const MAX_PEER_MESSAGE_BYTES = 4_194_304

/** Maximum number of levels of an envelope; the receiver may handle its values by functions that call themselves. */
const MAX_ENVELOPE_LEVELS = 100

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
  if (hasMoreLevels(envelope, MAX_ENVELOPE_LEVELS)) throw new Error('the message is nested too deep')
  return encodeMessage(envelope)
}

function hasMoreLevels (value: unknown, levels: number): boolean {
  if (typeof value !== 'object' || value === null) return false
  return levels === 0 || Object.values(value).some((item) => hasMoreLevels(item, levels - 1))
}

/**
 * Decodes an envelope. Throws if the bytes are not an envelope; the gRPC library then sends an error to the sender.
 *
 * @example
 * decodeEnvelope(encodeEnvelope(envelope))
 */
export function decodeEnvelope (bytes: Buffer): PeerEnvelope {
  const value = decodeMessage(bytes)
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
