import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { StoreFailure } from '../ports/store.ts'
import { delay } from './delay.ts'
import { waitAtMost } from './wait-at-most.ts'

/** Delay before a write whose response was lost is tried again, in milliseconds. */
const RETRY_DELAY_MS = 100
/**
 * Time without a response after which the first and the second attempt are given up, in milliseconds. The store counts as
 * unresponsive soon after the first; the second one shows whether only a response was lost.
 */
const FIRST_PATIENCE_MS = [400, 200] as const
/** The same for further ones, which are made while the store responds to other calls. */
const FURTHER_PATIENCE_MS = 1_000
/** Number of attempts that are made although the store is unresponsive. */
const MIN_ATTEMPTS = 2

type WriteResult<Value> = Result<Value, StoreFailure>

/** `attempts`: writes that have been made; none of them has a usable response. */
export type UnansweredWrite = { readonly attempts: number, readonly isStoreResponsive: boolean, readonly remainingMs: number }

/** Whether a write that may have been applied is tried again; otherwise its caller is told at once that its outcome is unknown. */
export function shouldTryAgain ({ attempts, isStoreResponsive, remainingMs }: UnansweredWrite): boolean {
  return remainingMs > 0 && (attempts < MIN_ATTEMPTS || isStoreResponsive)
}

/** `write`: makes one attempt, which may go on after the result is returned. `deadline`: on the monotonic clock, in milliseconds. */
export type PromptWriteOptions<Value> = {
  readonly write: () => Promise<WriteResult<Value>>
  readonly isStoreResponsive: () => boolean
  readonly deadline: number
}

/**
 * Makes a conditional write for a waiting caller. It is repeated while its outcome is unknown and the store responds to other
 * calls. Fails with `may-have-applied` at the deadline or as soon as the store doesn't respond, and with `not-applied` only if no
 * attempt may have been applied.
 *
 * @example
 * const result = await writePromptly({ write: () => transact(store, conditions, puts), isStoreResponsive, deadline })
 */
export async function writePromptly<Value> ({ write, isStoreResponsive, deadline }: PromptWriteOptions<Value>): Promise<WriteResult<Value>> {
  let late: Promise<WriteResult<Value>> = new Promise(() => {})
  let mayBeApplied = false
  for (let attempts = 1; ; attempts += 1) {
    const attempt = write()
    const patienceMs = FIRST_PATIENCE_MS[attempts - 1] ?? FURTHER_PATIENCE_MS
    const result = await waitAtMost(Promise.race([attempt, late]), Math.min(patienceMs, deadline - performance.now()))
    if (result !== undefined && result.isOk()) return result
    mayBeApplied ||= result === undefined || result.error.verdict === 'may-have-applied'
    if (!mayBeApplied) return result!
    if (result === undefined) late = Promise.race([late, waitForSuccess(attempt)])
    const pauseMs = result === undefined ? 0 : RETRY_DELAY_MS
    const remainingMs = deadline - performance.now() - pauseMs
    if (!shouldTryAgain({ attempts, isStoreResponsive: isStoreResponsive(), remainingMs })) return err({ reason: result?.error.reason ?? 'timeout', verdict: 'may-have-applied' })
    await delay(pauseMs)
  }
}

/** Settles only if the attempt succeeds: one that fails says nothing of the others, and the caller may have been answered. */
function waitForSuccess<Value> (attempt: Promise<WriteResult<Value>>): Promise<WriteResult<Value>> {
  return new Promise((resolve) => {
    attempt.then((result) => { if (result.isOk()) resolve(result) }, () => {})
  })
}
