import type { TargetState } from '../target-state.ts'

/** Number of entries that are kept at least. A step that searched before the oldest of them searches all targets again. */
const MAX_ENTRIES = 512

/**
 * Records the targets that may have more room for tasks than before, in order, so that a step which found no target examines
 * only these the next time.
 */
export class RoomLog {
  private entries: TargetState[] = []
  private firstPosition = 0

  private constructor () {}

  /**
   * Creates an empty log.
   *
   * @example
   * const log = RoomLog.create()
   * const searchedTo = log.position
   * log.record(target)
   * log.getSince(searchedTo) // [target]
   */
  static create (): RoomLog {
    return new RoomLog()
  }

  /** Position after the last entry. */
  get position (): number {
    return this.firstPosition + this.entries.length
  }

  record (target: TargetState): void {
    if (this.entries.length >= 2 * MAX_ENTRIES) this.trim()
    this.entries.push(target)
  }

  /** Gets the targets recorded since a position; undefined if some of them are no longer kept. */
  getSince (position: number): readonly TargetState[] | undefined {
    if (position < this.firstPosition) return undefined
    return this.entries.slice(position - this.firstPosition)
  }

  private trim (): void {
    this.firstPosition += this.entries.length - MAX_ENTRIES
    this.entries = this.entries.slice(-MAX_ENTRIES)
  }
}
