import type { StoreCall, StoreEntry, StoreResponse } from '../../ports/store.ts'

/** Maximum size of the values in one message between members, in characters; a message has at most 4 MiB, and JSON adds escapes. */
const MAX_VALUES_LENGTH = 1_500_000

/** Whether a call fits into a message between members. */
export function fitsMessage (call: StoreCall): boolean {
  return call.type !== 'transact' || call.puts.reduce((sum, { value }) => sum + value.length, 0) <= MAX_VALUES_LENGTH
}

/**
 * Shortens a response that would not fit into a message: a page of a read ends earlier, and a watch with too many changes reports that
 * the prefixes must be read again.
 *
 * @example
 * shortenResponse({ type: 'read', entries, more: false, version: 7 }) // { type: 'read', entries: entries.slice(0, 2), more: true, version: 7 }
 */
export function shortenResponse (response: StoreResponse): StoreResponse {
  if (response.type === 'read') {
    const entries = takeFitting(response.entries)
    return entries.length === response.entries.length ? response : { ...response, entries, more: true }
  }
  if (response.type !== 'watch') return response
  const written = response.changes.flatMap((change) => change.type === 'put' ? [change.entry] : [])
  return takeFitting(written).length === written.length ? response : { ...response, changes: [], compacted: true }
}

/** Takes entries from the beginning, one at least. */
function takeFitting (entries: readonly StoreEntry[]): readonly StoreEntry[] {
  let length = 0
  const end = entries.findIndex(({ value }, index) => {
    length += value.length
    return index > 0 && length > MAX_VALUES_LENGTH
  })
  return end === -1 ? entries : entries.slice(0, end)
}
