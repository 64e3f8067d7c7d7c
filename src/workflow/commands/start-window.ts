/** Number of starts without an answer at a time that the connections to one target can carry. */
const MAX_STARTS_OF_TARGET = 96
/** The same for all targets together, as a sum of weights. It follows the time that answers take, between these limits. */
const MAX_STARTS = 1_000
const INITIAL_STARTS = 700
const MIN_STARTS = 200
/** A start with a payload of up to this many bytes has the weight 1, one with twice as many 2, and so on. */
const BYTES_OF_WEIGHT = 1_000
/** Answers that take less time allow more starts, and answers that take more allow fewer, in milliseconds. */
const QUICK_ANSWER_MS = 200
const SLOW_ANSWER_MS = 400
/** The rest is kept for jobs of which nothing runs, so that a large job doesn't hold them up. */
const COMMON_RATIO = 0.75
/** A start that has had no answer for this time is not under way any more, in milliseconds: its sender has given it up. */
const MAX_DURATION_MS = 1_000

/** `reserved`: only for the first task of a job, or for one that lasts. */
export type StartRoom = 'free' | 'reserved' | 'none'

type StartUnderWay = { readonly target: string, readonly sentAt: number, readonly weight: number }

/** The starts that have been sent and not been answered. Tasks wait in their steps until there is room for their starts. */
export class StartWindow {
  /** By run, the one that was sent first first. */
  private readonly starts = new Map<string, StartUnderWay>()
  private readonly countsByTarget = new Map<string, number>()
  /** Targets without room for one more start of any task. */
  private readonly crowdedTargets = new Set<string>()
  private weight = 0
  private maxStarts = INITIAL_STARTS
  private limited = false

  private constructor () {}

  /**
   * Creates a window without starts.
   *
   * @example
   * const window = StartWindow.create()
   * window.recordSent({ target: 'i-7f3a91c2', run: formatRunKey(task.key, run), payloadBytes: 200 }, now)
   * window.recordAnswer(formatRunKey(task.key, run), now)
   */
  static create (): StartWindow {
    return new StartWindow()
  }

  /** Records that the first start command of a run was sent. */
  recordSent ({ target, run, payloadBytes }: { readonly target: string, readonly run: string, readonly payloadBytes: number }, now: number): void {
    const weight = Math.max(1, Math.ceil(payloadBytes / BYTES_OF_WEIGHT))
    this.starts.set(run, { target, sentAt: now, weight })
    this.weight += weight
    this.setCount(target, this.count(target) + 1)
  }

  /** Records the answer to a start, or that there is none; returns whether tasks have waited for room since the last one. */
  recordAnswer (run: string, now: number): boolean {
    const start = this.starts.get(run)
    if (start !== undefined) this.adapt(now - start.sentAt)
    this.remove(run)
    const { limited } = this
    this.limited = false
    return limited
  }

  /** Whether each target has room for one more start of any task. */
  get isOpenForAllTargets (): boolean {
    return this.crowdedTargets.size === 0
  }

  /** The room for one more start on any target. */
  getRoom (now: number): StartRoom {
    this.removeOutdated(now)
    return this.compare(this.weight, this.maxStarts)
  }

  /** The room for one more start on this target. */
  getRoomOf (target: string): StartRoom {
    return this.compare(this.count(target), MAX_STARTS_OF_TARGET)
  }

  private adapt (durationMs: number): void {
    if (durationMs > SLOW_ANSWER_MS) this.maxStarts = Math.max(MIN_STARTS, this.maxStarts - 1)
    else if (durationMs < QUICK_ANSWER_MS) this.maxStarts = Math.min(MAX_STARTS, this.maxStarts + 1)
  }

  private compare (count: number, limit: number): StartRoom {
    if (count < limit * COMMON_RATIO) return 'free'
    this.limited = true
    return count < limit ? 'reserved' : 'none'
  }

  private count (target: string): number {
    return this.countsByTarget.get(target) ?? 0
  }

  private removeOutdated (now: number): void {
    for (const [run, { sentAt }] of this.starts) {
      if (now - sentAt < MAX_DURATION_MS) return
      this.remove(run)
    }
  }

  private remove (run: string): void {
    const start = this.starts.get(run)
    if (start === undefined) return
    this.starts.delete(run)
    this.weight -= start.weight
    this.setCount(start.target, this.count(start.target) - 1)
  }

  private setCount (target: string, count: number): void {
    if (count === 0) this.countsByTarget.delete(target)
    else this.countsByTarget.set(target, count)
    if (count < MAX_STARTS_OF_TARGET * COMMON_RATIO) this.crowdedTargets.delete(target)
    else this.crowdedTargets.add(target)
  }
}
