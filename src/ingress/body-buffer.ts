const INITIAL_BYTES = 4_096

/** One growing buffer for a body. Its capacity doubles and never exceeds the limit. */
export class BodyBuffer {
  private bytes: Buffer = Buffer.alloc(0)
  private length = 0

  private constructor (private readonly limitBytes: number) {}

  static create (limitBytes: number): BodyBuffer {
    return new BodyBuffer(limitBytes)
  }

  /** Memory that the buffer takes, in bytes. */
  get capacity (): number {
    return this.bytes.length
  }

  /** Appends a part; returns false, without appending it, if the body would exceed the limit. */
  append (part: Buffer): boolean {
    const length = this.length + part.length
    if (length > this.limitBytes) return false
    if (length > this.bytes.length) this.grow(length)
    part.copy(this.bytes, this.length)
    this.length = length
    return true
  }

  /** Returns the body as a view of the buffer. */
  toBytes (): Buffer {
    return this.bytes.subarray(0, this.length)
  }

  private grow (length: number): void {
    const capacity = Math.min(this.limitBytes, Math.max(INITIAL_BYTES, this.bytes.length * 2, length))
    // Memory of its own: a part of the shared pool would keep the rest of the pool in memory.
    const bytes = Buffer.allocUnsafeSlow(capacity)
    this.bytes.copy(bytes, 0, 0, this.length)
    this.bytes = bytes
  }
}
