/**
 * A map with at most `maxEntries` entries; `set` evicts the least recently used entry beyond this number.
 *
 * @example
 * const cache = LruCache.create<string, number>(100)
 * cache.set('a', 1)
 */
export class LruCache<Key, Value> {
  private readonly entries = new Map<Key, Value>()

  private constructor (private readonly maxEntries: number) {}

  static create<Key, Value> (maxEntries: number): LruCache<Key, Value> {
    return new LruCache(maxEntries)
  }

  get size (): number {
    return this.entries.size
  }

  /** Returns the value of a key and marks the entry as the most recently used. */
  get (key: Key): Value | undefined {
    const value = this.entries.get(key)
    if (value === undefined) return undefined
    this.entries.delete(key)
    this.entries.set(key, value)
    return value
  }

  set (key: Key, value: Value): void {
    this.entries.delete(key)
    this.entries.set(key, value)
    if (this.entries.size <= this.maxEntries) return
    const [oldest] = this.entries.keys()
    this.entries.delete(oldest!)
  }
}
