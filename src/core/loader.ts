import { err, ok, type Result } from 'neverthrow'
import type { StoreResponse, StoreCall, StoreEntry, StoreFailure } from '../ports/store.ts'

/** A page of this many job records stays below the size limit of the store's responses. */
const MAX_PAGE_ENTRIES = 500

/** What follows a page: the call for the next page, or the result with all entries. */
export type LoadStep =
  | { readonly type: 'call', readonly call: StoreCall }
  | { readonly type: 'done', readonly result: Result<readonly StoreEntry[], StoreFailure> }

/** Reads all entries below a prefix, page by page. */
export class Loader {
  private readonly entries: StoreEntry[] = []

  private constructor (private readonly prefix: string) {}

  /**
   * Creates a loader for the entries below a prefix.
   *
   * @example
   * Loader.create('jobs/3/').createFirstCall()
   */
  static create (prefix: string): Loader {
    return new Loader(prefix)
  }

  /** Creates the call for the first page. */
  createFirstCall (): StoreCall {
    return { type: 'read', prefix: this.prefix, limit: MAX_PAGE_ENTRIES }
  }

  /** Handles the response to the last call. */
  handleResponse (result: Result<StoreResponse, StoreFailure>): LoadStep {
    if (result.isErr()) return { type: 'done', result: err(result.error) }
    if (result.value.type !== 'read') return { type: 'done', result: err({ reason: 'malformed-answer', verdict: 'not-applied' }) }
    this.entries.push(...result.value.entries)
    const last = this.entries.at(-1)
    if (!result.value.more || last === undefined) return { type: 'done', result: ok(this.entries) }
    return { type: 'call', call: { type: 'read', prefix: this.prefix, limit: MAX_PAGE_ENTRIES, after: last.key } }
  }
}
