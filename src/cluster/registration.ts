import { Backoff } from './backoff.ts'
import type { Context } from './context.ts'
import type { LeaseId } from '../ports/store.ts'
import { memberKey, parseMemberRecord } from './store-records.ts'
import type { MemberRecord } from './store-records.ts'
import type { StoreView } from './store-view.ts'

/** Notified of changes of the registration. */
export type RegistrationListener = {
  /** The key `members/<id>` holds this incarnation and is attached to the lease. */
  readonly registered: () => void
  /** The store has confirmed a renewal of the registered lease. */
  readonly renewed: () => void
  /** The lease has ended, and with it the key. */
  readonly lost: () => void
}

/** Delay before the registration is tried again while the key of an earlier incarnation exists. */
const OCCUPIED_RETRY_DELAY_MS = 250

/** Manages this member's store lease and its key `members/<id>`. */
export class Registration {
  private lease: LeaseId | undefined
  private validUntil = -Infinity
  private isRegistered = false
  private callPending = false
  private nextRenewalAt = 0
  private retryAt = 0
  private readonly backoff: Backoff

  private constructor (
    private readonly context: Context,
    private readonly view: StoreView,
    private readonly incarnation: () => string,
    private readonly listener: RegistrationListener
  ) {
    this.backoff = Backoff.create(context.random)
  }

  static create (context: Context, view: StoreView, incarnation: () => string, listener: RegistrationListener): Registration {
    return new Registration(context, view, incarnation, listener)
  }

  get registered (): boolean {
    return this.isRegistered
  }

  /** Whether the store lease is certainly valid and the key is attached to it. */
  isValid (now: number): boolean {
    return this.isRegistered && now < this.validUntil
  }

  tick (): void {
    const { now } = this.context
    if (this.lease !== undefined && now >= this.nextRenewalAt) this.renew(this.lease)
    if (this.isRegistered || this.callPending || now < this.retryAt || !this.backoff.isDue(now)) return
    if (this.lease === undefined) this.requestLease()
    else this.register(this.lease)
  }

  /** Ends the registration permanently. */
  end (): void {
    this.restart()
    this.retryAt = Infinity
  }

  /** Revokes the lease, which deletes the key; the next attempt registers the current incarnation under a new lease. */
  restart (): void {
    const { lease } = this
    this.clearLease()
    if (lease !== undefined) this.context.storeCalls.call('lease', { type: 'revoke-lease', lease }, this.context.now, () => {})
  }

  private requestLease (): void {
    const { context } = this
    const sentAt = context.now
    this.callPending = true
    context.storeCalls.call('lease', { type: 'grant-lease', ttlMs: context.timings.storeLeaseMs }, sentAt, (result) => {
      this.callPending = false
      if (result.isErr() || result.value.type !== 'grant-lease') return this.backoff.recordFailure(context.now)
      this.backoff.reset()
      if (this.retryAt === Infinity) return
      this.lease = result.value.lease
      this.extendValidity(sentAt)
      this.nextRenewalAt = sentAt + context.timings.storeRenewalMs
      this.register(this.lease)
    })
  }

  private register (lease: LeaseId): void {
    const { context } = this
    const { member, address, failureDomain } = context.options
    const incarnation = this.incarnation()
    const key = memberKey(member)
    const record: MemberRecord = { incarnation, address, failureDomain, lease }
    this.callPending = true
    const transaction = { compares: [{ type: 'absent', key } as const], puts: [{ key, value: JSON.stringify(record), lease }], deletes: [] }
    context.storeCalls.transact('registration', transaction, context.now, (outcome) => {
      this.callPending = false
      if (this.lease !== lease || this.incarnation() !== incarnation) return
      switch (outcome.type) {
        case 'committed':
          this.view.applyEntries([], [{ key, value: JSON.stringify(record), version: outcome.version }], outcome.version)
          return this.markRegistered()
        // If the response to an earlier attempt was lost, the refusal returns the record of that attempt, which confirms it.
        case 'refused': {
          const current = outcome.current.find((entry) => entry.key === key)
          const currentRecord = current === undefined ? undefined : parseMemberRecord(current.value)
          this.view.applyEntries([key], outcome.current, outcome.version)
          if (currentRecord?.incarnation === incarnation && currentRecord.lease === lease) return this.markRegistered()
          if (currentRecord !== undefined && currentRecord.incarnation > incarnation) context.outbox.log('error', 'member-id-in-use', { incarnation: currentRecord.incarnation })
          this.retryAt = context.now + OCCUPIED_RETRY_DELAY_MS
          return
        }
        default: this.backoff.recordFailure(context.now)
      }
    })
  }

  private markRegistered (): void {
    this.backoff.reset()
    this.isRegistered = true
    this.listener.registered()
  }

  private renew (lease: LeaseId): void {
    const { context } = this
    const sentAt = context.now
    this.nextRenewalAt = sentAt + context.timings.storeRenewalMs
    context.storeCalls.call('lease', { type: 'renew-lease', lease }, sentAt, (result) => {
      if (this.lease !== lease || result.isErr() || result.value.type !== 'renew-lease') return
      if (!result.value.alive) {
        this.clearLease()
        return this.listener.lost()
      }
      this.extendValidity(sentAt)
      if (this.isRegistered) this.listener.renewed()
    }, context.timings.storeLeaseMs)
  }

  private extendValidity (sentAt: number): void {
    const { storeLeaseMs, clockMarginMs } = this.context.timings
    this.validUntil = Math.max(this.validUntil, sentAt + storeLeaseMs - clockMarginMs)
  }

  private clearLease (): void {
    this.lease = undefined
    this.isRegistered = false
    this.validUntil = -Infinity
  }
}
