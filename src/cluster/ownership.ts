import type { Epoch, GroupNumber, MemberId } from '../model/ids.ts'
import type { Compare, Put } from '../ports/store.ts'
import { Backoff } from './backoff.ts'
import type { Context } from './context.ts'
import type { Membership } from './membership.ts'
import type { Registration } from './registration.ts'
import { rankMembers } from './rendezvous.ts'
import type { RosterState } from './roster-state.ts'
import type { Session } from './session.ts'
import type { StoppedStatements } from './stopped-statements.ts'
import { groupKey, memberKey, ROSTER_KEY } from './store-records.ts'
import type { GroupRecord } from './store-records.ts'
import type { StoreView } from './store-view.ts'
import type { Transaction, TransactionOutcome } from './store-calls.ts'

/** The owner of a group, as far as this member knows. */
export type Owner = { readonly owner: MemberId, readonly address: string, readonly epoch: Epoch }

/** Components that `Ownership` uses. */
export type OwnershipDependencies = {
  readonly roster: RosterState
  readonly view: StoreView
  readonly membership: Membership
  readonly registration: Registration
  readonly session: Session
  readonly stoppedStatements: StoppedStatements
  readonly listener: OwnershipListener
}

/** Notified when this member acquires or releases a group. */
export type OwnershipListener = {
  readonly acquired: (group: GroupNumber, epoch: Epoch) => void
  readonly released: (group: GroupNumber) => void
}

type Claim = { readonly group: GroupNumber, readonly compares: readonly Compare[], readonly epoch: Epoch, readonly previous: GroupRecord | undefined }

/** Owner in the record of a group that was released while no other member was live. */
const NO_OWNER = ''

/** Tracks the groups that this member holds, and claims, takes over and hands over groups. */
export class Ownership {
  private readonly heldEpochs = new Map<GroupNumber, Epoch>()
  /** Epochs under which this member released groups; a group is acquired again only with a higher epoch. */
  private readonly releasedEpochs = new Map<GroupNumber, Epoch>()
  private readonly claimableSince = new Map<GroupNumber, number>()
  private readonly ownerHints = new Map<GroupNumber, { readonly owner: MemberId, readonly epoch: Epoch }>()
  private readonly reportedOwners = new Map<GroupNumber, Owner>()
  private callPending = false
  private reportedGeneration = -1
  private hintGeneration = 0
  private readonly backoff: Backoff
  private leaveRequested = false
  private hasLeft = false

  private constructor (private readonly context: Context, private readonly dependencies: OwnershipDependencies, private readonly startedAt: () => number) {
    this.backoff = Backoff.create(context.random)
  }

  static create (context: Context, dependencies: OwnershipDependencies, startedAt: () => number): Ownership {
    return new Ownership(context, dependencies, startedAt)
  }

  get isLeaving (): boolean {
    return this.leaveRequested
  }

  /** Whether a leaving member has handed over its groups and ended its registration. */
  get hasHandedOver (): boolean {
    return this.hasLeft
  }

  getHeldEpoch (group: GroupNumber): Epoch | undefined {
    return this.heldEpochs.get(group)
  }

  getRecord (group: GroupNumber, epoch: Epoch): { readonly key: string, readonly value: string } {
    const { member } = this.context.options
    const stored = this.dependencies.view.groups.get(group)?.value
    const isStored = stored?.owner === member && stored.epoch === epoch
    const record: GroupRecord = isStored ? stored : { owner: member, incarnation: this.dependencies.session.incarnation, epoch }
    return { key: groupKey(group), value: JSON.stringify(record) }
  }

  mayAct (group: GroupNumber, now: number): boolean {
    return this.heldEpochs.has(group) && this.dependencies.session.mayAct(now)
  }

  getOwner (group: GroupNumber): Owner | undefined {
    const record = this.dependencies.view.groups.get(group)?.value
    const hint = this.ownerHints.get(group)
    const newest = record === undefined || (hint !== undefined && hint.epoch > record.epoch) ? hint : record
    if (newest === undefined || newest.owner === NO_OWNER) return undefined
    const address = newest.owner === this.context.options.member ? this.context.options.address : this.dependencies.membership.getAddress(newest.owner)
    return address === undefined ? undefined : { owner: newest.owner, address, epoch: newest.epoch }
  }

  /** Records the owner of a group as stated by another member. It is used only for routing, never to acquire a group. */
  recordHint (group: GroupNumber, owner: MemberId, epoch: Epoch): void {
    if (epoch <= (this.ownerHints.get(group)?.epoch ?? 0)) return
    this.ownerHints.set(group, { owner, epoch })
    this.hintGeneration += 1
  }

  handleSessionEnded (): void {
    for (const group of [...this.heldEpochs.keys()]) this.release(group)
    this.releasedEpochs.clear()
  }

  startLeaving (): void {
    this.leaveRequested = true
  }

  tick (): void {
    const { view, session, registration } = this.dependencies
    const { now } = this.context
    this.applyStoredRecords()
    if (!view.loaded || this.callPending || !this.backoff.isDue(now)) return
    if (!session.isActive || !registration.isValid(now)) {
      if (this.leaveRequested && this.heldEpochs.size === 0 && !this.hasLeft) this.finishLeaving()
      return
    }
    if (this.leaveRequested) return this.hasLeft ? undefined : this.handOverAllGroups()
    if (!this.claimGroups()) this.rebalance()
  }

  /** Applies the stored records and emits the changes of owners since the last call. */
  reportOwnerChanges (): void {
    if (this.dependencies.view.generation + this.hintGeneration === this.reportedGeneration) return
    this.applyStoredRecords()
    this.reportedGeneration = this.dependencies.view.generation + this.hintGeneration
    for (let group = 0; group < this.context.options.groups; group += 1) {
      const owner = this.getOwner(group)
      const previous = this.reportedOwners.get(group)
      if (owner === undefined || (previous?.epoch === owner.epoch && previous.address === owner.address)) continue
      this.reportedOwners.set(group, owner)
      this.context.outbox.emit({ type: 'owner-changed', group, ...owner })
    }
  }

  /** Returns the members that may own groups: those in the roster that are registered. */
  private getLiveMembers (): readonly MemberId[] {
    return this.dependencies.roster.roster.members.map((entry) => entry.id).filter((id) => this.dependencies.view.members.has(id))
  }

  /** Updates the held groups to match the stored records. */
  private applyStoredRecords (): void {
    const { view, session } = this.dependencies
    if (!view.loaded) return
    this.releaseSupersededGroups()
    if (session.isActive && !this.leaveRequested) this.acquireStoredGroups()
  }

  /** Releases groups whose stored record has a higher epoch; this guards against two processes with the same member id. */
  private releaseSupersededGroups (): void {
    for (const [group, epoch] of [...this.heldEpochs]) {
      const record = this.dependencies.view.groups.get(group)?.value
      if (record !== undefined && record.epoch > epoch) this.release(group)
    }
  }

  /** Acquires the groups whose stored record names this session: handovers to it, and claims whose response is late or lost. */
  private acquireStoredGroups (): void {
    const { member } = this.context.options
    for (const [group, { value }] of this.dependencies.view.groups) {
      if (group >= this.context.options.groups) continue
      if (value.owner !== member || value.incarnation !== this.dependencies.session.incarnation) continue
      this.acquire(group, value.epoch)
    }
  }

  private claimGroups (): boolean {
    const claims: Claim[] = []
    const liveMembers = this.getLiveMembers()
    const { member } = this.context.options
    if (!liveMembers.includes(member)) return false
    for (let group = 0; group < this.context.options.groups; group += 1) {
      if (this.heldEpochs.has(group)) continue
      const claim = this.buildClaim(group, liveMembers)
      if (claim !== undefined) claims.push(claim)
    }
    if (claims.length === 0) return false
    this.writeGroupRecords('claim', claims.map(({ group, epoch }) => ({ group, record: { owner: member, incarnation: this.dependencies.session.incarnation, epoch } })), [...this.buildOwnCompares(), ...claims.flatMap((entry) => entry.compares)], [], () => this.completeClaims(claims))
    return true
  }

  private buildClaim (group: GroupNumber, liveMembers: readonly MemberId[]): Claim | undefined {
    const entry = this.dependencies.view.groups.get(group)
    const conditions = this.findClaimConditions(entry?.value)
    if (conditions === undefined) {
      this.claimableSince.delete(group)
      return undefined
    }
    const { member } = this.context.options
    const { now, timings } = this.context
    const since = this.claimableSince.get(group) ?? now
    this.claimableSince.set(group, since)
    if (now < since + rankMembers(group, liveMembers).indexOf(member) * timings.claimRankDelayMs) return undefined
    const compares = conditions()
    if (compares === undefined) return undefined
    const key = groupKey(group)
    const unchanged: Compare = entry === undefined ? { type: 'absent', key } : { type: 'version', key, version: entry.version }
    return { group, compares: [unchanged, ...compares], epoch: (entry?.value.epoch ?? 0) + 1, previous: entry?.value }
  }

  /** Returns undefined if the group has a live owner; otherwise a function that returns the conditions of a claim, or undefined while they are not met. */
  private findClaimConditions (record: GroupRecord | undefined): (() => readonly Compare[] | undefined) | undefined {
    const { view, session, stoppedStatements } = this.dependencies
    if (record === undefined || record.owner === NO_OWNER) return () => []
    const { owner, incarnation } = record
    const isOwn = owner === this.context.options.member
    if (isOwn && (incarnation === session.incarnation || session.isEarlierSession(incarnation))) return () => []
    const ownerEntry = view.members.get(owner)
    if (ownerEntry?.value.incarnation === incarnation) return undefined
    const key = memberKey(owner)
    const ownerKeyUnchanged: Compare = ownerEntry === undefined ? { type: 'absent', key } : { type: 'version', key, version: ownerEntry.version }
    return () => {
      const majorityCompares = stoppedStatements.findMajorityCompares(owner, incarnation, this.startedAt())
      return majorityCompares === undefined ? undefined : [ownerKeyUnchanged, ...majorityCompares]
    }
  }

  private completeClaims (claims: readonly Claim[]): void {
    for (const { group, epoch, previous } of claims) {
      if (previous !== undefined) this.dependencies.stoppedStatements.removeStatements(previous.owner, previous.incarnation)
      this.acquire(group, epoch)
    }
  }

  /** Hands over groups to the members that rendezvous hashing prefers, once the set of live members is stable. */
  private rebalance (): void {
    const { view } = this.dependencies
    const { now, timings } = this.context
    const stableSince = Math.max(view.membersChangedAt, this.dependencies.roster.adoptedAt)
    if (now < stableSince + timings.rebalanceDelayMs || now > view.confirmedAt + timings.freshnessMs) return
    const liveMembers = this.getLiveMembers()
    const moves = [...this.heldEpochs.keys()].filter((group) => rankMembers(group, liveMembers)[0] !== this.context.options.member)
    if (moves.length > 0) this.handOverGroups(moves, liveMembers, [], () => {})
  }

  private handOverAllGroups (): void {
    const { view } = this.dependencies
    const { member } = this.context.options
    if (this.context.now > view.confirmedAt + this.context.timings.freshnessMs) return
    // A committed handover whose response was lost has already deleted the key.
    if (view.members.get(member)?.value.incarnation !== this.dependencies.session.incarnation && this.heldEpochs.size === 0) return this.finishLeaving()
    const others = this.getLiveMembers().filter((id) => id !== member)
    const groups = [...view.groups].filter(([, { value }]) => value.owner === member && value.incarnation === this.dependencies.session.incarnation).map(([group]) => group)
    this.handOverGroups(groups, others, [memberKey(member)], () => this.finishLeaving())
  }

  private handOverGroups (groups: readonly GroupNumber[], candidates: readonly MemberId[], deletes: readonly string[], onCommitted: () => void): void {
    const { view } = this.dependencies
    const compares: Compare[] = [...this.buildOwnCompares()]
    const writes = groups.map((group) => {
      const owner = rankMembers(group, candidates)[0] ?? NO_OWNER
      const entry = view.groups.get(group)
      const ownerEntry = view.members.get(owner)
      compares.push(entry === undefined ? { type: 'absent', key: groupKey(group) } : { type: 'version', key: groupKey(group), version: entry.version })
      if (ownerEntry !== undefined) compares.push({ type: 'version', key: memberKey(owner), version: ownerEntry.version })
      const epoch = (entry?.value.epoch ?? 0) + 1
      this.release(group)
      return { group, record: { owner, incarnation: ownerEntry?.value.incarnation ?? '', epoch } }
    })
    this.writeGroupRecords('handover', writes, compares, deletes, () => {
      for (const { group, record } of writes) {
        this.recordHint(group, record.owner, record.epoch)
        this.dependencies.membership.broadcast({ type: 'ownership', group, owner: record.owner, epoch: record.epoch })
      }
      onCommitted()
    })
  }

  private finishLeaving (): void {
    this.hasLeft = true
    this.dependencies.registration.end()
  }

  /** Builds conditions under which a claim or handover applies only while this member is registered and its known roster is current. */
  private buildOwnCompares (): readonly Compare[] {
    const { view } = this.dependencies
    const key = memberKey(this.context.options.member)
    const entry = view.members.get(this.context.options.member)
    const roster: readonly Compare[] = view.roster === undefined ? [] : [{ type: 'version', key: ROSTER_KEY, version: view.roster.version }]
    return entry === undefined ? [{ type: 'version', key, version: -1 }, ...roster] : [{ type: 'version', key, version: entry.version }, ...roster]
  }

  private writeGroupRecords (purpose: 'claim' | 'handover', writes: readonly { readonly group: GroupNumber, readonly record: GroupRecord }[], compares: readonly Compare[], deletes: readonly string[], onCommitted: () => void): void {
    const { context, dependencies } = this
    const puts: readonly Put[] = writes.map(({ group, record }) => ({ key: groupKey(group), value: JSON.stringify(record) }))
    const transaction: Transaction = { compares: deduplicateCompares(compares), puts, deletes }
    const { incarnation } = dependencies.session
    this.callPending = true
    context.storeCalls.transact(purpose, transaction, context.now, (outcome: TransactionOutcome) => {
      this.callPending = false
      context.outbox.count(`${purpose}-outcome`, outcome.type)
      switch (outcome.type) {
        case 'committed':
          this.backoff.reset()
          dependencies.view.applyEntries([], puts.map(({ key, value }) => ({ key, value, version: outcome.version })), outcome.version)
          // If the session has ended meanwhile, the group is claimed again under the new incarnation.
          if (dependencies.session.incarnation === incarnation) onCommitted()
          return
        case 'refused':
          this.backoff.recordFailure(context.now)
          dependencies.view.applyEntries(transaction.compares.map((compare) => compare.key), outcome.current, outcome.version)
          return
        default:
          // The next attempt shows the outcome: if this one took effect, its comparisons fail and it returns the current records.
          this.backoff.recordFailure(context.now)
      }
    })
  }

  private acquire (group: GroupNumber, epoch: Epoch): void {
    if (this.heldEpochs.has(group) || epoch <= (this.releasedEpochs.get(group) ?? 0)) return
    this.heldEpochs.set(group, epoch)
    this.releasedEpochs.delete(group)
    this.claimableSince.delete(group)
    this.recordHint(group, this.context.options.member, epoch)
    this.context.outbox.emit({ type: 'group-acquired', group, epoch })
    this.dependencies.listener.acquired(group, epoch)
    this.context.outbox.log('info', 'group-acquired', { group, epoch })
    this.dependencies.membership.broadcast({ type: 'ownership', group, owner: this.context.options.member, epoch })
  }

  private release (group: GroupNumber): void {
    const epoch = this.heldEpochs.get(group)
    if (epoch === undefined) return
    this.heldEpochs.delete(group)
    this.releasedEpochs.set(group, epoch)
    this.context.outbox.emit({ type: 'group-released', group, epoch })
    this.dependencies.listener.released(group)
    this.context.outbox.log('info', 'group-released', { group, epoch })
  }
}

function deduplicateCompares (compares: readonly Compare[]): readonly Compare[] {
  return [...new Map(compares.map((compare) => [`${compare.type} ${compare.key}`, compare])).values()]
}
