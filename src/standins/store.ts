import type { Compare, LeaseId, Put, StoreResponse, StoreCall, StoreChange, StoreEntry } from '../ports/store.ts'
import { STORE_VALUE_LIMIT_BYTES } from '../ports/store.ts'
import { assertNever } from '../util/assert-never.ts'
import { SortedKeys } from './sorted-keys.ts'

/** Number of calls of each type; a waiting watch counts once, however often it is resumed. */
export type StoreCallCounts = Readonly<Record<StoreCall['type'], number>>

export type InMemoryStoreOptions = {
  /** Changes kept for watches; a watch that is further behind gets `compacted`. Default 10,000. */
  readonly historyLimit?: number
  /** Most bytes of values in one answer; the rest needs further calls. Default 4,000,000. */
  readonly answerBytes?: number
}

type Lease = { readonly ttlMs: number, expiresAt: number, readonly keys: Set<string> }
type StoredEntry = { readonly entry: StoreEntry, readonly lease: LeaseId | undefined }
type WatchCall = Extract<StoreCall, { type: 'watch' }>

const DEFAULT_HISTORY_LIMIT = 10_000
const DEFAULT_ANSWER_BYTES = 4_000_000

/**
 * The store as a pure in-memory state machine: time is the argument `now`, nothing runs on its own.
 *
 * A call that returns `waiting` is a watch without changes; the driver calls `resume` after each change and once its
 * `waitMs` has passed. A put that names a lease which has ended makes the transaction not committed.
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
  private newest = 0
  private compactedThrough = 0
  private leaseSequence = 0

  private constructor (private readonly historyLimit: number, private readonly answerBytes: number) {}

  static create (options: InMemoryStoreOptions = {}): InMemoryStore {
    return new InMemoryStore(options.historyLimit ?? DEFAULT_HISTORY_LIMIT, options.answerBytes ?? DEFAULT_ANSWER_BYTES)
  }

  /** Revision of the newest write. */
  get version (): number {
    return this.newest
  }

  get counts (): StoreCallCounts {
    return { ...this.counters }
  }

  /** Earliest time at which a lease ends, if any is held; a driver with timers calls `advance` then. */
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

  /** Handles a watch that waits since `startedAt` again, without counting it. */
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
      const full = found.length >= (limit ?? Infinity) || (found.length > 0 && bytes > this.answerBytes)
      if (full) return { type: 'read', entries: found, more: true, version: this.newest }
      found.push(entry)
    }
    return { type: 'read', entries: found, more: false, version: this.newest }
  }

  private transact (compares: readonly Compare[], puts: readonly Put[], deletes: readonly string[]): StoreResponse {
    const holds = compares.every((compare) => this.holds(compare))
    const leasesLive = puts.every((put) => put.lease === undefined || this.leases.has(put.lease))
    const committed = holds && leasesLive
    if (committed) this.write(puts, deletes)
    const current = committed ? [] : this.currentOf(compares)
    return { type: 'transact', committed, current, version: this.newest }
  }

  private holds (compare: Compare): boolean {
    const stored = this.entries.get(compare.key)
    switch (compare.type) {
      case 'absent': return stored === undefined
      case 'version': return stored?.entry.version === compare.version
      case 'value': return stored?.entry.value === compare.value
      default: return assertNever(compare)
    }
  }

  private currentOf (compares: readonly Compare[]): StoreEntry[] {
    const keys = new Set(compares.map((compare) => compare.key))
    return [...keys].flatMap((key) => this.entries.get(key)?.entry ?? [])
  }

  private write (puts: readonly Put[], deletes: readonly string[]): void {
    const present = deletes.filter((key) => this.entries.has(key))
    if (puts.length === 0 && present.length === 0) return
    this.newest += 1
    for (const key of present) this.remove(key)
    for (const put of puts) this.put(put)
    this.compact()
  }

  private put (put: Put): void {
    const entry: StoreEntry = { key: put.key, value: put.value, version: this.newest }
    this.detach(put.key)
    this.entries.set(put.key, { entry, lease: put.lease })
    this.keys.add(put.key)
    if (put.lease !== undefined) this.leases.get(put.lease)?.keys.add(put.key)
    this.history.push({ type: 'put', entry })
  }

  private remove (key: string): void {
    this.detach(key)
    this.entries.delete(key)
    this.keys.remove(key)
    this.history.push({ type: 'deleted', key, version: this.newest })
  }

  private detach (key: string): void {
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
    if (call.afterVersion < this.compactedThrough) {
      return { type: 'watch', changes: [], version: this.newest, compacted: true }
    }
    const { changes, version } = this.changesAfter(call)
    if (changes.length === 0 && !expired) return 'waiting'
    return { type: 'watch', changes, version, compacted: false }
  }

  /** Never splits the changes of one revision, so that `version` is a safe start for the next watch. */
  private changesAfter (call: WatchCall): { changes: StoreChange[], version: number } {
    const changes: StoreChange[] = []
    let bytes = 0
    let last = call.afterVersion
    for (let index = this.firstAfter(call.afterVersion); index < this.history.length; index += 1) {
      const change = this.history[index]!
      const version = versionOf(change)
      if (bytes > this.answerBytes && version > last) return { changes, version: last }
      last = version
      if (!call.prefixes.some((prefix) => keyOf(change).startsWith(prefix))) continue
      changes.push(change)
      bytes += change.type === 'put' ? change.entry.value.length : 0
    }
    return { changes, version: this.newest }
  }

  private firstAfter (version: number): number {
    let low = 0
    let high = this.history.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (versionOf(this.history[middle]!) <= version) low = middle + 1
      else high = middle
    }
    return low
  }

  /** Drops whole revisions, in batches of the limit, so that the cost for each write stays constant. */
  private compact (): void {
    if (this.history.length < 2 * this.historyLimit) return
    const boundary = versionOf(this.history[this.history.length - this.historyLimit]!)
    this.history = this.history.slice(this.firstAfter(boundary))
    this.compactedThrough = boundary
  }
}

/**
 * Whether the call holds a value that the store does not take.
 *
 * @example
 * if (isTooLarge(call)) return err({ reason: 'too-large', verdict: 'not-applied' })
 */
export function isTooLarge (call: StoreCall): boolean {
  if (call.type !== 'transact') return false
  return call.puts.some((put) => Buffer.byteLength(put.value) > STORE_VALUE_LIMIT_BYTES)
}

function versionOf (change: StoreChange): number {
  return change.type === 'put' ? change.entry.version : change.version
}

function keyOf (change: StoreChange): string {
  return change.type === 'put' ? change.entry.key : change.key
}
