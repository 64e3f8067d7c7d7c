import type { ProbeResult } from '../adapters/probe-address.ts'
import type { Reporter } from './reporter.ts'
import type { LeaderRecord } from './store-keys.ts'

/** A member that has removed a leader does not judge the next ones for this time, in milliseconds: its own links may be at fault. */
const REST_MS = 5_000

export type LeaderFailureDetectorOptions = {
  readonly probe: (leader: LeaderRecord) => Promise<ProbeResult>
  /** Whether another member finds the leader's address refusing too. */
  readonly confirm: (leader: LeaderRecord) => Promise<boolean>
  /** Removes the leader's record from the store. */
  readonly remove: (leader: LeaderRecord) => Promise<void>
  readonly report: Reporter
  readonly now?: () => number
}

/**
 * Finds out whether the leader's process has ended, so that its lease need not run out. Two members must be refused a
 * connection: one alone may be cut off. A leader that is removed although it lives is fenced as after the end of its lease.
 */
export class LeaderFailureDetector {
  private checking: string | undefined
  private restUntil = 0

  private constructor (private readonly options: LeaderFailureDetectorOptions) {}

  /**
   * @example
   * const detector = LeaderFailureDetector.create({ probe, confirm, remove, report })
   * detector.suspect(leader)
   */
  static create (options: LeaderFailureDetectorOptions): LeaderFailureDetector {
    return new LeaderFailureDetector(options)
  }

  /** Checks a leader after a call to it has failed. */
  suspect (leader: LeaderRecord): void {
    if (this.checking === leader.nonce || this.now() < this.restUntil) return
    this.checking = leader.nonce
    this.check(leader).catch((error: unknown) => {
      this.options.report.log('error', 'leader-check-failed', { leader: leader.member, detail: String(error) })
    }).finally(() => { this.checking = undefined })
  }

  private async check (leader: LeaderRecord): Promise<void> {
    const { probe, confirm, remove, report } = this.options
    const result = await probe(leader)
    report.count('leader-probed', result)
    if (result !== 'refused' || !await confirm(leader)) return
    this.restUntil = this.now() + REST_MS
    report.log('warn', 'leader-process-ended', { leader: leader.member, term: leader.term })
    await remove(leader)
  }

  private now (): number {
    return this.options.now?.() ?? performance.now()
  }
}
