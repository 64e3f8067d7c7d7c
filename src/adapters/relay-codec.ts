import type { RelayEntry, RelayReply, RelayRequest } from '../controller/commands/relay-message.ts'
import { decodeMessage, encodeMessage } from './message-codec.ts'

const RELAYED_TYPES: ReadonlySet<unknown> = new Set(['start', 'stop', 'throttle', 'list'] satisfies ReadonlyArray<RelayEntry['relayed']['type']>)
const RESPONSE_TYPES: ReadonlySet<unknown> = new Set(['accepted', 'refused', 'unanswered', 'listed'] satisfies ReadonlyArray<RelayReply['responses'][number]['response']['type']>)

type Fields = Readonly<Record<string, unknown>>

/** A message on a relay stream that does not have the expected form; gRPC ends the stream then. */
class MalformedMessageError extends Error {}

/** Encodes a message. */
export function encodeRelayMessage (message: RelayRequest | RelayReply): Buffer {
  return encodeMessage(message)
}

/**
 * Decodes a message of the leader; throws if it is malformed, so that it cannot reach the relay.
 *
 * @example
 * decodeRelayRequest(encodeRelayMessage({ sequence: 1, entries: [] }))
 */
export function decodeRelayRequest (bytes: Buffer): RelayRequest {
  const message = parse(bytes)
  requireThat(Array.isArray(message.entries) && message.entries.every(isEntry))
  return message as RelayRequest
}

/** Decodes a message of a relay; throws if it is malformed. */
export function decodeRelayReply (bytes: Buffer): RelayReply {
  const message = parse(bytes)
  requireThat(Array.isArray(message.responses) && message.responses.every(isResponse))
  return message as RelayReply
}

function parse (bytes: Buffer): Fields {
  const message = decodeMessage(bytes)
  requireThat(isObject(message) && typeof message.sequence === 'number')
  return message as Fields
}

function isEntry (entry: unknown): boolean {
  if (!isObject(entry) || typeof entry.number !== 'number' || typeof entry.validUntilMs !== 'number' || !isObject(entry.relayed)) return false
  const { type, target, command } = entry.relayed
  return RELAYED_TYPES.has(type) && isObject(target) && typeof target.id === 'string' && typeof target.address === 'string' &&
    isObject(command) && typeof command.epoch === 'number'
}

function isResponse (entry: unknown): boolean {
  if (!isObject(entry) || typeof entry.number !== 'number' || !isObject(entry.response)) return false
  const { type, listing } = entry.response
  if (type === 'listed') return isObject(listing) && typeof listing.clockMs === 'number' && Array.isArray(listing.running) && Array.isArray(listing.ended)
  return RESPONSE_TYPES.has(type)
}

function isObject (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

function requireThat (wellFormed: boolean): void {
  if (!wellFormed) throw new MalformedMessageError('malformed relay message')
}
