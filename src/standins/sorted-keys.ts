/**
 * A set of keys in ascending order of UTF-16 code units. It is mutated in place, because a store holds too many keys to
 * copy them for each change.
 *
 * @example
 * const keys = SortedKeys.create()
 * keys.add('jobs/3/a')
 * [...keys.withPrefix('jobs/3/')] // ['jobs/3/a']
 */
export class SortedKeys {
  private readonly sorted: string[] = []

  private constructor () {}

  static create (): SortedKeys {
    return new SortedKeys()
  }

  add (key: string): void {
    const index = this.findLowerBound(key)
    if (this.sorted[index] !== key) this.sorted.splice(index, 0, key)
  }

  remove (key: string): void {
    const index = this.findLowerBound(key)
    if (this.sorted[index] === key) this.sorted.splice(index, 1)
  }

  /** Keys that start with `prefix` and, if given, come after the key `after`. */
  * withPrefix (prefix: string, after?: string): Generator<string> {
    const start = after !== undefined && after >= prefix ? after : prefix
    for (let index = this.findLowerBound(start); index < this.sorted.length; index += 1) {
      const key = this.sorted[index]!
      if (!key.startsWith(prefix)) return
      if (key !== after) yield key
    }
  }

  private findLowerBound (key: string): number {
    let low = 0
    let high = this.sorted.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (this.sorted[middle]! < key) low = middle + 1
      else high = middle
    }
    return low
  }
}
