import { Moment } from '../../util/moment.ts'
import type { Clocks } from '../../util/moment.ts'
import type { Reporter } from '../reporter.ts'

/** A process that was last seen running longer ago than this may have been suspended, in milliseconds. */
const SUSPENSION_THRESHOLD_MS = 750

export type CommandPermissionOptions = {
  /** Whether the store has confirmed the lease so recently that no other member can lead. */
  readonly isLeaseConfirmed: () => boolean
  /** Whether the store or the witnesses have confirmed the term recently. */
  readonly isTermConfirmed: () => boolean
  readonly reporter: Reporter
  readonly clocks?: Clocks
}

/**
 * Whether the leader may send commands. While the store is silent it may if its witnesses confirm its term, but a process that
 * has been paused or suspended may not until its lease is confirmed: another member may lead.
 */
export class CommandPermission {
  private seenRunningAt: Moment
  private withdrawn = false

  private constructor (private readonly options: CommandPermissionOptions) {
    this.seenRunningAt = Moment.now(options.clocks)
  }

  /**
   * Creates the permission of a leader that has just won its term.
   *
   * @example
   * const permission = CommandPermission.create({ isLeaseConfirmed, isTermConfirmed, reporter })
   * if (permission.isGranted()) commands.start(target, command)
   */
  static create (options: CommandPermissionOptions): CommandPermission {
    return new CommandPermission(options)
  }

  /** To be called before each command, and regularly. */
  isGranted (): boolean {
    const { isLeaseConfirmed, isTermConfirmed, reporter, clocks } = this.options
    const notSeenMs = this.seenRunningAt.ageMs
    this.seenRunningAt = Moment.now(clocks)
    if (notSeenMs > SUSPENSION_THRESHOLD_MS && !isLeaseConfirmed()) {
      this.withdrawn = true
      reporter.log('warn', 'process-was-suspended', { notSeenMs: Math.round(notSeenMs) })
    }
    if (this.withdrawn && isLeaseConfirmed()) this.withdrawn = false
    return !this.withdrawn && isTermConfirmed()
  }
}
