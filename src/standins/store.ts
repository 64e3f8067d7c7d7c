import type { Compare, LeaseId, Put, StoreResponse, StoreCall, StoreChange, StoreEntry } from '../ports/store.ts'
import { STORE_VALUE_LIMIT_BYTES } from '../ports/store.ts'
import { assertNever } from '../util/assert-never.ts'
import { SortedKeys } from './sorted-keys.ts'

/** Number of calls of each type. A waiting watch counts once, no matter how often it is resumed. */
export type StoreCallCounts = Readonly<Record<StoreCall['type'], number>>

/** Options of `InMemoryStore`. */
export type InMemoryStoreOptions = {
  /** Number of changes kept for watches; a watch that is further behind gets `compacted`. Default 10,000. */
  readonly maxHistoryChanges?: number
  /** Bytes of values after which a response is cut; the rest needs further calls. Default 4,000,000. */
  readonly maxResponseBytes?: number
  /** The same for the response to a watch; without it, `maxResponseBytes` counts. */
  readonly maxWatchBytes?: number
}

type Lease = { readonly ttlMs: number, expiresAt: number, readonly keys: Set<string> }
type StoredEntry = { readonly entry: StoreEntry, readonly lease: LeaseId | undefined }
type WatchCall = Extract<StoreCall, { type: 'watch' }>

const DEFAULT_HISTORY_CHANGES = 10_000
const DEFAULT_RESPONSE_BYTES = 4_000_000

/**
 * The store as a pure in-memory state machine. The current time is the argument `now`, and there are no timers.
 *
 * A watch without changes returns `waiting`. The driver calls `resume` after each change and when the `waitMs` of the
 * watch have passed. A transaction is not committed if one of its puts names a lease that has ended.
 *
 * @example
 * const store = InMemoryStore.create()
 * store.call(0, { type: 'transact', compares: [], puts: [{ key: 'a', value: '1' }], deletes: [] })
 */
export class InMemoryStore {
  private readonly entries = new Map<string, StoredEntry>()
  private readonly keys = SortedKeys.create()
  private readonly leases = new Map<LeaseId, Lease>()
  private readonly counters: Record<StoreCall['type'], number> = { read: 0, transact: 0, 'grant-lease': 0, 'renew-lease': 0, 'revoke-lease': 0, watch: 0 }
  private history: StoreChange[] = []
  private currentVersion = 0
  private compactedVersion = 0
  private leaseSequence = 0

  private constructor (private readonly maxHistoryChanges: number, private readonly maxResponseBytes: number, private readonly maxWatchBytes: number) {}

  static create (options: InMemoryStoreOptions = {}): InMemoryStore {
    const { maxHistoryChanges = DEFAULT_HISTORY_CHANGES, maxResponseBytes = DEFAULT_RESPONSE_BYTES, maxWatchBytes = maxResponseBytes } = options
    return new InMemoryStore(maxHistoryChanges, maxResponseBytes, maxWatchBytes)
  }

  /** Revision of the newest write. */
  get version (): number {
    return this.currentVersion
  }

  get counts (): StoreCallCounts {
    return { ...this.counters }
  }

  /** Earliest time at which a lease expires, or undefined without leases. A driver with timers calls `advance` then. */
  nextEventAt (): number | undefined {
    let earliest: number | undefined
    for (const lease of this.leases.values()) {
      if (earliest === undefined || lease.expiresAt < earliest) earliest = lease.expiresAt
    }
    return earliest
  }

  /** Ends the leases that have expired by `now` and deletes their entries. */
  advance (now: number): void {
    for (const [id, lease] of this.leases) {
      if (lease.expiresAt <= now) this.endLease(id, lease)
    }
  }

  /** Handles a new call and counts it. */
  call (now: number, call: StoreCall): StoreResponse | 'waiting' {
    this.counters[call.type] += 1
    this.advance(now)
    switch (call.type) {
      case 'read': return this.read(call.prefix, call.after, call.limit)
      case 'transact': return this.transact(call.compares, call.puts, call.deletes)
      case 'grant-lease': return this.grantLease(now, call.ttlMs)
      case 'renew-lease': return this.renewLease(now, call.lease)
      case 'revoke-lease': return this.revokeLease(call.lease)
      case 'watch': return this.watch(call, call.waitMs <= 0)
      default: return assertNever(call)
    }
  }

  /** Handles a watch again that has been waiting since `startedAt`, without counting it. */
  resume (now: number, call: WatchCall, startedAt: number): StoreResponse | 'waiting' {
    this.advance(now)
    return this.watch(call, now >= startedAt + call.waitMs)
  }

  private read (prefix: string, after: string | undefined, limit: number | undefined): StoreResponse {
    const found: StoreEntry[] = []
    let bytes = 0
    for (const key of this.keys.withPrefix(prefix, after)) {
      const entry = this.entries.get(key)!.entry
      bytes += entry.value.length
      const full = found.length >= (limit ?? Infinity) || (found.length > 0 && bytes > this.maxResponseBytes)
      if (full) return { type: 'read', entries: found, more: true, version: this.currentVersion }
      found.push(entry)
    }
    return { type: 'read', entries: found, more: false, version: this.currentVersion }
  }

  private transact (compares: readonly Compare[], puts: readonly Put[], deletes: readonly string[]): StoreResponse {
    const satisfied = compares.every((compare) => this.isSatisfied(compare))
    const leasesLive = puts.every((put) => put.lease === undefined || this.leases.has(put.lease))
    const committed = satisfied && leasesLive
    if (committed) this.write(puts, deletes)
    const current = committed ? [] : this.getCurrentEntries(compares)
    return { type: 'transact', committed, current, version: this.currentVersion }
  }

  private isSatisfied (compare: Compare): boolean {
    const stored = this.entries.get(compare.key)
    switch (compare.type) {
      case 'absent': return stored === undefined
      case 'version': return stored?.entry.version === compare.version
      case 'value': return stored?.entry.value === compare.value
      default: return assertNever(compare)
    }
  }

  private getCurrentEntries (compares: readonly Compare[]): StoreEntry[] {
    const keys = new Set(compares.map((compare) => compare.key))
    return [...keys].flatMap((key) => this.entries.get(key)?.entry ?? [])
  }

  private write (puts: readonly Put[], deletes: readonly string[]): void {
    const present = deletes.filter((key) => this.entries.has(key))
    if (puts.length === 0 && present.length === 0) return
    this.currentVersion += 1
    for (const key of present) this.remove(key)
    for (const put of puts) this.put(put)
    this.compact()
  }

  private put (put: Put): void {
    const entry: StoreEntry = { key: put.key, value: put.value, version: this.currentVersion }
    this.detachFromLease(put.key)
    this.entries.set(put.key, { entry, lease: put.lease })
    this.keys.add(put.key)
    if (put.lease !== undefined) this.leases.get(put.lease)?.keys.add(put.key)
    this.history.push({ type: 'put', entry })
  }

  private remove (key: string): void {
    this.detachFromLease(key)
    this.entries.delete(key)
    this.keys.remove(key)
    this.history.push({ type: 'deleted', key, version: this.currentVersion })
  }

  private detachFromLease (key: string): void {
    const lease = this.entries.get(key)?.lease
    if (lease !== undefined) this.leases.get(lease)?.keys.delete(key)
  }

  private grantLease (now: number, ttlMs: number): StoreResponse {
    this.leaseSequence += 1
    const lease = `lease-${this.leaseSequence}`
    this.leases.set(lease, { ttlMs, expiresAt: now + ttlMs, keys: new Set() })
    return { type: 'grant-lease', lease }
  }

  private renewLease (now: number, id: LeaseId): StoreResponse {
    const lease = this.leases.get(id)
    if (lease !== undefined) lease.expiresAt = now + lease.ttlMs
    return { type: 'renew-lease', alive: lease !== undefined }
  }

  private revokeLease (id: LeaseId): StoreResponse {
    const lease = this.leases.get(id)
    if (lease !== undefined) this.endLease(id, lease)
    return { type: 'revoke-lease' }
  }

  private endLease (id: LeaseId, lease: Lease): void {
    this.leases.delete(id)
    this.write([], [...lease.keys])
  }

  private watch (call: WatchCall, expired: boolean): StoreResponse | 'waiting' {
    if (call.afterVersion < this.compactedVersion) {
      return { type: 'watch', changes: [], version: this.currentVersion, compacted: true }
    }
    const { changes, version } = this.changesAfter(call)
    if (changes.length === 0 && !expired) return 'waiting'
    return { type: 'watch', changes, version, compacted: false }
  }

  /** Never splits the changes of one revision, so that a watch after `version` does not miss any. */
  private changesAfter (call: WatchCall): { changes: StoreChange[], version: number } {
    const changes: StoreChange[] = []
    let bytes = 0
    let last = call.afterVersion
    for (let index = this.findFirstChangeAfter(call.afterVersion); index < this.history.length; index += 1) {
      const change = this.history[index]!
      const version = getVersion(change)
      if (bytes > this.maxWatchBytes && version > last) return { changes, version: last }
      last = version
      if (!call.prefixes.some((prefix) => getKey(change).startsWith(prefix))) continue
      changes.push(change)
      bytes += change.type === 'put' ? change.entry.value.length : 0
    }
    return { changes, version: this.currentVersion }
  }

  private findFirstChangeAfter (version: number): number {
    let low = 0
    let high = this.history.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (getVersion(this.history[middle]!) <= version) low = middle + 1
      else high = middle
    }
    return low
  }

  /** Removes complete revisions only. It removes them in batches of the limit, so that the average cost of a write is constant. */
  private compact (): void {
    if (this.history.length < 2 * this.maxHistoryChanges) return
    const boundary = getVersion(this.history[this.history.length - this.maxHistoryChanges]!)
    this.history = this.history.slice(this.findFirstChangeAfter(boundary))
    this.compactedVersion = boundary
  }
}

/**
 * Whether the call contains a value that exceeds the size limit of the store.
 *
 * @example
 * if (isTooLarge(call)) return err({ reason: 'too-large', verdict: 'not-applied' })
 */
export function isTooLarge (call: StoreCall): boolean {
  if (call.type !== 'transact') return false
  return call.puts.some((put) => Buffer.byteLength(put.value) > STORE_VALUE_LIMIT_BYTES)
}

function getVersion (change: StoreChange): number {
  return change.type === 'put' ? change.entry.version : change.version
}

function getKey (change: StoreChange): string {
  return change.type === 'put' ? change.entry.key : change.key
}
