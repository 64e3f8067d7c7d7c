import type { Compare, Put, StoreCall, StoreChange, StoreEntry, StoreFailure, StoreResponse } from '../../ports/store.ts'

type Fields = Readonly<Record<string, unknown>>

const REASONS: Readonly<Record<StoreFailure['reason'], true>> = { timeout: true, unavailable: true, overloaded: true, 'too-large': true, 'malformed-answer': true }

/** Whether a value that a member has sent is a call to the store. */
export function isStoreCall (value: unknown): value is StoreCall {
  if (!isObject(value)) return false
  switch (value.type) {
    case 'read': return isText(value.prefix) && (value.after === undefined || isText(value.after)) && (value.limit === undefined || isCount(value.limit))
    case 'transact': return isListOf(value.compares, isCompare) && isListOf(value.puts, isPut) && isListOf(value.deletes, isText)
    case 'grant-lease': return isCount(value.ttlMs)
    case 'renew-lease':
    case 'revoke-lease': return isText(value.lease)
    case 'watch': return isListOf(value.prefixes, isText) && isCount(value.afterVersion)
    default: return false
  }
}

/** Whether a value that a member has sent is the store's response to a call of this type. */
export function isStoreResponse (type: StoreCall['type'], value: unknown): value is StoreResponse {
  if (!isObject(value) || value.type !== type) return false
  switch (type) {
    case 'read': return isListOf(value.entries, isEntry) && typeof value.more === 'boolean' && isCount(value.version)
    case 'transact': return typeof value.committed === 'boolean' && isListOf(value.current, isEntry) && isCount(value.version)
    case 'grant-lease': return isText(value.lease)
    case 'renew-lease': return typeof value.alive === 'boolean'
    case 'revoke-lease': return true
    case 'watch': return isListOf(value.changes, isChange) && isCount(value.version) && typeof value.compacted === 'boolean'
    default: return false
  }
}

/** Whether a value that a member has sent says why a call to the store has failed. */
export function isStoreFailure (value: unknown): value is StoreFailure {
  return isObject(value) && typeof value.reason === 'string' && Object.hasOwn(REASONS, value.reason) && (value.verdict === 'not-applied' || value.verdict === 'may-have-applied')
}

function isCompare (value: unknown): value is Compare {
  if (!isObject(value) || !isText(value.key)) return false
  switch (value.type) {
    case 'absent': return true
    case 'version': return isCount(value.version)
    case 'value': return isText(value.value)
    default: return false
  }
}

function isPut (value: unknown): value is Put {
  return isObject(value) && isText(value.key) && isText(value.value) && (value.lease === undefined || isText(value.lease))
}

function isEntry (value: unknown): value is StoreEntry {
  return isObject(value) && isText(value.key) && isText(value.value) && isCount(value.version)
}

function isChange (value: unknown): value is StoreChange {
  if (!isObject(value)) return false
  return value.type === 'put' ? isEntry(value.entry) : value.type === 'deleted' && isText(value.key) && isCount(value.version)
}

function isListOf (value: unknown, isItem: (item: unknown) => boolean): boolean {
  return Array.isArray(value) && value.every(isItem)
}

function isCount (value: unknown): boolean {
  return Number.isFinite(value) && Number(value) >= 0
}

function isText (value: unknown): boolean {
  return typeof value === 'string'
}

function isObject (value: unknown): value is Fields {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
