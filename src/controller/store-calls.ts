import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Compare, Put, Store, StoreResponse, StoreCall, StoreEntry, StoreFailure } from '../ports/store.ts'

type AnswerOf<Type extends StoreCall['type']> = Extract<StoreResponse, { type: Type }>

/** Calls the store and narrows the answer to the type of the call. */
export async function callStore<Call extends StoreCall> (store: Store, call: Call): Promise<Result<AnswerOf<Call['type']>, StoreFailure>> {
  const result = await store.call(call)
  if (result.isErr()) return err(result.error)
  if (result.value.type !== call.type) return err({ reason: 'malformed-answer', verdict: 'may-have-applied' })
  return ok(result.value as AnswerOf<Call['type']>)
}

export type StoreSnapshot = { readonly entries: readonly StoreEntry[], readonly version: number }

/** All entries below a prefix; `version` is the store's revision before the first page. */
export async function readAll (store: Store, prefix: string): Promise<Result<StoreSnapshot, StoreFailure>> {
  const entries: StoreEntry[] = []
  let version: number | undefined
  for (;;) {
    const page = await callStore(store, { type: 'read', prefix, after: entries.at(-1)?.key })
    if (page.isErr()) return err(page.error)
    version ??= page.value.version
    entries.push(...page.value.entries)
    if (!page.value.more || page.value.entries.length === 0) return ok({ entries, version })
  }
}

/** The entry of exactly this key. */
export async function readKey (store: Store, key: string): Promise<Result<StoreEntry | undefined, StoreFailure>> {
  const page = await callStore(store, { type: 'read', prefix: key, limit: 1 })
  return page.map(({ entries }) => entries.find((entry) => entry.key === key))
}

export function transact (store: Store, compares: readonly Compare[], puts: readonly Put[], deletes: readonly string[] = []): Promise<Result<AnswerOf<'transact'>, StoreFailure>> {
  return callStore(store, { type: 'transact', compares, puts, deletes })
}

/**
 * The condition that a key is as it was read.
 *
 * @example
 * unchanged('state/commit', undefined) // the key is absent
 */
export function unchanged (key: string, version: number | undefined): Compare {
  return version === undefined ? { type: 'absent', key } : { type: 'version', key, version }
}
