const BITS_PER_BYTE = 8
const BITS_PER_DIGIT = 4

/** A set of integers from 0 to below its size, with one bit for each. An empty set takes no space. */
export class BitSet {
  private bytes: Uint8Array | undefined

  private constructor (readonly size: number) {}

  /**
   * Creates an empty set.
   *
   * @example
   * const finished = BitSet.create(10_000)
   * finished.add(5)
   * finished.toHexadecimal() // '20'
   */
  static create (size: number): BitSet {
    return new BitSet(size)
  }

  /** Creates a set of all integers from 0 to below its size. */
  static createFull (size: number): BitSet {
    const set = new BitSet(size)
    for (let index = 0; index < size; index++) set.add(index)
    return set
  }

  has (index: number): boolean {
    return this.bytes !== undefined && (this.bytes[index >> 3]! >> (index & 7) & 1) === 1
  }

  add (index: number): void {
    this.bytes ??= new Uint8Array(Math.ceil(this.size / BITS_PER_BYTE))
    this.bytes[index >> 3]! |= 1 << (index & 7)
  }

  /** Formats the set as a number in hexadecimal whose lowest bit is that of 0. */
  toHexadecimal (): string {
    if (this.bytes === undefined) return '0'
    const digits = Buffer.from(this.bytes).reverse().toString('hex')
    return digits.replace(/^0+(?=.)/, '')
  }
}

/** Finds the integers below `size` in a set that was formatted as a hexadecimal number. */
export function * parseBitSet (text: string, size: number): Iterable<number> {
  for (let position = 0; position < text.length; position++) {
    const digit = Number.parseInt(text[text.length - 1 - position]!, 16)
    for (let bit = 0; bit < BITS_PER_DIGIT; bit++) {
      const index = BITS_PER_DIGIT * position + bit
      if (index < size && (digit >> bit & 1) === 1) yield index
    }
  }
}
