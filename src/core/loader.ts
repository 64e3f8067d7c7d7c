import { err, ok, type Result } from 'neverthrow'
import type { StoreResponse, StoreCall, StoreEntry, StoreFailure } from '../ports/store.ts'

/** Entries of one page; a page of job records stays below the store's answer limit. */
const PAGE_ENTRIES = 500

/** What follows a page: the next call, or the whole result. */
export type LoadStep =
  | { readonly type: 'call', readonly call: StoreCall }
  | { readonly type: 'done', readonly result: Result<readonly StoreEntry[], StoreFailure> }

/** Reads all entries below a prefix, page by page. */
export class Loader {
  private readonly entries: StoreEntry[] = []

  private constructor (private readonly prefix: string) {}

  /**
   * Prepares the reading of a prefix.
   *
   * @example
   * Loader.create('jobs/3/').first()
   */
  static create (prefix: string): Loader {
    return new Loader(prefix)
  }

  /** The call for the first page. */
  first (): StoreCall {
    return { type: 'read', prefix: this.prefix, limit: PAGE_ENTRIES }
  }

  /** Takes the answer to the last call. */
  answered (result: Result<StoreResponse, StoreFailure>): LoadStep {
    if (result.isErr()) return { type: 'done', result: err(result.error) }
    if (result.value.type !== 'read') return { type: 'done', result: err({ reason: 'malformed-answer', verdict: 'not-applied' }) }
    this.entries.push(...result.value.entries)
    const last = this.entries.at(-1)
    if (!result.value.more || last === undefined) return { type: 'done', result: ok(this.entries) }
    return { type: 'call', call: { type: 'read', prefix: this.prefix, limit: PAGE_ENTRIES, after: last.key } }
  }
}
