import type { ProbeResult } from '../../adapters/probe-address.ts'
import type { Reporter } from '../reporter.ts'
import type { LeaderRecord } from '../records/store-keys.ts'

/**
 * How long a member that has removed a leader does not check the following leaders, in milliseconds: its own network
 * connections may be the cause of the failures.
 */
const REMOVAL_COOLDOWN_MS = 5_000

export type LeaderFailureDetectorOptions = {
  readonly probe: (leader: LeaderRecord) => Promise<ProbeResult>
  /** Whether the leader's address refuses connections of another member too. */
  readonly confirm: (leader: LeaderRecord) => Promise<boolean>
  /** Removes the leader's record from the store. */
  readonly remove: (leader: LeaderRecord) => Promise<void>
  readonly reporter: Reporter
  readonly now?: () => number
}

/**
 * Detects that the leader's process has ended, so that the members do not have to wait until its lease expires. Two
 * members must be refused a connection, because a single one may be disconnected from the network. A leader that is
 * removed while it is still running is fenced, as after the expiry of its lease.
 */
export class LeaderFailureDetector {
  private checkedNonce: string | undefined
  private cooldownUntil = 0

  private constructor (private readonly options: LeaderFailureDetectorOptions) {}

  /**
   * Creates a detector for one member.
   *
   * @example
   * const detector = LeaderFailureDetector.create({ probe, confirm, remove, reporter })
   * detector.suspect(leader)
   */
  static create (options: LeaderFailureDetectorOptions): LeaderFailureDetector {
    return new LeaderFailureDetector(options)
  }

  /** Checks a leader after a call to it has failed. */
  suspect (leader: LeaderRecord): void {
    if (this.checkedNonce === leader.nonce || this.now() < this.cooldownUntil) return
    this.checkedNonce = leader.nonce
    this.check(leader).catch((error: unknown) => {
      this.options.reporter.log('error', 'leader-check-failed', { leader: leader.member, detail: String(error) })
    }).finally(() => { this.checkedNonce = undefined })
  }

  private async check (leader: LeaderRecord): Promise<void> {
    const { probe, confirm, remove, reporter } = this.options
    const result = await probe(leader)
    reporter.count('leader-probed', result)
    if (result !== 'refused' || !await confirm(leader)) return
    this.cooldownUntil = this.now() + REMOVAL_COOLDOWN_MS
    reporter.log('warn', 'leader-process-ended', { leader: leader.member, term: leader.term })
    await remove(leader)
  }

  private now (): number {
    return this.options.now?.() ?? performance.now()
  }
}
