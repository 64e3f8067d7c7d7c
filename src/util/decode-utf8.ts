import { isUtf8 } from 'node:buffer'

/**
 * Decodes the bytes of a text; undefined if they are not valid UTF-8, because a decoder would replace them by other characters.
 *
 * @example
 * decodeUtf8(Buffer.from('felt')) // 'felt'
 */
export function decodeUtf8 (bytes: Buffer): string | undefined {
  return isUtf8(bytes) ? bytes.toString() : undefined
}
