import { createHash, randomBytes } from 'node:crypto'
import { idempotencyKeyTime } from '../util/idempotency-key.ts'

const SUFFIX_BYTES = 16

/** End of a work id, and when the key that it comes from was issued. */
export type WorkSuffix = { readonly suffix: string, readonly hasIdempotencyKey: boolean, readonly keyIssuedAt: number | undefined }

/**
 * The end of a work id: a hash of the idempotency key within its scope, or random.
 *
 * @example
 * workSuffix('alarms', '01890a5d-ac96-774b-bcce-b302099a8057').hasIdempotencyKey // true
 */
export function workSuffix (scope: string, key: string | undefined): WorkSuffix {
  if (key === undefined) return { suffix: randomBytes(SUFFIX_BYTES).toString('hex'), hasIdempotencyKey: false, keyIssuedAt: undefined }
  const digest = createHash('sha256').update(`${scope}\n${key}`).digest('hex')
  return { suffix: digest.slice(0, SUFFIX_BYTES * 2), hasIdempotencyKey: true, keyIssuedAt: idempotencyKeyTime(key) }
}
