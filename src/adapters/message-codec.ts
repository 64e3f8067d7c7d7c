/**
 * Encodes a message between members as JSON. Every text arrives as it was: JSON writes unpaired surrogates as escapes, and keeps
 * a byte order mark, which decoders of UTF-8 may drop. Undefined fields are left out.
 *
 * @example
 * decodeMessage(encodeMessage({ type: 'phase', id: 'a' }))
 */
export function encodeMessage (message: object): Buffer {
  return Buffer.from(JSON.stringify(message))
}

/** Decodes a message; throws if the bytes are not JSON, and gRPC then sends an error to the sender. */
export function decodeMessage (bytes: Buffer): unknown {
  return JSON.parse(bytes.toString())
}
