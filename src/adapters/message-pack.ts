/**
 * The codec of an earlier release, MessagePack, as far as messages between members need it. Messages consist of what JSON has. The
 * codec of that release changes some texts, so that neither direction passes a text that it would have changed.
 */
const TEXT_ENCODER = new TextEncoder()
const TEXT_DECODER = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true })
const BYTE_ORDER_MARK = '\ufeff'
/** What the earlier release has sent in place of an unpaired surrogate, or of the same character. */
const REPLACEMENT_CHARACTER = '\ufffd'

const FLOAT_64 = 0xcb
const TEXT_32 = 0xdb
const LIST_32 = 0xdd
const MAP_32 = 0xdf

/** A message that this codec can't pass unchanged, or that isn't MessagePack. */
export class MessagePackError extends Error {}

/**
 * Encodes a message; throws if it has a text that the earlier release would change. Undefined fields are left out.
 *
 * @example
 * decodeMessagePack(encodeMessagePack({ type: 'phase', id: 'a' }))
 */
export function encodeMessagePack (message: object): Buffer {
  return Buffer.concat(encodeValue(message))
}

function encodeValue (value: unknown): readonly Uint8Array[] {
  switch (typeof value) {
    case 'undefined': return [Uint8Array.of(0xc0)]
    case 'boolean': return [Uint8Array.of(value ? 0xc3 : 0xc2)]
    case 'number': return [encodeNumber(value)]
    case 'string': return encodeText(value)
    case 'object': return value === null ? [Uint8Array.of(0xc0)] : encodeObject(value)
    default: throw new MessagePackError(`no encoding for ${typeof value}`)
  }
}

function encodeNumber (value: number): Uint8Array {
  const bytes = Buffer.alloc(9)
  bytes.writeUInt8(FLOAT_64)
  bytes.writeDoubleBE(value, 1)
  return bytes
}

function encodeText (text: string): readonly Uint8Array[] {
  if (!isUnchangedText(text)) throw new MessagePackError('a text would arrive changed')
  const bytes = TEXT_ENCODER.encode(text)
  return [encodeHead(TEXT_32, bytes.length), bytes]
}

function encodeObject (value: object): readonly Uint8Array[] {
  if (Array.isArray(value)) return [encodeHead(LIST_32, value.length), ...value.flatMap(encodeValue)]
  const fields = Object.entries(value).filter(([, content]) => content !== undefined)
  return [encodeHead(MAP_32, fields.length), ...fields.flatMap(([name, content]) => [...encodeText(name), ...encodeValue(content)])]
}

function encodeHead (type: number, length: number): Uint8Array {
  const bytes = Buffer.alloc(5)
  bytes.writeUInt8(type)
  bytes.writeUInt32BE(length, 1)
  return bytes
}

/** Decodes a message; throws if the bytes are malformed, or if its sender may have changed a text. */
export function decodeMessagePack (bytes: Buffer): unknown {
  const reader = new Reader(bytes)
  const message = reader.readValue()
  if (!reader.isAtEnd) throw new MessagePackError('more bytes than one message')
  return message
}

/** Whether bytes are an object in this codec; no message in JSON begins in this way. */
export function isMessagePack (bytes: Buffer): boolean {
  const type = bytes[0] ?? 0
  return (type >= 0x80 && type <= 0x8f) || type === 0xde || type === MAP_32
}

function isUnchangedText (text: string): boolean {
  return !text.startsWith(BYTE_ORDER_MARK) && !text.includes(REPLACEMENT_CHARACTER) && !hasUnpairedSurrogate(text)
}

function hasUnpairedSurrogate (text: string): boolean {
  return /\p{Surrogate}/u.test(text)
}

class Reader {
  private offset = 0

  constructor (private readonly bytes: Buffer) {}

  get isAtEnd (): boolean {
    return this.offset === this.bytes.length
  }

  readValue (): unknown {
    const type = this.bytes.readUInt8(this.advance(1))
    if (type <= 0x7f) return type
    if (type <= 0x8f) return this.readMap(type - 0x80)
    if (type <= 0x9f) return this.readList(type - 0x90)
    if (type <= 0xbf) return this.readText(type - 0xa0)
    if (type >= 0xe0) return type - 0x100
    return this.readLongValue(type)
  }

  private readLongValue (type: number): unknown {
    const { bytes } = this
    switch (type) {
      case 0xc0: return null
      case 0xc2: return false
      case 0xc3: return true
      case 0xca: return bytes.readFloatBE(this.advance(4))
      case FLOAT_64: return bytes.readDoubleBE(this.advance(8))
      case 0xcc: return bytes.readUInt8(this.advance(1))
      case 0xcd: return bytes.readUInt16BE(this.advance(2))
      case 0xce: return bytes.readUInt32BE(this.advance(4))
      case 0xcf: return Number(bytes.readBigUInt64BE(this.advance(8)))
      case 0xd0: return bytes.readInt8(this.advance(1))
      case 0xd1: return bytes.readInt16BE(this.advance(2))
      case 0xd2: return bytes.readInt32BE(this.advance(4))
      case 0xd3: return Number(bytes.readBigInt64BE(this.advance(8)))
      case 0xd9: return this.readText(bytes.readUInt8(this.advance(1)))
      case 0xda: return this.readText(bytes.readUInt16BE(this.advance(2)))
      case TEXT_32: return this.readText(bytes.readUInt32BE(this.advance(4)))
      case 0xdc: return this.readList(bytes.readUInt16BE(this.advance(2)))
      case LIST_32: return this.readList(bytes.readUInt32BE(this.advance(4)))
      case 0xde: return this.readMap(bytes.readUInt16BE(this.advance(2)))
      case MAP_32: return this.readMap(bytes.readUInt32BE(this.advance(4)))
      default: throw new MessagePackError(`unexpected type ${type}`)
    }
  }

  private readText (length: number): string {
    const start = this.advance(length)
    const text = TEXT_DECODER.decode(this.bytes.subarray(start, this.offset))
    if (text.includes(REPLACEMENT_CHARACTER)) throw new MessagePackError('a text may have been changed by its sender')
    return text
  }

  private readList (length: number): readonly unknown[] {
    return this.repeat(length, () => this.readValue())
  }

  private readMap (length: number): object {
    return Object.fromEntries(this.repeat(length, () => [this.readFieldName(), this.readValue()] as const))
  }

  private readFieldName (): string {
    const name = this.readValue()
    if (typeof name !== 'string') throw new MessagePackError('a field without a name')
    return name
  }

  /** Ends with an error at the end of the bytes, whatever length they announce. */
  private repeat<Item> (length: number, read: () => Item): readonly Item[] {
    const items: Item[] = []
    while (items.length < length) items.push(read())
    return items
  }

  /** Returns where the next bytes begin. */
  private advance (length: number): number {
    const start = this.offset
    this.offset += length
    if (this.offset > this.bytes.length) throw new MessagePackError('fewer bytes than announced')
    return start
  }
}
