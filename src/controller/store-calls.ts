import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Compare, Put, Store, StoreResponse, StoreCall, StoreEntry, StoreFailure } from '../ports/store.ts'

type ResponseTo<Type extends StoreCall['type']> = Extract<StoreResponse, { type: Type }>

/** Calls the store and narrows the response to the type of the call. */
export async function callStore<Call extends StoreCall> (store: Store, call: Call): Promise<Result<ResponseTo<Call['type']>, StoreFailure>> {
  const result = await store.call(call)
  if (result.isErr()) return err(result.error)
  if (result.value.type !== call.type) return err({ reason: 'malformed-answer', verdict: 'may-have-applied' })
  return ok(result.value as ResponseTo<Call['type']>)
}

/** Entries of the store and the revision that they are at least as recent as. */
export type StoreSnapshot = { readonly entries: readonly StoreEntry[], readonly version: number }

/** Reads all entries below a prefix; `version` is the store's revision of the first page. */
export async function readPrefix (store: Store, prefix: string): Promise<Result<StoreSnapshot, StoreFailure>> {
  const entries: StoreEntry[] = []
  const version = await readPages(store, prefix, (page) => { entries.push(...page) })
  return version.map((known) => ({ entries, version: known }))
}

/** Reads all entries below a prefix and hands them on page by page; returns the store's revision of the first page. */
export async function readPages (store: Store, prefix: string, onPage: (entries: readonly StoreEntry[], version: number) => void): Promise<Result<number, StoreFailure>> {
  let after: string | undefined
  let version: number | undefined
  for (;;) {
    const page = await callStore(store, { type: 'read', prefix, after })
    if (page.isErr()) return err(page.error)
    const { entries, more, version: pageVersion } = page.value
    version ??= pageVersion
    onPage(entries, pageVersion)
    after = entries.at(-1)?.key
    if (!more || after === undefined) return ok(version)
  }
}

/** Reads the entry with exactly this key. */
export async function readKey (store: Store, key: string): Promise<Result<StoreEntry | undefined, StoreFailure>> {
  const page = await callStore(store, { type: 'read', prefix: key, limit: 1 })
  return page.map(({ entries }) => entries.find((entry) => entry.key === key))
}

/** Applies the writes in one transaction if all conditions hold. */
export function transact (store: Store, compares: readonly Compare[], puts: readonly Put[], deletes: readonly string[] = []): Promise<Result<ResponseTo<'transact'>, StoreFailure>> {
  return callStore(store, { type: 'transact', compares, puts, deletes })
}

/**
 * Creates the condition that a key still has the version that was read.
 *
 * @example
 * requireUnchanged('state/commit', undefined) // the key is absent
 */
export function requireUnchanged (key: string, version: number | undefined): Compare {
  return version === undefined ? { type: 'absent', key } : { type: 'version', key, version }
}
