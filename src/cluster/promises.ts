import type { MemberId } from '../model/ids.ts'
import type { RenewalRefusal } from '../model/peer.ts'
import type { Context } from './context.ts'
import type { RosterState } from './roster-state.ts'

/** Whether this member may promise renewals: it is registered and has read a roster from the store. */
export type ReadinessCheck = () => boolean

type RenewalPromise = { incarnation: string, validUntil: number }

/** Tracks the renewal promises that this member has made to others, and the incarnations that it has stopped renewing. */
export class Promises {
  private readonly promisesByMember = new Map<MemberId, RenewalPromise[]>()
  private readonly stoppedByMember = new Map<MemberId, Set<string>>()
  private readonly newestIncarnation = new Map<MemberId, string>()

  private constructor (private readonly context: Context, private readonly roster: RosterState, private readonly isReady: ReadinessCheck) {}

  static create (context: Context, roster: RosterState, isReady: ReadinessCheck): Promises {
    return new Promises(context, roster, isReady)
  }

  /** How long a promise holds on this member's clock: its validity at the requester plus one heartbeat interval. */
  private get promiseDurationMs (): number {
    return this.context.timings.promiseMs + this.context.timings.heartbeatMs
  }

  /** Records an incarnation of a member; returns false if a newer one has already been seen. */
  recordIncarnation (member: MemberId, incarnation: string): boolean {
    const newest = this.newestIncarnation.get(member)
    if (newest !== undefined && incarnation < newest) return false
    this.newestIncarnation.set(member, incarnation)
    return true
  }

  /** Handles a renewal request: makes a promise, or returns the reason for refusing it. */
  handleRenewal (member: MemberId, incarnation: string, requesterRosterRevision: number): RenewalRefusal | undefined {
    const refusal = this.findRefusal(member, incarnation, requesterRosterRevision)
    if (refusal === undefined) this.recordPromise(member, incarnation)
    return refusal
  }

  /**
   * Stops renewing the incarnation if no promise to it can still be valid. Returns whether it is stopped, which is final.
   * A restarted member no longer knows its promises, and a new roster may replace one whose promises are still valid, so
   * both cases wait for one promise period.
   */
  stopRenewing (member: MemberId, incarnation: string, startedAt: number): boolean {
    if (!this.isReady()) return false
    if (member === this.context.options.member) return this.isOwnPredecessor(incarnation)
    if (this.stoppedByMember.get(member)?.has(incarnation) === true) return true
    const waitStartedAt = Math.max(startedAt, this.roster.adoptedAt)
    if (this.context.now - waitStartedAt <= this.promiseDurationMs) return false
    if (this.promisesByMember.get(member)?.some((promise) => promise.incarnation === incarnation && promise.validUntil >= this.context.now) === true) return false
    const incarnations = this.stoppedByMember.get(member) ?? new Set()
    this.stoppedByMember.set(member, incarnations.add(incarnation))
    return true
  }

  /** Whether the incarnation is an earlier process of this member that has ended, because only one process can listen at an address. */
  private isOwnPredecessor (incarnation: string): boolean {
    const { member, address } = this.context.options
    return incarnation < this.context.options.incarnation && this.roster.getAddress(member) === address
  }

  private findRefusal (member: MemberId, incarnation: string, requesterRosterRevision: number): RenewalRefusal | undefined {
    if (this.stoppedByMember.get(member)?.has(incarnation) === true) return 'stopped'
    if (!this.isReady()) return 'starting'
    if (requesterRosterRevision < this.roster.roster.revision) return 'stale-roster'
    if (!this.roster.includes(member)) return 'not-in-roster'
    return undefined
  }

  private recordPromise (member: MemberId, incarnation: string): void {
    const { now } = this.context
    const valid = (this.promisesByMember.get(member) ?? []).filter((promise) => promise.validUntil >= now && promise.incarnation !== incarnation)
    this.promisesByMember.set(member, [...valid, { incarnation, validUntil: now + this.promiseDurationMs }])
  }
}
