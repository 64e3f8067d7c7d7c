import { decode, encode } from '@msgpack/msgpack'

const BYTE_ORDER_MARK = '\ufeff'
/** What the earlier release has sent in place of an unpaired surrogate, or of the same character. */
const REPLACEMENT_CHARACTER = '\ufffd'

/** First bytes of objects with up to 15 fields, and of larger ones. */
const FIRST_SHORT_MAP = 0x80
const LAST_SHORT_MAP = 0x8f
const MAP_16 = 0xde
const MAP_32 = 0xdf

/** A message that can't be passed unchanged in MessagePack, or that isn't MessagePack. */
export class MessagePackError extends Error {}

/**
 * Encodes a message in the codec of an earlier release, whose library changes some texts; throws if it has such a text. Undefined
 * fields are left out.
 *
 * @example
 * decodeMessagePack(encodeMessagePack({ type: 'phase', id: 'a' }))
 */
export function encodeMessagePack (message: object): Buffer {
  if (!isUnchanged(message)) throw new MessagePackError('a text would arrive changed')
  return encodeUnchecked(message)
}

/** Decodes a message; throws if the bytes are malformed, or if a text may have been changed on either side. */
export function decodeMessagePack (bytes: Buffer): unknown {
  const message = decode(bytes, { maxArrayLength: bytes.length, maxMapLength: bytes.length })
  // The library drops a byte order mark at the start of a long text, which only the bytes show.
  if (!isUnchanged(message) || !encodeUnchecked(message).equals(bytes)) throw new MessagePackError('a text may have been changed')
  return message
}

/** Whether bytes are an object in this codec; no message in JSON begins in this way. */
export function isMessagePack (bytes: Buffer): boolean {
  const type = bytes[0] ?? 0
  return (type >= FIRST_SHORT_MAP && type <= LAST_SHORT_MAP) || type === MAP_16 || type === MAP_32
}

function encodeUnchecked (message: unknown): Buffer {
  return Buffer.from(encode(message, { ignoreUndefined: true }))
}

/** Whether the library passes all texts of a message, names of fields included, as they are. */
function isUnchanged (value: unknown): boolean {
  if (typeof value === 'string') return isUnchangedText(value)
  if (typeof value !== 'object' || value === null) return true
  if (Array.isArray(value)) return value.every(isUnchanged)
  return Object.entries(value).every(([name, content]) => isUnchangedText(name) && isUnchanged(content))
}

function isUnchangedText (text: string): boolean {
  return !text.startsWith(BYTE_ORDER_MARK) && !text.includes(REPLACEMENT_CHARACTER) && !/\p{Surrogate}/u.test(text)
}
