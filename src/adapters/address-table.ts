/** An item of an address table. Busy items are not closed when they expire. */
export type Closable = { readonly busy: boolean, readonly close: () => void }

type Entry<T> = { readonly item: T, lastUsedAtMs: number }

/** Items that are unused for this time are closed. Replaced hosts have new addresses, so the table would grow without bound otherwise. */
const IDLE_TIMEOUT_MS = 600_000
const SWEEP_INTERVAL_MS = 60_000

/**
 * Keeps one item, such as a connection pool, for each peer address. Items that are unused for ten minutes are closed.
 *
 * @example
 * const pools = AddressTable.create((address) => HttpPool.create({ origin: address }))
 * pools.get('http://127.0.0.1:9001')
 */
export class AddressTable<T extends Closable> {
  private readonly entries = new Map<string, Entry<T>>()
  private lastSweepAtMs = performance.now()

  private constructor (private readonly createItem: (address: string) => T | undefined) {}

  /** `createItem` returns undefined for a malformed address. */
  static create<T extends Closable> (createItem: (address: string) => T | undefined): AddressTable<T> {
    return new AddressTable(createItem)
  }

  /** Returns the item for an address and creates it if needed; undefined if the address is malformed. */
  get (address: string): T | undefined {
    const now = performance.now()
    this.closeIdleItems(now)
    const entry = this.entries.get(address)
    if (entry !== undefined) entry.lastUsedAtMs = now
    return entry?.item ?? this.add(address, now)
  }

  /** Returns all items in no particular order. */
  items (): T[] {
    return [...this.entries.values()].map((entry) => entry.item)
  }

  /** Closes and removes all items. */
  close (): void {
    for (const item of this.items()) item.close()
    this.entries.clear()
  }

  private add (address: string, now: number): T | undefined {
    const item = this.createItem(address)
    if (item !== undefined) this.entries.set(address, { item, lastUsedAtMs: now })
    return item
  }

  private closeIdleItems (now: number): void {
    if (now - this.lastSweepAtMs < SWEEP_INTERVAL_MS) return
    this.lastSweepAtMs = now
    for (const [address, { item, lastUsedAtMs }] of this.entries) {
      if (now - lastUsedAtMs < IDLE_TIMEOUT_MS || item.busy) continue
      item.close()
      this.entries.delete(address)
    }
  }
}
