const BIN_MS = 250
const BINS = 240
/** Releases of the profile that is computed with, changed by what waits; one buffer is used again by each computation. */
const scratch = new Float64Array(BINS)

/** Longest wait that is computed, in milliseconds; a longer one is returned as this. */
export const HORIZON_MS = BIN_MS * BINS

/** Waiting tasks of one step: what they use of the resource together, and how long each runs. */
export type WaitingUse = { readonly amount: number, readonly runMs: number }

/** Room of one resource over the next seconds: what is free now, and what the present runs release when they end. */
export class RoomProfile {
  private constructor (private readonly releases: Float64Array) {}

  /**
   * Creates a profile without any releases.
   *
   * @example
   * const profile = RoomProfile.create()
   * profile.addRelease(400, 9_000)
   * profile.computeWaitMs(0, [{ amount: 4_500, runMs: 680 }]) // 250
   */
  static create (): RoomProfile {
    return new RoomProfile(new Float64Array(BINS))
  }

  /** Adds what a run releases after the given time. */
  addRelease (afterMs: number, amount: number): void {
    const bin = toBin(afterMs)
    if (bin < BINS) this.releases[bin]! += amount
  }

  /**
   * Computes after which time further work could start, if the waiting work starts first, in the given order, as the room
   * allows. `free`: what is free now; negative if more is used than allowed. Amounts are divisible, so that the result is rather too
   * short.
   */
  computeWaitMs (free: number, waiting: readonly WaitingUse[]): number {
    if (free > 0 && waiting.reduce((sum, { amount }) => sum + amount, 0) < free) return 0
    const releases = scratch
    releases.set(this.releases)
    let room = free
    let bin = 0
    for (const { amount, runMs } of waiting) {
      let left = amount
      while (left > 0) {
        const taken = Math.min(left, Math.max(0, room))
        left -= taken
        room -= taken
        const end = bin + toBin(runMs)
        if (taken > 0 && end < BINS) releases[end]! += taken
        if (left <= 0) break
        if (bin >= BINS) return HORIZON_MS
        room += releases[bin]!
        bin += 1
      }
    }
    for (; room <= 0 && bin < BINS; bin += 1) room += releases[bin]!
    return bin * BIN_MS
  }
}

/** A run ends in the first bin at the earliest, however short it is. */
function toBin (afterMs: number): number {
  return Math.max(0, Math.round(afterMs / BIN_MS) - 1)
}
