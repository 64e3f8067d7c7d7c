import { createHash, randomBytes, scryptSync, timingSafeEqual } from 'node:crypto'
import type { Key } from '../model/configuration.ts'
import type { KeyId, TeamName } from '../model/ids.ts'

/** Size of the random secret of a team key. */
export const SECRET_BYTES = 32
const SALT_BYTES = 16
const HASH_BYTES = 32
const ID_BYTES = 6

/**
 * Cost parameters of scrypt. The secret has 256 random bits, so it cannot be guessed at any cost. A low cost (about 10 ms
 * and 4 MiB) limits the load that a flood of wrong keys puts on an entry host.
 */
export const SCRYPT_COST = { N: 4096, r: 8, p: 1 } as const

const KEY_PATTERN = /^dk_([a-z0-9]{4,32})_([A-Za-z0-9_-]{43})$/
const KEY_IN_TEXT_PATTERN = /dk_([a-z0-9]{4,32})_[A-Za-z0-9_-]{43}/g

/** A key that a caller has sent. It must never be logged. */
export type PresentedKey = { readonly id: KeyId, readonly secret: string }

/**
 * Creates a team key. `text` is shown to the operator once; only `key`, which does not contain the secret, is stored.
 *
 * @example
 * const { text, key } = createTeamKey('stock-desk')
 */
export function createTeamKey (team: TeamName): { readonly text: string, readonly key: Key } {
  const id = randomBytes(ID_BYTES).toString('hex')
  const secret = randomBytes(SECRET_BYTES).toString('base64url')
  const salt = randomBytes(SALT_BYTES).toString('hex')
  return { text: `dk_${id}_${secret}`, key: { id, team, salt, hash: hashSecret(secret, salt).toString('hex') } }
}

/**
 * Parses the text of a team key; returns undefined if it is malformed.
 *
 * @example
 * parseTeamKey('dk_7f3a_…')?.id // '7f3a'
 */
export function parseTeamKey (text: string): PresentedKey | undefined {
  const match = KEY_PATTERN.exec(text)
  return match === null ? undefined : { id: match[1]!, secret: match[2]! }
}

/**
 * Checks in constant time whether the secret belongs to the stored key. It blocks for one scrypt computation (about
 * 10 ms); use `KeyVerifier` where the event loop must not be blocked.
 *
 * @example
 * verifySecret(presented.secret, key)
 */
export function verifySecret (secret: string, key: Key): boolean {
  return equalBytes(hashSecret(secret, key.salt), Buffer.from(key.hash, 'hex'))
}

/**
 * Checks whether two byte arrays are equal, in a time that depends only on their lengths.
 *
 * @example
 * equalBytes(computed, stored)
 */
export function equalBytes (left: Uint8Array, right: Uint8Array): boolean {
  return left.length === right.length && timingSafeEqual(left, right)
}

/**
 * Computes the SHA-256 hash of an operator key, the value of the setting `operatorKeyHash`.
 *
 * @example
 * hashOperatorKey('…') // 64 hexadecimal digits
 */
export function hashOperatorKey (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}

/**
 * Checks in constant time whether a presented operator key has the hash from the settings.
 *
 * @example
 * isOperatorKey(presented, settings.operatorKeyHash)
 */
export function isOperatorKey (presented: string, hash: string): boolean {
  return equalBytes(Buffer.from(hashOperatorKey(presented), 'hex'), Buffer.from(hash, 'hex'))
}

/**
 * Replaces the secret of each team key in a text, for log lines and error messages.
 *
 * @example
 * redactKeys('Bearer dk_7f3a_…') // 'Bearer dk_7f3a_[secret]'
 */
export function redactKeys (text: string): string {
  return text.replace(KEY_IN_TEXT_PATTERN, 'dk_$1_[secret]')
}

function hashSecret (secret: string, salt: string): Buffer {
  return scryptSync(secret, Buffer.from(salt, 'hex'), HASH_BYTES, SCRYPT_COST)
}
