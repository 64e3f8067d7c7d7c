import type { MemberId } from '../model/ids.ts'
import type { Roster } from '../model/peer.ts'
import type { Context } from './context.ts'

const NO_ROSTER: Roster = { revision: 0, members: [] }

/** Holds the newest roster that this member knows, from the store or a peer. */
export class RosterState {
  private current: Roster = NO_ROSTER
  adoptedAt = 0

  private constructor (private readonly context: Context) {}

  static create (context: Context): RosterState {
    return new RosterState(context)
  }

  get roster (): Roster {
    return this.current
  }

  /** Number of members that form a majority; infinite while no roster is known. */
  get majority (): number {
    const size = this.current.members.length
    return size === 0 ? Infinity : Math.floor(size / 2) + 1
  }

  includes (member: MemberId): boolean {
    return this.current.members.some((entry) => entry.id === member)
  }

  getAddress (member: MemberId): string | undefined {
    return this.current.members.find((entry) => entry.id === member)?.address
  }

  /** Adopts the roster if it is newer than the current one; returns whether it was adopted. */
  adopt (roster: Roster): boolean {
    if (roster.revision <= this.current.revision) return false
    this.current = roster
    this.adoptedAt = this.context.now
    this.context.outbox.log('info', 'roster-adopted', { revision: roster.revision, members: roster.members.length })
    return true
  }
}
