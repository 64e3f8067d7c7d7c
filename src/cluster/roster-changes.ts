import type { MemberId } from '../model/ids.ts'
import type { RosterMember } from '../model/peer.ts'
import { Backoff } from './backoff.ts'
import type { Context } from './context.ts'
import type { Membership } from './membership.ts'
import type { RosterState } from './roster-state.ts'
import { ROSTER_KEY } from './store-records.ts'
import type { StoreView } from './store-view.ts'

/** Writes roster changes to the store: the first member, joins, and the removal of members that have left or died. */
export class RosterChanges {
  private callPending = false
  private readonly absentSince = new Map<MemberId, number>()
  private readonly backoff: Backoff

  private constructor (private readonly context: Context, private readonly roster: RosterState, private readonly membership: Membership, private readonly view: StoreView) {
    this.backoff = Backoff.create(context.random, 20, 1_000)
  }

  static create (context: Context, roster: RosterState, membership: Membership, view: StoreView): RosterChanges {
    return new RosterChanges(context, roster, membership, view)
  }

  tick (mayJoin: boolean, leaving: boolean): void {
    const { now } = this.context
    this.recordAbsentMembers()
    if (!this.view.loaded || this.callPending || !this.backoff.isDue(now)) return
    if (this.view.roster !== undefined && this.view.roster.value.revision < this.roster.roster.revision) return
    const { member } = this.context.options
    if (leaving) {
      if (this.roster.includes(member)) this.writeRoster(this.membersWithout(member))
    } else if (mayJoin && !this.roster.includes(member)) {
      this.writeRoster([...this.roster.roster.members, this.buildOwnEntry()])
    } else if (mayJoin) {
      this.removeDeadMember()
    }
  }

  private buildOwnEntry (): RosterMember {
    const { member, address, failureDomain } = this.context.options
    return { id: member, address, failureDomain }
  }

  private membersWithout (member: MemberId): readonly RosterMember[] {
    return this.roster.roster.members.filter((entry) => entry.id !== member)
  }

  private recordAbsentMembers (): void {
    const { now, timings } = this.context
    if (now > this.view.confirmedAt + timings.freshnessMs) return this.absentSince.clear()
    for (const { id } of this.roster.roster.members) {
      // A member that cannot reach the store may still own groups by the promises of its peers.
      const recentlyHeard = now < (this.membership.peers.get(id)?.heartbeatReceivedAt ?? -Infinity) + timings.storeLeaseMs
      if (this.view.members.has(id) || recentlyHeard) this.absentSince.delete(id)
      else if (!this.absentSince.has(id)) this.absentSince.set(id, now)
    }
  }

  private removeDeadMember (): void {
    const { now, timings, options } = this.context
    const { members } = this.roster.roster
    if (members.find((entry) => this.view.members.has(entry.id))?.id !== options.member) return
    const dead = members.find((entry) => now >= (this.absentSince.get(entry.id) ?? Infinity) + timings.removalMs)
    if (dead === undefined) return
    this.writeRoster(this.membersWithout(dead.id))
  }

  /**
   * Writes the next roster once a majority has the current one. That majority refuses renewals under older rosters, so
   * any two majorities in use share a member.
   */
  private writeRoster (members: readonly RosterMember[]): void {
    const { context, view } = this
    const current = this.roster.roster
    if (current.members.length > 0 && !this.membership.isRosterConfirmed()) return this.membership.sendHeartbeatsEarly()
    const value = { revision: current.revision + 1, members }
    const rosterUnchanged = view.roster === undefined
      ? { type: 'absent', key: ROSTER_KEY } as const
      : { type: 'version', key: ROSTER_KEY, version: view.roster.version } as const
    this.callPending = true
    context.storeCalls.transact('roster', { compares: [rosterUnchanged], puts: [{ key: ROSTER_KEY, value: JSON.stringify(value) }], deletes: [] }, context.now, (outcome) => {
      this.callPending = false
      switch (outcome.type) {
        case 'committed':
          this.backoff.reset()
          view.applyEntries([], [{ key: ROSTER_KEY, value: JSON.stringify(value), version: outcome.version }], outcome.version)
          return
        case 'refused':
          this.backoff.recordFailure(context.now)
          view.applyEntries([ROSTER_KEY], outcome.current, outcome.version)
          return
        default:
          // The comparison of the next attempt shows whether this one took effect.
          this.backoff.recordFailure(context.now)
      }
    })
  }
}
