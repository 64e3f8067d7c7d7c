import type { Result } from 'neverthrow'
import type { WriteVerdict } from '../model/verdict.ts'

/** Id of a lease in the store. */
export type LeaseId = string

/** A key with its value and the store revision of its last write. */
export type StoreEntry = {
  readonly key: string
  readonly value: string
  readonly version: number
}

/** A condition of a transaction. */
export type Compare =
  | { readonly type: 'absent', readonly key: string }
  | { readonly type: 'version', readonly key: string, readonly version: number }
  | { readonly type: 'value', readonly key: string, readonly value: string }

/** A write of a transaction; an entry with a lease is deleted when the lease ends. */
export type Put = { readonly key: string, readonly value: string, readonly lease?: LeaseId }

/** A change reported by a watch. */
export type StoreChange =
  | { readonly type: 'put', readonly entry: StoreEntry }
  | { readonly type: 'deleted', readonly key: string, readonly version: number }

/**
 * One call to the platform's key-value service. Reads are linearizable.
 *
 * read: entries whose key starts with `prefix`, in key order, at most `limit`, after the key `after`.
 * transact: applies `puts` and `deletes` together if every compare holds.
 * watch: waits up to `waitMs` for changes with a version above `afterVersion` below any of the prefixes.
 */
export type StoreCall =
  | { readonly type: 'read', readonly prefix: string, readonly after?: string, readonly limit?: number }
  | { readonly type: 'transact', readonly compares: readonly Compare[], readonly puts: readonly Put[], readonly deletes: readonly string[] }
  | { readonly type: 'grant-lease', readonly ttlMs: number }
  | { readonly type: 'renew-lease', readonly lease: LeaseId }
  | { readonly type: 'revoke-lease', readonly lease: LeaseId }
  | { readonly type: 'watch', readonly prefixes: readonly string[], readonly afterVersion: number, readonly waitMs: number }

/** Response to the call of the same type; `version` is the store's newest revision at the time of the response. */
export type StoreResponse =
  | { readonly type: 'read', readonly entries: readonly StoreEntry[], readonly more: boolean, readonly version: number }
  /** If the transaction was not committed, `current` holds the current entries of the compared keys. */
  | { readonly type: 'transact', readonly committed: boolean, readonly current: readonly StoreEntry[], readonly version: number }
  | { readonly type: 'grant-lease', readonly lease: LeaseId }
  /** `alive` is false if the lease had already ended. */
  | { readonly type: 'renew-lease', readonly alive: boolean }
  | { readonly type: 'revoke-lease' }
  /** `compacted` means that changes are missing and the prefixes must be read again. */
  | { readonly type: 'watch', readonly changes: readonly StoreChange[], readonly version: number, readonly compacted: boolean }

/** Why a store call has no usable response. */
export type StoreFailureReason = 'timeout' | 'unavailable' | 'overloaded' | 'too-large' | 'malformed-answer'

/** A call without a usable response; the verdict `may-have-applied` occurs only for `transact`. */
export type StoreFailure = {
  readonly reason: StoreFailureReason
  readonly verdict: WriteVerdict
}

/** Limits of one call, beside those of the client. `mayBeSent`: asked just before the call is sent; by default it may be. */
export type StoreCallLimits = { readonly timeoutMs: number, readonly mayBeSent?: () => boolean }

/** The platform's key-value service. */
export type Store = {
  readonly call: (call: StoreCall, limits?: StoreCallLimits) => Promise<Result<StoreResponse, StoreFailure>>
}

/** A store that knows whether it serves this process at present. */
export type ObservedStore = Store & { readonly isResponsive: boolean }

/** Maximum size of a record of the members' own, in bytes; it leaves a margin to what the store accepts. */
export const STORE_VALUE_LIMIT_BYTES = 1_000_000
/** Maximum size of a value that the store accepts, in bytes. */
export const MAX_STORE_VALUE_BYTES = 1_048_576
