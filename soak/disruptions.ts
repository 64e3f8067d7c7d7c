/** Disruptions that may overlap, and the time of the last one. */
export class Disruptions {
  private current = 0
  private lastChangeMs = -Infinity

  private constructor () {}

  /**
   * Creates a record without disruptions.
   *
   * @example
   * const disruptions = Disruptions.create()
   * disruptions.record(1_000, 'begins')
   * disruptions.record(1_500, 'ends')
   * disruptions.isCalmSince(1_200) // false
   */
  static create (): Disruptions {
    return new Disruptions()
  }

  /** Records that a disruption begins or ends. */
  record (atMs: number, change: 'begins' | 'ends'): void {
    this.current += change === 'begins' ? 1 : -1
    this.lastChangeMs = atMs
  }

  /** Whether no disruption is in progress and none has been since the given time. */
  isCalmSince (sinceMs: number): boolean {
    return this.current === 0 && this.lastChangeMs < sinceMs
  }
}
