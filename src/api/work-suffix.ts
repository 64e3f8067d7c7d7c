import { createHash, randomBytes } from 'node:crypto'
import { parseIdempotencyKeyTime } from '../util/idempotency-key.ts'

const SUFFIX_BYTES = 16

/** End of a work id; `keyIssuedAt` is the time at which its idempotency key was issued, if the key contains the time. */
export type WorkSuffix = { readonly suffix: string, readonly hasIdempotencyKey: boolean, readonly keyIssuedAt: number | undefined }

/**
 * Creates the end of a work id: a hash of the scope and the idempotency key, or a random value without a key.
 *
 * @example
 * createWorkSuffix('alarms', '01890a5d-ac96-774b-bcce-b302099a8057').hasIdempotencyKey // true
 */
export function createWorkSuffix (scope: string, key: string | undefined): WorkSuffix {
  if (key === undefined) return { suffix: randomBytes(SUFFIX_BYTES).toString('hex'), hasIdempotencyKey: false, keyIssuedAt: undefined }
  const digest = createHash('sha256').update(`${scope}\n${key}`).digest('hex')
  return { suffix: digest.slice(0, SUFFIX_BYTES * 2), hasIdempotencyKey: true, keyIssuedAt: parseIdempotencyKeyTime(key) }
}
