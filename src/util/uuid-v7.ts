import { randomBytes } from 'node:crypto'

/**
 * Creates a UUID of version 7 (RFC 9562): a 48-bit time in milliseconds followed by random bits. If it is used as an
 * idempotency key, its time shows whether it was issued after a takeover.
 *
 * @example
 * createUuidV7(Date.now())
 */
export function createUuidV7 (nowMs: number, random: Uint8Array = randomBytes(10)): string {
  const bytes = Buffer.alloc(16)
  bytes.writeUIntBE(nowMs, 0, 6)
  bytes.set(random.subarray(0, 10), 6)
  bytes[6] = (bytes[6]! & 0x0f) | 0x70
  bytes[8] = (bytes[8]! & 0x3f) | 0x80
  const hex = bytes.toString('hex')
  return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join('-')
}
