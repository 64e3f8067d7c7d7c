import type { Epoch, GroupNumber, TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import type { TaskAttempt } from '../model/work.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../ports/target-client.ts'
import type { GroupTiming } from './timing.ts'

/**
 * State of a target as the owner of the group knows it.
 *
 * unlisted: not adopted by this owner yet; tasks of a previous owner may run there.
 * adopted: its tasks are listed and the task lease is renewed.
 * broken: adopted before, but the lease number is no longer valid; it must be adopted again.
 * lost: the task lease has definitely lapsed, so nothing runs there; it must be adopted again.
 */
export type SessionPhase = 'unlisted' | 'adopted' | 'broken' | 'lost'

/** Options of `TargetSession.create`. */
export type SessionOptions = {
  readonly target: Target
  readonly group: GroupNumber
  readonly epoch: Epoch
  readonly timing: GroupTiming
  readonly now: number
}

/**
 * The owner's side of the task lease on one target: adoption, renewal by `sync`, and the time at which the lease has
 * definitely lapsed.
 */
export class TargetSession {
  private currentPhase: SessionPhase = 'unlisted'
  private currentLease = 0
  private lastSequence = 0
  private renewalInFlight = false
  private nextCallAt: number
  /** When a call that may extend the task lease was last sent, whether it failed or not. */
  private lastExtensionAt: number
  private failingSince: number | undefined
  private lastFailureDefinite = false
  private adoptedBefore = false
  private readonly pendingAcknowledgements = new Map<string, TaskAttempt>()

  private constructor (private currentTarget: Target, private readonly options: SessionOptions) {
    this.nextCallAt = options.now
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

  get id (): TargetId { return this.currentTarget.id }
  get target (): Target { return this.currentTarget }
  get phase (): SessionPhase { return this.currentPhase }
  /** Whether this owner has never adopted the target and so does not know its tasks. */
  get neverAdopted (): boolean { return !this.adoptedBefore }
  /** Number of the current task lease, for `start` and `control`. */
  get leaseNumber (): number { return this.currentLease }

  /** Replaces the description of the target with a newer one from the host list or from its own response. */
  updateTarget (target: Target): void {
    this.currentTarget = target
  }

  /** Queues the acknowledgement of a result that the target need not keep any longer; sent with the next `sync`. */
  acknowledge ({ taskId, attempt }: TaskAttempt): void {
    this.pendingAcknowledgements.set(formatAttemptKey({ taskId, attempt }), { taskId, attempt })
  }

  /** Returns the next call to send; undefined while one is in flight, before it is due or if it must not extend the lease. */
  nextCall (now: number): TargetCall | undefined {
    if (this.renewalInFlight || now < this.nextCallAt) return undefined
    if (!this.canExtendLease(now)) return undefined
    this.renewalInFlight = true
    this.lastExtensionAt = now
    const { group, epoch, timing } = this.options
    if (this.currentPhase === 'adopted') {
      const acknowledged = [...this.pendingAcknowledgements.values()]
      return { type: 'sync', group, epoch, lease: this.currentLease, leaseMs: timing.taskLeaseMs, acknowledged, after: this.lastSequence, waitMs: timing.syncWaitMs }
    }
    this.currentLease += 1
    return { type: 'adopt', group, epoch, lease: this.currentLease, leaseMs: timing.taskLeaseMs }
  }

  /** Records the response to `adopt`. */
  recordAdoption (now: number, response: Extract<TargetResponse, { type: 'adopt' }>): void {
    this.recordSuccess(now)
    this.currentPhase = 'adopted'
    this.adoptedBefore = true
    this.lastSequence = response.sequence
    this.pendingAcknowledgements.clear()
  }

  /** Records the response to `sync`; `acknowledged` lists the attempts that the call acknowledged. */
  recordSync (now: number, response: Extract<TargetResponse, { type: 'sync' }>, acknowledged: readonly TaskAttempt[]): void {
    this.recordSuccess(now)
    this.lastSequence = Math.max(this.lastSequence, response.sequence)
    for (const attempt of acknowledged) this.pendingAcknowledgements.delete(formatAttemptKey(attempt))
  }

  /** Records a failed `adopt` or `sync`. */
  recordFailure (now: number, failure: TargetFailure): void {
    this.renewalInFlight = false
    this.failingSince ??= now
    this.lastFailureDefinite = failure.verdict === 'not-run'
    this.nextCallAt = now + this.options.timing.retryMs
    if (failure.reason === 'unknown-lease' && this.currentPhase === 'adopted') this.invalidateLease(now)
  }

  /** Makes the target be adopted again, because a call with the lease number was refused or the outcome of a start is open. */
  invalidateLease (now: number): void {
    if (this.currentPhase !== 'adopted') return
    this.currentPhase = 'broken'
    this.nextCallAt = now
  }

  /** Time from which no task that was started under the lease can still run on the target. */
  get lapsedAt (): number {
    const { taskLeaseMs, transitMs, clockMarginMs } = this.options.timing
    return this.lastExtensionAt + transitMs + taskLeaseMs + clockMarginMs
  }

  /** Declares the target lost if its lease has definitely lapsed; returns whether this call declared it lost. */
  expireIfLapsed (now: number): boolean {
    if (this.currentPhase === 'lost' || this.failingSince === undefined || now < this.lapsedAt) return false
    this.currentPhase = 'lost'
    this.renewalInFlight = false
    this.failingSince = undefined
    return true
  }

  private canExtendLease (now: number): boolean {
    if (this.currentPhase === 'lost' || this.failingSince === undefined || this.lastFailureDefinite) return true
    return now - this.failingSince < this.options.timing.renewalGraceMs
  }

  private recordSuccess (now: number): void {
    this.renewalInFlight = false
    this.failingSince = undefined
    this.nextCallAt = now
  }
}

function formatAttemptKey ({ taskId, attempt }: TaskAttempt): string {
  return `${taskId}#${attempt}`
}
