import type { Epoch, GroupNumber, TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import type { TaskAttempt } from '../model/work.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../ports/target-client.ts'
import type { GroupTiming } from './timing.ts'

/**
 * What the owner knows of a target.
 *
 * unlisted: not adopted by this owner yet; tasks of an earlier owner may run there.
 * adopted: tasks are listed and the task lease is renewed.
 * broken: adopted before, but the lease number is no longer valid or calls fail; it must be adopted again.
 * lost: the task lease has certainly lapsed, so that nothing runs there; it must be adopted again.
 */
export type SessionPhase = 'unlisted' | 'adopted' | 'broken' | 'lost'

export type SessionOptions = {
  readonly target: Target
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly timing: GroupTiming
  readonly now: number
}

/**
 * The owner's side of the task lease on one target: adoption, renewal by `sync`, and the moment from which the lease has
 * certainly lapsed.
 */
export class TargetSession {
  private currentPhase: SessionPhase = 'unlisted'
  private lease = 0
  private after = 0
  private renewalInFlight = false
  private nextAttemptAt: number
  /** Last moment at which a call that extends the task lease may have been sent without being known to have failed. */
  private lastExtensionAt: number
  private failingSince: number | undefined
  private lastFailureWasCertain = false
  private everAdopted = false
  private readonly toAcknowledge = new Map<string, TaskAttempt>()

  private constructor (private current: Target, private readonly options: SessionOptions) {
    this.nextAttemptAt = options.now
    this.lastExtensionAt = options.now
  }

  /**
   * Starts a session with a target that is not adopted yet.
   *
   * @example
   * TargetSession.create({ target, group: 3, epoch: 2, timing: DEFAULT_GROUP_TIMING, now })
   */
  static create (options: SessionOptions): TargetSession {
    return new TargetSession(options.target, options)
  }

  get id (): TargetId { return this.current.id }
  get target (): Target { return this.current }
  get phase (): SessionPhase { return this.currentPhase }
  /** Whether this owner has never listed the target's tasks. */
  get neverAdopted (): boolean { return !this.everAdopted }
  /** Number of the present task lease, for `start` and `control`. */
  get leaseNumber (): number { return this.lease }

  /** Takes a newer description of the target from the host list or from its own answer. */
  describe (target: Target): void {
    this.current = target
  }

  /** A result that need not be kept any longer; sent with the next `sync`. */
  acknowledge ({ taskId, attempt }: TaskAttempt): void {
    this.toAcknowledge.set(attemptKey({ taskId, attempt }), { taskId, attempt })
  }

  /** The next call to send, or undefined when one is under way or it is too early. */
  nextCall (now: number): TargetCall | undefined {
    if (this.renewalInFlight || now < this.nextAttemptAt) return undefined
    if (!this.mayExtend(now)) return undefined
    this.renewalInFlight = true
    this.lastExtensionAt = now
    const { group, epoch, timing } = this.options
    if (this.currentPhase === 'adopted') {
      const acknowledged = [...this.toAcknowledge.values()]
      return { type: 'sync', group, epoch, lease: this.lease, leaseMs: timing.taskLeaseMs, acknowledged, after: this.after, waitMs: timing.syncWaitMs }
    }
    this.lease += 1
    return { type: 'adopt', group, epoch, lease: this.lease, leaseMs: timing.taskLeaseMs }
  }

  /** Records the answer to `adopt`. */
  adopted (now: number, answer: Extract<TargetResponse, { type: 'adopt' }>): void {
    this.settle(now)
    this.currentPhase = 'adopted'
    this.everAdopted = true
    this.after = answer.sequence
    this.toAcknowledge.clear()
  }

  /** Records the answer to `sync`; `acknowledged` is what the call carried. */
  synced (now: number, answer: Extract<TargetResponse, { type: 'sync' }>, acknowledged: readonly TaskAttempt[]): void {
    this.settle(now)
    this.after = Math.max(this.after, answer.sequence)
    for (const attempt of acknowledged) this.toAcknowledge.delete(attemptKey(attempt))
  }

  /** Records a failed `adopt` or `sync`. */
  failed (now: number, failure: TargetFailure): void {
    this.renewalInFlight = false
    this.failingSince ??= now
    this.lastFailureWasCertain = failure.verdict === 'not-run'
    this.nextAttemptAt = now + this.options.timing.retryMs
    if (failure.reason === 'unknown-lease' && this.currentPhase === 'adopted') this.mustAdoptAgain(now)
  }

  /** Marks the lease number as invalid, because a call with it was refused. */
  mustAdoptAgain (now: number): void {
    if (this.currentPhase !== 'adopted') return
    this.currentPhase = 'broken'
    this.nextAttemptAt = now
  }

  /** Moment from which nothing that was started before can still run on the target. */
  get lapsedAt (): number {
    const { taskLeaseMs, transitMs, clockMarginMs } = this.options.timing
    return this.lastExtensionAt + transitMs + taskLeaseMs + clockMarginMs
  }

  /** Declares the target lost once its lease has certainly lapsed; true if it was declared lost by this call. */
  expire (now: number): boolean {
    if (this.currentPhase === 'lost' || this.failingSince === undefined || now < this.lapsedAt) return false
    this.currentPhase = 'lost'
    this.renewalInFlight = false
    this.failingSince = undefined
    return true
  }

  private mayExtend (now: number): boolean {
    if (this.currentPhase === 'lost' || this.failingSince === undefined || this.lastFailureWasCertain) return true
    return now - this.failingSince < this.options.timing.renewalGraceMs
  }

  private settle (now: number): void {
    this.renewalInFlight = false
    this.failingSince = undefined
    this.nextAttemptAt = now
  }
}

function attemptKey ({ taskId, attempt }: TaskAttempt): string {
  return `${taskId}#${attempt}`
}
