const UUID_V7_PATTERN = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i
const ULID_PATTERN = /^[0-7][0-9A-HJKMNP-TV-Z]{25}$/i
const ULID_ALPHABET = '0123456789ABCDEFGHJKMNPQRSTVWXYZ'
const ULID_TIME_LENGTH = 10

/** Pattern of idempotency keys: 1 to 128 printable ASCII characters without spaces. */
export const IDEMPOTENCY_KEY_PATTERN = /^[\x21-\x7e]{1,128}$/

/**
 * Returns the time at which an idempotency key was issued, in milliseconds since 1970, if it is a UUIDv7 (RFC 9562) or a
 * ULID; otherwise undefined.
 *
 * @example
 * parseIdempotencyKeyTime('017f22e2-79b0-7cc3-98c4-dc0c0c07398f') // 1645557742000
 */
export function parseIdempotencyKeyTime (key: string): number | undefined {
  const uuid = UUID_V7_PATTERN.exec(key)
  if (uuid !== null) return parseInt(`${uuid[1]}${uuid[2]}`, 16)
  if (!ULID_PATTERN.test(key)) return undefined
  return [...key.slice(0, ULID_TIME_LENGTH).toUpperCase()].reduce((time, letter) => time * 32 + ULID_ALPHABET.indexOf(letter), 0)
}
