import { randomUUID } from 'node:crypto'
import type { LeaseId, Store, StoreEntry } from '../ports/store.ts'
import { delay } from './delay.ts'
import type { Peer } from './member-call.ts'
import { PrefixWatcher } from './prefix-watcher.ts'
import type { Reporter } from './reporter.ts'
import { callStore, readKey, transact, unchanged } from './store-calls.ts'
import { COMMIT_KEY, LEADER_KEY, LEADER_PREFIX } from './store-keys.ts'
import type { CommitRecord, LeaderRecord } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

/** Time for which the store keeps the leader's key without a renewal, in milliseconds. */
const LEASE_TTL_MS = 1_500
const RENEW_INTERVAL_MS = 400
/**
 * While the store answers nobody, no other member can take over, so the leader goes on for this time after its lease
 * may have ended. A new leader that cannot reach a target waits for this time before it starts that target's tasks.
 */
export const UNCONFIRMED_MS = 8_000
/** Longest that the last renewal is behind while the leader takes new work, in milliseconds. */
const CONFIRMED_MS = LEASE_TTL_MS - 200
/** Claims of several members are spread over this time, in milliseconds. */
const CLAIM_SPREAD_MS = 40
/** A host with less than this many cores lets larger ones claim first. */
const AMPLE_CORES = 1.5
/** How much longer a host waits for each core that it lacks, in milliseconds. */
const DELAY_PER_CORE_MS = 150
const WATCH_WAIT_MS = 1_500
const CLAIM_RETRY_MS = 150

/** A term of leadership as it was won. */
export type Term = {
  readonly term: number
  /** Version of the commit key that the term begins with. */
  readonly commitVersion: number
  /** False if no member has ever led. */
  readonly hadPredecessor: boolean
  /** Who led before, as far as the store tells. */
  readonly predecessor: Peer | undefined
}

export type LeadershipOptions = {
  readonly store: Store
  readonly member: string
  readonly address: string
  /** Processor of this member's host, in cores; larger hosts claim first. */
  readonly cores: number
  readonly report: Reporter
  readonly onElected: (term: Term) => void
  readonly onDeposed: (reason: string) => void
  /** Another member leads than before. */
  readonly onLeader?: (leader: LeaderRecord) => void
}

type Held = { readonly lease: LeaseId, readonly term: number, readonly nonce: string, renewedAt: number }

/**
 * Claims the leadership whenever nobody holds it, and keeps it by renewing a lease of the store.
 *
 * @example
 * const leadership = Leadership.create({ store, member: 'entry-1', address: '10.0.0.1:7420', report, onElected, onDeposed })
 */
export class Leadership {
  private readonly watcher: PrefixWatcher
  private readonly stopped = new AbortController()
  private held: Held | undefined
  private seen: LeaderRecord | undefined
  private seenVersion: number | undefined
  /** When this process led last; 0, its start, if it never has. */
  private deposedAt = 0
  /** Nonce of the last claim of this process. */
  private claimed: string | undefined
  private claiming = false
  private candidate = true

  private constructor (private readonly options: LeadershipOptions) {
    this.watcher = PrefixWatcher.create({
      store: options.store,
      prefix: LEADER_PREFIX,
      waitMs: WATCH_WAIT_MS,
      report: options.report,
      onEntries: (entries) => this.see(entries.find((entry) => entry.key === LEADER_KEY)),
      onChanges: (changes) => {
        const last = changes.filter((change) => (change.type === 'put' ? change.entry.key : change.key) === LEADER_KEY).at(-1)
        if (last !== undefined) this.see(last.type === 'put' ? last.entry : undefined)
      }
    })
    this.renewLoop().catch((error: unknown) => options.report.log('error', 'renewal-failed', { detail: String(error) }))
  }

  static create (options: LeadershipOptions): Leadership {
    return new Leadership(options)
  }

  /** Who leads, as far as this member has seen. */
  get leader (): LeaderRecord | undefined {
    return this.seen
  }

  get leading (): boolean {
    return this.held !== undefined
  }

  /** Whether the store has confirmed the lease so recently that no other member can hold it. */
  get confirmed (): boolean {
    return this.held !== undefined && performance.now() - this.held.renewedAt < CONFIRMED_MS
  }

  /** Gives up the leadership, for example because a target has heard a newer term. */
  depose (reason: string): void {
    if (this.held === undefined) return
    const { term } = this.held
    this.held = undefined
    this.deposedAt = performance.now()
    this.options.report.log('warn', 'leadership-lost', { term, reason })
    this.options.onDeposed(reason)
  }

  /**
   * Stops leading because a member has won a later term. Returns for how long this process has sent no orders of an
   * earlier term, in milliseconds; a process that never led has sent none since its start.
   */
  standDown (term: number): number {
    if (this.held !== undefined && this.held.term < term) this.depose('a later leader asked for it')
    return performance.now() - this.deposedAt
  }

  /** Removes the record of a leader whose process has ended, so that its lease need not run out. */
  async removeEnded (leader: LeaderRecord): Promise<void> {
    if (this.seen?.nonce !== leader.nonce) return
    const removed = await transact(this.options.store, [unchanged(LEADER_KEY, this.seenVersion)], [], [LEADER_KEY])
    const outcome = removed.isErr() ? removed.error.reason : removed.value.committed ? 'removed' : 'changed'
    this.options.report.log('info', 'ended-leader-removed', { leader: leader.member, term: leader.term, outcome })
  }

  /** Leaves the leadership to another member and takes no part in claims any more. */
  async resign (): Promise<void> {
    this.candidate = false
    const { held } = this
    if (held === undefined) return
    this.depose('this member is stopping')
    await this.revoke(held.lease)
  }

  stop (): void {
    this.stopped.abort()
    this.watcher.stop()
  }

  private see (entry: StoreEntry | undefined): void {
    this.seen = entry === undefined ? undefined : parseRecord<LeaderRecord>(entry.value)
    this.seenVersion = entry?.version
    this.options.report.log('info', 'leader-seen', { leader: this.seen?.member ?? 'none', term: this.seen?.term ?? 0, version: entry?.version ?? 0 })
    if (this.seen !== undefined && this.seen.member !== this.options.member) this.options.onLeader?.(this.seen)
    if (this.held !== undefined && this.seen?.nonce !== this.held.nonce) this.depose('the store names another leader or none')
    if (this.seen !== undefined && this.isOfEarlierProcess(this.seen)) {
      this.removeEnded(this.seen).catch((error: unknown) => this.options.report.log('error', 'leader-not-removed', { detail: String(error) }))
    }
    if (this.seen === undefined) this.claim().catch((error: unknown) => this.options.report.log('error', 'claim-failed', { detail: String(error) }))
  }

  /** Whether a process that has ended won this leadership at the address of the present one. */
  private isOfEarlierProcess ({ member, address, nonce }: LeaderRecord): boolean {
    return member === this.options.member && address === this.options.address && nonce !== this.claimed
  }

  private async claim (): Promise<void> {
    if (this.claiming) return
    this.claiming = true
    try {
      while (this.mayClaim()) {
        await delay(claimDelayMs(this.options.cores), this.stopped.signal)
        if (!this.mayClaim()) return
        const claimed = await this.tryClaim()
        if (claimed) return
        await delay(CLAIM_RETRY_MS, this.stopped.signal)
      }
    } finally {
      this.claiming = false
    }
  }

  private mayClaim (): boolean {
    return this.candidate && !this.stopped.signal.aborted && this.seen === undefined && this.held === undefined
  }

  /** Whether the claim was decided, for or against this member. */
  private async tryClaim (): Promise<boolean> {
    const { store, member, address } = this.options
    const before = await readKey(store, COMMIT_KEY)
    if (before.isErr()) return false
    const sentAt = performance.now()
    const lease = await callStore(store, { type: 'grant-lease', ttlMs: LEASE_TTL_MS })
    if (lease.isErr()) return false
    const previous = before.value === undefined ? undefined : parseRecord<CommitRecord>(before.value.value)
    const term = (previous?.term ?? 0) + 1
    const nonce = randomUUID()
    this.claimed = nonce
    const record: LeaderRecord = { member, address, term, nonce }
    const commit: CommitRecord = { term, nonce, leader: { member, address } }
    const puts = [{ key: LEADER_KEY, value: JSON.stringify(record), lease: lease.value.lease }, { key: COMMIT_KEY, value: JSON.stringify(commit) }]
    const written = await transact(store, [{ type: 'absent', key: LEADER_KEY }, unchanged(COMMIT_KEY, before.value?.version)], puts)
    const version = written.isOk() ? (written.value.committed ? written.value.version : undefined) : await this.findOutcome(nonce)
    if (version === undefined || !this.candidate) {
      await this.revoke(lease.value.lease)
      return written.isOk()
    }
    this.held = { lease: lease.value.lease, term, nonce, renewedAt: sentAt }
    this.seen = record
    this.options.report.log('info', 'leadership-won', { term, version })
    this.options.onElected({ term, commitVersion: version, hadPredecessor: previous !== undefined, predecessor: previous?.leader })
    return true
  }

  /** Version of the commit key if the claim with this nonce took effect although its answer was lost. */
  private async findOutcome (nonce: string): Promise<number | undefined> {
    const entry = await readKey(this.options.store, COMMIT_KEY)
    if (entry.isErr() || entry.value === undefined) return undefined
    return parseRecord<CommitRecord>(entry.value.value)?.nonce === nonce ? entry.value.version : undefined
  }

  private async revoke (lease: LeaseId): Promise<void> {
    const revoked = await callStore(this.options.store, { type: 'revoke-lease', lease })
    if (revoked.isErr()) this.options.report.log('warn', 'lease-not-revoked', { lease, reason: revoked.error.reason })
  }

  private async renewLoop (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await delay(RENEW_INTERVAL_MS, this.stopped.signal)
      if (this.held !== undefined) await this.renew(this.held)
    }
  }

  private async renew (held: Held): Promise<void> {
    const sentAt = performance.now()
    const answer = await callStore(this.options.store, { type: 'renew-lease', lease: held.lease })
    if (this.held !== held) return
    if (answer.isOk() && answer.value.alive) held.renewedAt = sentAt
    else if (answer.isOk()) this.depose('its lease has ended')
    else if (performance.now() - held.renewedAt > LEASE_TTL_MS + UNCONFIRMED_MS) this.depose('the store has not answered for too long')
  }
}

/**
 * How long a claim waits, so that claims do not meet and the leader's work falls to a large host.
 *
 * @example
 * await delay(claimDelayMs(0.675))
 */
export function claimDelayMs (cores: number): number {
  return Math.max(0, AMPLE_CORES - cores) * DELAY_PER_CORE_MS + Math.random() * CLAIM_SPREAD_MS
}
