import { randomUUID } from 'node:crypto'
import type { LeaseId, Put, Store, StoreEntry } from '../../ports/store.ts'
import { Moment } from '../../util/moment.ts'
import { delay } from '../delay.ts'
import { GivenConfirmations } from './given-confirmations.ts'
import type { Peer } from '../member-call.ts'
import { PrefixWatcher } from '../prefix-watcher.ts'
import type { SilentTargetsById } from '../../workflow/takeover/silent-targets.ts'
import { SilentTargetsReader, formatSilentTargets } from '../records/silent-targets-record.ts'
import type { Reporter } from '../reporter.ts'
import { callStore, readKey, transact, requireUnchanged } from '../store-calls.ts'
import { COMMIT_KEY, LEADER_KEY, LEADER_PREFIX, SILENT_TARGETS_KEY } from '../records/store-keys.ts'
import type { CommitRecord, LeaderRecord, UnsettledTerm } from '../records/store-keys.ts'
import { parseRecord } from '../records/stored-record.ts'
import { listUnsettledTerms } from './unsettled-terms.ts'
import { inheritWitnesses } from './witness-set.ts'

/** How long the store keeps the leader's key without a renewal, in milliseconds. */
const LEASE_TTL_MS = 1_500
const RENEW_INTERVAL_MS = 400
/**
 * How long the leader continues at most after the last confirmed renewal of its lease, in milliseconds, if its witnesses
 * confirm its term: while the store does not respond, no other member can take over. A new leader that cannot reach a target
 * and gets no answers from the witnesses waits for this time, and for the lease of the runs, before it starts that target's
 * tasks elsewhere. It counts from its own election, which may follow the renewal at
 * once: the record of a leader that refuses connections is removed before its lease expires.
 */
export const LEASE_GRACE_MS = 8_000
/** Maximum age of the last renewal for the leader to accept new work, in milliseconds. */
export const MAX_CONFIRMATION_AGE_MS = LEASE_TTL_MS - 200
/** Random delay that spreads the claims of several members, in milliseconds. */
const CLAIM_JITTER_MS = 40
/** A host with fewer cores delays its claim, so that larger hosts claim first. */
const UNDELAYED_CORES = 1.5
/** Delay for each core below `UNDELAYED_CORES`, in milliseconds. */
const DELAY_PER_MISSING_CORE_MS = 150
/** Hosts with fewer cores than this claim only after the others had time to start, because they are too slow for a cell. */
const SMALL_HOST_CORES = 0.5
const SMALL_HOST_DELAY_MS = 500
/** Delay of a claim that goes through another member, in milliseconds. */
const DETOUR_DELAY_MS = 500
const WATCH_WAIT_MS = 1_500
const CLAIM_RETRY_DELAY_MS = 150
/** After as many refused claims in a row, the store may refuse the record of silent targets; a claim without it only waits longer. */
const MAX_REFUSED_CLAIMS = 3

/** A term of leadership, as it starts. */
export type Term = {
  readonly term: number
  /** Version of the commit key at the start of the term. */
  readonly commitVersion: number
  /** Earlier terms whose runs may still be on targets, the last one at the end; empty if no member has ever led. */
  readonly unsettled: readonly UnsettledTerm[]
  /** Targets that get no leases and no starts until a record without them is stored; none if it is missing. */
  readonly silentTargets?: SilentTargetsById
  /** Members that have to confirm the term, as the claim has stored them; none if it is missing. */
  readonly witnesses?: readonly Peer[]
}

/**
 * How a member answers the leader of a later term. `stopped`: it led an earlier term; `quietForMs` is the time since it last
 * sent commands. `never-led`: its process has never led; `quietForMs` is the time since it started, when any process
 * before it at its address had ended.
 */
export type StandDown = {
  readonly type: 'stopped' | 'never-led'
  readonly quietForMs: number
  /**
   * Time for which it has confirmed no earlier term, or since it started if it never has. It confirms none any more. Missing in
   * responses of older releases.
   */
  readonly unconfirmedForMs?: number
}

export type LeadershipOptions = {
  readonly store: Store
  readonly member: string
  readonly address: string
  /** Processor cores of this member's host; larger hosts claim first. */
  readonly cores: number
  /** Whether this member reaches the store only through another one, so that others claim first; never, without it. */
  readonly isDetouring?: () => boolean
  readonly reporter: Reporter
  readonly onElected: (term: Term) => void
  readonly onLeadershipLost: (reason: string) => void
  /** Called with each leader record of another member that is read from the store. */
  readonly onOtherLeader?: (leader: LeaderRecord) => void
}

type HeldLeadership = { readonly lease: LeaseId, readonly term: number, readonly nonce: string, readonly version: number, renewedAt: Moment }

/**
 * Claims the leadership whenever no member holds it, and keeps it by renewing a lease of the store.
 *
 * @example
 * const leadership = Leadership.create({ store, member: 'entry-1', address: '10.0.0.1:7420', cores: 2, reporter, onElected, onLeadershipLost })
 */
export class Leadership {
  private readonly watcher: PrefixWatcher
  private readonly stopped = new AbortController()
  private held: HeldLeadership | undefined
  private leaderRecord: LeaderRecord | undefined
  private leaderVersion: number | undefined
  /** When this process last led, on the monotonic clock; undefined if it never has. */
  private lastLedAt: number | undefined
  /** Latest term whose leader has asked this member not to lead an earlier one. */
  private latestRequestedTerm = 0
  /** Latest term of which this member has read a record. */
  private latestSeenTerm = 0
  private readonly confirmations = GivenConfirmations.create()
  /** Nonce of the last claim of this process. */
  private lastClaimNonce: string | undefined
  private readonly silentTargets = SilentTargetsReader.create()
  private graceTimer: NodeJS.Timeout | undefined
  private claiming = false
  /** Whether the leadership has become free since the last claim began. */
  private claimWanted = false
  private isCandidate = true
  /** Number of claims in a row that the store has refused although it has granted their leases. */
  private refusedClaims = 0

  private constructor (private readonly options: LeadershipOptions) {
    this.watcher = PrefixWatcher.create({
      store: options.store,
      prefix: LEADER_PREFIX,
      waitMs: WATCH_WAIT_MS,
      reporter: options.reporter,
      onEntries: (entries, version) => {
        this.silentTargets.see(entries)
        if (!this.isOlderThanClaim(version)) this.handleLeaderEntry(entries.find((entry) => entry.key === LEADER_KEY))
      },
      onChanges: (changes) => {
        this.silentTargets.see(changes.flatMap((change) => change.type === 'put' ? [change.entry] : []))
        const last = changes.filter((change) => (change.type === 'put' ? change.entry.key : change.key) === LEADER_KEY).at(-1)
        if (last !== undefined && !this.isOlderThanClaim(last.type === 'put' ? last.entry.version : last.version)) this.handleLeaderEntry(last.type === 'put' ? last.entry : undefined)
      }
    })
    this.runRenewalLoop().catch((error: unknown) => options.reporter.log('error', 'renewal-failed', { detail: String(error) }))
  }

  static create (options: LeadershipOptions): Leadership {
    return new Leadership(options)
  }

  /** The current leader, as last read from the store. */
  get leader (): LeaderRecord | undefined {
    return this.leaderRecord
  }

  /** The latest term that this member knows of, also while no record of a leader is there. */
  get latestTerm (): number {
    return Math.max(this.latestSeenTerm, this.latestRequestedTerm, this.leaderRecord?.term ?? 0)
  }

  get isLeading (): boolean {
    return this.held !== undefined
  }

  /** Whether the store has confirmed the lease so recently that no other member can lead. */
  get isLeaseConfirmed (): boolean {
    return this.held !== undefined && this.held.renewedAt.ageMs < MAX_CONFIRMATION_AGE_MS
  }

  /**
   * Until when certainly no other member could lead, on the monotonic clock: the last confirmed renewal was sent then. A later
   * time is not certain, even within the lease, because the record of a leader that refuses connections is removed.
   */
  get aloneUntil (): number {
    return this.held === undefined ? -Infinity : performance.now() - this.held.renewedAt.ageMs
  }

  /** Gives up the leadership, for example because a target has seen a newer term. */
  stepDown (reason: string): void {
    if (this.held === undefined) return
    const { term } = this.held
    clearTimeout(this.graceTimer)
    this.held = undefined
    this.lastLedAt = performance.now()
    this.options.reporter.log('warn', 'leadership-lost', { term, reason })
    this.options.onLeadershipLost(reason)
  }

  /** Gives up the leadership if `term` is later than the current one, and tells how long no commands have been sent. */
  stepDownForTerm (term: number): StandDown {
    this.latestRequestedTerm = Math.max(this.latestRequestedTerm, term)
    if (this.held !== undefined && this.held.term < term) this.stepDown('the leader of a later term requested it')
    const unconfirmedForMs = this.confirmations.computeAgeMs(term)
    if (this.held !== undefined && this.held.term > term) return { type: 'stopped', quietForMs: 0, unconfirmedForMs }
    // The monotonic clock of this process starts with it.
    if (this.lastLedAt === undefined) return { type: 'never-led', quietForMs: performance.now(), unconfirmedForMs }
    return { type: 'stopped', quietForMs: performance.now() - this.lastLedAt, unconfirmedForMs }
  }

  /**
   * Confirms a term to its leader: the record that this member has last read is that of this term, and no leader of a later one
   * has asked it to stop.
   */
  confirmTerm (term: number): boolean {
    if (this.leaderRecord?.term !== term || term < Math.max(this.latestSeenTerm, this.latestRequestedTerm, this.held?.term ?? 0)) return false
    this.confirmations.record(term)
    return true
  }

  /** Deletes the record of a leader whose process has ended, so that the members do not wait until its lease expires. */
  async removeEndedLeader (leader: LeaderRecord): Promise<void> {
    if (this.leaderRecord?.nonce !== leader.nonce) return
    const outcome = leader.lease === undefined ? await this.removeRecord() : await this.endLease(leader.lease)
    this.options.reporter.log('info', 'ended-leader-removed', { leader: leader.member, term: leader.term, outcome })
  }

  /** Ends the lease of a leader, and its record with it: one that runs on must not have its lease confirmed any more. */
  private async endLease (lease: LeaseId): Promise<string> {
    const ended = await callStore(this.options.store, { type: 'revoke-lease', lease })
    return ended.isErr() ? ended.error.reason : 'removed'
  }

  /** Removes the record of a leader of an older release, which does not name its lease. */
  private async removeRecord (): Promise<string> {
    const result = await transact(this.options.store, [requireUnchanged(LEADER_KEY, this.leaderVersion)], [], [LEADER_KEY])
    if (result.isErr()) return result.error.reason
    return result.value.committed ? 'removed' : 'changed'
  }

  /** Hands the leadership over to another member and stops claiming it. */
  async resign (): Promise<void> {
    this.isCandidate = false
    const { held } = this
    if (held === undefined) return
    this.stepDown('this member is stopping')
    await this.revokeLease(held.lease)
  }

  stop (): void {
    this.stopped.abort()
    clearTimeout(this.graceTimer)
    this.watcher.stop()
  }

  /** Whether what the watch reports late, as of this version of the store, came before the claim of the current term. */
  private isOlderThanClaim (version: number): boolean {
    return this.held !== undefined && version < this.held.version
  }

  private handleLeaderEntry (entry: StoreEntry | undefined): void {
    this.leaderRecord = entry === undefined ? undefined : parseRecord<LeaderRecord>(entry.value)
    this.leaderVersion = entry?.version
    this.latestSeenTerm = Math.max(this.latestSeenTerm, this.leaderRecord?.term ?? 0)
    this.options.reporter.log('info', 'leader-seen', { leader: this.leaderRecord?.member ?? 'none', term: this.leaderRecord?.term ?? 0, version: entry?.version ?? 0 })
    if (this.leaderRecord !== undefined && this.leaderRecord.member !== this.options.member) this.options.onOtherLeader?.(this.leaderRecord)
    if (this.held !== undefined && this.leaderRecord?.nonce !== this.held.nonce) this.stepDown('the store has another leader or none')
    if (this.leaderRecord !== undefined && this.isFromPreviousProcess(this.leaderRecord)) {
      this.removeEndedLeader(this.leaderRecord).catch((error: unknown) => this.options.reporter.log('error', 'leader-not-removed', { detail: String(error) }))
    }
    if (this.leaderRecord === undefined) this.claim().catch((error: unknown) => this.options.reporter.log('error', 'claim-failed', { detail: String(error) }))
  }

  /** Whether the record belongs to a previous process of this member at the same address. */
  private isFromPreviousProcess ({ member, address, nonce }: LeaderRecord): boolean {
    return member === this.options.member && address === this.options.address && nonce !== this.lastClaimNonce
  }

  private async claim (): Promise<void> {
    this.claimWanted = true
    if (this.claiming) return
    this.claiming = true
    try {
      // The leadership may become free again while a claim that was refused is being ended.
      while (this.claimWanted) {
        this.claimWanted = false
        await this.claimUntilDecided()
      }
    } finally {
      this.claiming = false
    }
  }

  private async claimUntilDecided (): Promise<void> {
    while (this.canClaim()) {
      await delay(computeClaimDelayMs(this.options.cores) + (this.options.isDetouring?.() === true ? DETOUR_DELAY_MS : 0), this.stopped.signal)
      if (!this.canClaim()) return
      const decided = await this.tryClaim()
      if (decided) return
      await delay(CLAIM_RETRY_DELAY_MS, this.stopped.signal)
    }
  }

  private canClaim (): boolean {
    return this.isCandidate && !this.stopped.signal.aborted && this.leaderRecord === undefined && this.held === undefined
  }

  /** Returns whether the claim is decided: this member or another one leads. */
  private async tryClaim (): Promise<boolean> {
    const { store, member, address } = this.options
    const previousEntry = await readKey(store, COMMIT_KEY)
    if (previousEntry.isErr()) return false
    const sentAt = Moment.now()
    // Read after the commit key, which the claim requires unchanged: the record is the one at the claim.
    const [lease, silentEntry] = await Promise.all([callStore(store, { type: 'grant-lease', ttlMs: LEASE_TTL_MS }), readKey(store, SILENT_TARGETS_KEY)])
    if (lease.isErr()) return false
    const previous = previousEntry.value === undefined ? undefined : parseRecord<CommitRecord>(previousEntry.value.value)
    const term = Math.max(previous?.term ?? 0, previous?.reservedTerm ?? 0) + 1
    const nonce = randomUUID()
    this.lastClaimNonce = nonce
    const record: LeaderRecord = { member, address, term, nonce, lease: lease.value.lease }
    const unsettled = listUnsettledTerms(previous)
    const witnesses = inheritWitnesses(previous?.witnesses, { member, address })
    const commit: CommitRecord = { term, nonce, leader: { member, address, bindsCommands: true }, unsettled, ...witnesses.length > 0 && { witnesses } }
    const silentTargets = this.refusedClaims >= MAX_REFUSED_CLAIMS ? {} : this.silentTargets.read(silentEntry.unwrapOr(undefined), previous?.term)
    const puts = [{ key: LEADER_KEY, value: JSON.stringify(record), lease: lease.value.lease }, { key: COMMIT_KEY, value: JSON.stringify(commit) }, ...formatClaimedSilentTargets(term, silentTargets)]
    const result = await transact(store, [{ type: 'absent', key: LEADER_KEY }, requireUnchanged(COMMIT_KEY, previousEntry.value?.version)], puts)
    this.refusedClaims = result.isErr() && result.error.verdict === 'not-applied' ? this.refusedClaims + 1 : 0
    if (result.isOk() && !result.value.committed) {
      await this.revokeLease(lease.value.lease)
      // Only another leader ends the claim; a commit of the previous one may have changed the commit key.
      return result.value.current.some(({ key }) => key === LEADER_KEY)
    }
    const version = result.isOk() ? result.value.version : await this.findCommitVersion(nonce)
    const obstacle = version === undefined ? 'the outcome of the claim is unknown' : this.findObstacle(term, sentAt)
    if (version === undefined || obstacle !== undefined) {
      this.options.reporter.log('warn', 'claim-given-up', { term, recorded: version !== undefined, reason: obstacle ?? '' })
      await this.revokeLease(lease.value.lease)
      return false
    }
    this.held = { lease: lease.value.lease, term, nonce, version, renewedAt: sentAt }
    this.limitGrace(sentAt)
    this.leaderRecord = record
    this.options.reporter.log('info', 'leadership-won', { term, version, unsettled: unsettled.map((earlier) => `${earlier.leader.member}/${earlier.term}`).join(',') })
    this.options.onElected({ term, commitVersion: version, unsettled, silentTargets, witnesses })
    return true
  }

  /** Returns why a recorded claim must not be used any more; undefined if it may. */
  private findObstacle (term: number, leaseRequestedAt: Moment): string | undefined {
    if (!this.isCandidate) return 'this member is stopping'
    if (term < this.latestRequestedTerm) return 'the leader of a later term requested it'
    return leaseRequestedAt.ageMs > LEASE_TTL_MS ? 'its lease may have expired' : undefined
  }

  /** Returns the version of the commit key if the claim with this nonce was applied although its response was lost. */
  private async findCommitVersion (nonce: string): Promise<number | undefined> {
    const entry = await readKey(this.options.store, COMMIT_KEY)
    if (entry.isErr() || entry.value === undefined) return undefined
    return parseRecord<CommitRecord>(entry.value.value)?.nonce === nonce ? entry.value.version : undefined
  }

  private async revokeLease (lease: LeaseId): Promise<void> {
    const revoked = await callStore(this.options.store, { type: 'revoke-lease', lease })
    if (revoked.isErr()) this.options.reporter.log('warn', 'lease-not-revoked', { lease, reason: revoked.error.reason })
  }

  private async runRenewalLoop (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await delay(RENEW_INTERVAL_MS, this.stopped.signal)
      if (this.held !== undefined) await this.renewLease(this.held)
    }
  }

  private async renewLease (held: HeldLeadership): Promise<void> {
    const sentAt = Moment.now()
    const response = await callStore(this.options.store, { type: 'renew-lease', lease: held.lease })
    if (this.held !== held) return
    if (response.isErr()) return
    if (!response.value.alive) return this.stepDown('its lease has expired')
    held.renewedAt = sentAt
    this.limitGrace(sentAt)
  }

  /** Steps down when the grace ends, whether or not a call to the store is pending then: a successor waits no longer. */
  private limitGrace (renewedAt: Moment): void {
    clearTimeout(this.graceTimer)
    this.graceTimer = setTimeout(() => this.stepDown('the store has not responded for too long'), LEASE_GRACE_MS - renewedAt.ageMs)
    this.graceTimer.unref()
  }
}

/** A record of the term before is not valid beyond a claim, so that the claim repeats it. */
function formatClaimedSilentTargets (term: number, targets: SilentTargetsById): readonly Put[] {
  return Object.keys(targets).length === 0 ? [] : [{ key: SILENT_TARGETS_KEY, value: formatSilentTargets(term, targets, performance.now()) }]
}

/**
 * Computes the delay of a claim in milliseconds. It prevents simultaneous claims and favours large hosts as leader.
 *
 * @example
 * await delay(computeClaimDelayMs(0.675))
 */
export function computeClaimDelayMs (cores: number): number {
  const smallHostDelayMs = cores < SMALL_HOST_CORES ? SMALL_HOST_DELAY_MS : 0
  return Math.max(0, UNDELAYED_CORES - cores) * DELAY_PER_MISSING_CORE_MS + smallHostDelayMs + Math.random() * CLAIM_JITTER_MS
}
