import type { MemberId } from '../model/ids.ts'
import type { Compare } from '../ports/store.ts'
import type { Context } from './context.ts'
import type { Membership } from './membership.ts'
import type { Promises } from './promises.ts'
import type { RosterState } from './roster-state.ts'
import { memberKey } from './store-records.ts'
import type { StoreView } from './store-view.ts'

/** A statement of a member; it counts only while the member's incarnation and the roster revision are unchanged. */
type Statement = { readonly incarnation: string, readonly rosterRevision: number }

const REQUEST_INTERVAL_MS = 200

/** Collects the statements of members that they have stopped renewing an owner, as a takeover requires. */
export class StoppedStatements {
  private readonly statementsByOwner = new Map<string, Map<MemberId, Statement>>()
  private readonly requestedAt = new Map<string, number>()
  private requestCount = 0

  private constructor (
    private readonly context: Context,
    private readonly roster: RosterState,
    private readonly membership: Membership,
    private readonly promises: Promises,
    private readonly view: StoreView
  ) {}

  static create (context: Context, roster: RosterState, membership: Membership, promises: Promises, view: StoreView): StoppedStatements {
    return new StoppedStatements(context, roster, membership, promises, view)
  }

  /**
   * Returns the conditions under which the statements of a majority still hold when the takeover is applied; requests
   * statements and returns undefined while there is no majority. A member loses its statement when it restarts, but makes
   * no promise before it has replaced its key `members/<id>`. The transaction therefore compares the keys of the members
   * that made statements.
   */
  findMajorityCompares (owner: MemberId, incarnation: string, startedAt: number): readonly Compare[] | undefined {
    const statements = this.statementsByOwner.get(formatStatementKey(owner, incarnation)) ?? new Map<MemberId, Statement>()
    const ownId = this.context.options.member
    const compares: Compare[] = []
    for (const { id } of this.roster.roster.members) {
      const entry = this.view.members.get(id)
      if (entry === undefined) continue
      const statement = statements.get(id)
      const stopped = id === ownId
        ? this.promises.stopRenewing(owner, incarnation, startedAt)
        : statement?.incarnation === entry.value.incarnation && statement.rosterRevision === this.roster.roster.revision
      if (stopped) compares.push({ type: 'version', key: memberKey(id), version: entry.version })
    }
    if (compares.length >= this.roster.majority) return compares
    this.requestStatements(owner, incarnation)
    return undefined
  }

  handleResponse (from: MemberId, fromIncarnation: string, owner: MemberId, incarnation: string, stopped: boolean, rosterRevision: number): void {
    if (!stopped) return
    const key = formatStatementKey(owner, incarnation)
    const statements = this.statementsByOwner.get(key) ?? new Map<MemberId, Statement>()
    this.statementsByOwner.set(key, statements.set(from, { incarnation: fromIncarnation, rosterRevision }))
  }

  /** Removes the statements about an owner whose groups have been taken over. */
  removeStatements (owner: MemberId, incarnation: string): void {
    this.statementsByOwner.delete(formatStatementKey(owner, incarnation))
    this.requestedAt.delete(formatStatementKey(owner, incarnation))
  }

  private requestStatements (owner: MemberId, incarnation: string): void {
    const key = formatStatementKey(owner, incarnation)
    const { now } = this.context
    if (now < (this.requestedAt.get(key) ?? -Infinity) + REQUEST_INTERVAL_MS) return
    this.requestedAt.set(key, now)
    this.requestCount += 1
    this.membership.broadcast({ type: 'stopped-asked', member: owner, incarnation, nonce: `${this.requestCount}` })
  }
}

function formatStatementKey (owner: MemberId, incarnation: string): string {
  return `${owner} ${incarnation}`
}
