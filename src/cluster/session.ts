import type { Context } from './context.ts'

/** Whether the member is authorised to act at `now`, by a valid store lease or by the promises of a majority. */
export type AuthorityCheck = (now: number) => boolean

/** Notified of the end of a session. */
export type SessionListener = {
  /** Called at the end of a session; every group held under it must be released. */
  readonly ended: () => void
}

const SESSION_NUMBER_DIGITS = 6

/**
 * A period in which the member is authorised to act without interruption, identified by an incarnation.
 *
 * - `idle`: not yet registered.
 * - `active`: authorised without a gap since the registration.
 * - `suspended`: there was a gap, so another member may have taken over the groups. Only a store lease that is still
 *   alive proves that none did.
 *
 * The end of a session changes the incarnation, because peers never renew an incarnation again once they have stopped
 * renewing it.
 */
export class Session {
  private state: 'idle' | 'active' | 'suspended' = 'idle'
  private sessionNumber = 0

  private constructor (private readonly context: Context, private readonly hasAuthority: AuthorityCheck, private readonly listener: SessionListener) {}

  static create (context: Context, hasAuthority: AuthorityCheck, listener: SessionListener): Session {
    return new Session(context, hasAuthority, listener)
  }

  get incarnation (): string {
    const { incarnation } = this.context.options
    return this.sessionNumber === 0 ? incarnation : `${incarnation}.${String(this.sessionNumber).padStart(SESSION_NUMBER_DIGITS, '0')}`
  }

  get isActive (): boolean {
    return this.state === 'active'
  }

  /** Whether the incarnation belongs to an earlier session of this process, whose groups are already released. */
  isEarlierSession (incarnation: string): boolean {
    const isOwn = incarnation === this.context.options.incarnation || incarnation.startsWith(`${this.context.options.incarnation}.`)
    return isOwn && incarnation !== this.incarnation
  }

  mayAct (now: number): boolean {
    return this.state === 'active' && this.hasAuthority(now)
  }

  /** Suspends the session if the authority to act has lapsed, and ends a suspended session that is no longer registered. Called before each event is applied. */
  checkAuthority (registered: boolean): void {
    if (this.state === 'active' && !this.hasAuthority(this.context.now)) {
      this.state = 'suspended'
      this.context.outbox.log('warn', 'session-suspended', { incarnation: this.incarnation })
    }
    if (this.state === 'suspended' && !registered) this.end()
  }

  handleRegistered (): void {
    if (this.state !== 'idle') return
    this.state = 'active'
    this.context.outbox.log('info', 'session-started', { incarnation: this.incarnation })
  }

  /** Resumes a suspended session: the registered lease was alive after the gap, so the key `members/<id>` never disappeared. */
  handleRenewed (): void {
    if (this.state !== 'suspended' || !this.hasAuthority(this.context.now)) return
    this.state = 'active'
    this.context.outbox.log('info', 'session-resumed', { incarnation: this.incarnation })
  }

  end (): void {
    this.context.outbox.log('warn', 'session-ended', { incarnation: this.incarnation })
    this.state = 'idle'
    this.sessionNumber += 1
    this.listener.ended()
  }
}
