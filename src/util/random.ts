/**
 * Seeded pseudorandom number generator (mulberry32); modules that use it instead of `Math.random` are deterministic.
 *
 * @example
 * const random = Random.create(7)
 * random.next()
 */
export class Random {
  private constructor (private state: number) {}

  static create (seed: number): Random {
    return new Random(seed >>> 0)
  }

  /** Returns the next number in [0, 1). */
  next (): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }

  /** Returns the next integer in [0, bound). */
  nextInt (bound: number): number {
    return Math.floor(this.next() * bound)
  }
}
