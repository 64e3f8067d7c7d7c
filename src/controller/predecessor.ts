import { delay } from './delay.ts'
import { LEASE_GRACE_MS } from './leadership.ts'
import type { Term } from './leadership.ts'
import type { Peer } from './member-call.ts'
import type { Reporter } from './reporter.ts'

const RETRY_DELAY_MS = 300
/** Factor on the lease of runs, because a target's clock may be slower than the clock of this process. */
const CLOCK_DRIFT_FACTOR = 1.03

export type PredecessorOptions = {
  readonly term: Term
  readonly self: Peer
  readonly leaseMs: number
  readonly reporter: Reporter
  /**
   * Asks a member to stop leading any earlier term. Returns the time since it last led one, in milliseconds; undefined
   * without a response.
   */
  readonly requestStandDown: (peer: Peer, term: number) => Promise<number | undefined>
  /** Time since this process last led an earlier term, in milliseconds. */
  readonly getTimeSinceLeadingMs: () => number
  readonly isStopped: () => boolean
}

/** The leader of the term before: when it sends no more commands, and when the leases of its runs have expired. */
export class Predecessor {
  /** On the monotonic clock. */
  private commandsEndAt = performance.now() + LEASE_GRACE_MS

  private constructor (private readonly options: PredecessorOptions) {}

  /**
   * Creates the predecessor of a term, which may still send commands.
   *
   * @example
   * const predecessor = Predecessor.create({ term, self, leaseMs: 3_500, reporter, requestStandDown, getTimeSinceLeadingMs, isStopped })
   * await predecessor.stop()
   */
  static create (options: PredecessorOptions): Predecessor {
    return new Predecessor(options)
  }

  /**
   * Asks the previous leader to stand down. A response from its address means that it has stopped, or that its process
   * has ended.
   */
  async stop (): Promise<void> {
    const { term, reporter, isStopped } = this.options
    const { predecessor } = term
    if (predecessor === undefined) return
    while (!isStopped() && performance.now() < this.commandsEndAt) {
      const quietForMs = await this.requestQuietTime(predecessor)
      if (quietForMs !== undefined) {
        this.commandsEndAt = performance.now() - quietForMs
        return reporter.log('info', 'predecessor-stopped', { member: predecessor.member, term: term.term, quietForMs: Math.round(quietForMs) })
      }
      await delay(RETRY_DELAY_MS)
    }
  }

  /** Whether no run of an earlier term can be on a target any more. */
  get runsHaveLapsed (): boolean {
    const { term, leaseMs } = this.options
    return !term.hadPredecessor || performance.now() > this.commandsEndAt + leaseMs * CLOCK_DRIFT_FACTOR
  }

  private async requestQuietTime (predecessor: Peer): Promise<number | undefined> {
    const { term, self, requestStandDown, getTimeSinceLeadingMs } = this.options
    return predecessor.address === self.address ? getTimeSinceLeadingMs() : requestStandDown(predecessor, term.term)
  }
}
