import { assertNever } from '../util/assert-never.ts'
import { decodeMessage, encodeMessage } from './message-codec.ts'
import { decodeMessagePack, encodeMessagePack, isMessagePack } from './message-pack.ts'

/** `message-pack`: that of members of an earlier release, which understand nothing else. */
export type MemberCodec = 'json' | 'message-pack'

/** A call or response between members, and how it is encoded. */
export type MemberMessage<Content extends object> = { readonly codec: MemberCodec, readonly content: Content }

/**
 * Encodes a message; throws if its codec can't pass a text unchanged.
 *
 * @example
 * encodeMemberMessage({ codec: 'json', content: { type: 'phase', id: 'a' } })
 */
export function encodeMemberMessage ({ codec, content }: MemberMessage<object>): Buffer {
  switch (codec) {
    case 'json': return encodeMessage(content)
    case 'message-pack': return encodeMessagePack(content)
    default: return assertNever(codec)
  }
}

/** Decodes a message in any codec; throws if the bytes are malformed. */
export function decodeMemberMessage<Content extends object> (bytes: Buffer): MemberMessage<Content> {
  if (isMessagePack(bytes)) return { codec: 'message-pack', content: decodeMessagePack(bytes) as Content }
  return { codec: 'json', content: decodeMessage(bytes) as Content }
}
