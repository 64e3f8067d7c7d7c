import { Moment } from '../../util/moment.ts'
import { LEASE_GRACE_MS } from './leadership.ts'
import type { Peer } from '../member-call.ts'
import type { Reporter } from '../reporter.ts'
import { chooseWitnesses, computeQuorum } from './witness-set.ts'

/** How long a confirmed renewal of the lease permits commands by itself, from its sending, in milliseconds. */
export const RENEWAL_PERMITS_MS = 1_000
/** How long the confirmation of a witness counts, from the sending of the call, in milliseconds. */
export const CONFIRMATION_PERMITS_MS = 1_000
/** Age of the last confirmed renewal from which the witnesses are asked, in milliseconds. */
const ASK_AFTER_MS = 700
/** Interval of the calls to each witness, and to each member that may become one, in milliseconds. */
const ASK_INTERVAL_MS = 250
/** How long the witnesses that the claim has stored are kept although they have sent no hello yet, in milliseconds. */
const KEEP_CLAIMED_MS = 5_000
/** Minimum time between two log lines on commands that are withheld, in milliseconds. */
const LOG_INTERVAL_MS = 1_000

export type WitnessesOptions = {
  readonly term: number
  readonly self: Peer
  /** The witnesses that the claim has stored; none without it. */
  readonly claimed?: readonly Peer[]
  readonly reporter: Reporter
  /** The other members that have sent a hello recently. */
  readonly getPeers: () => readonly Peer[]
  /** Asks a member to confirm that it knows of no later term; false without a response. Without it, there are no witnesses. */
  readonly requestConfirmation?: (peer: Peer, term: number) => Promise<boolean>
  /** When the last confirmed renewal was sent, on the monotonic clock. */
  readonly getAloneUntil: () => number
  /** Called when other witnesses are to be stored. */
  readonly onChosen: () => void
}

/**
 * The witnesses of a leader: members whose confirmations permit commands while the store does not respond. A successor asks
 * those on record to stop confirming, so that it need not wait for a leader that does not respond.
 */
export class Witnesses {
  private stored: readonly Peer[]
  private readonly createdAt = performance.now()
  /** Witnesses that may be stored already; undefined if none but `stored` are. */
  private pending: readonly Peer[] | undefined
  /** When the last call that was confirmed was sent, by address. */
  private readonly confirmedAt = new Map<string, Moment>()
  /** When each address was last asked, on the monotonic clock. */
  private readonly askedAt = new Map<string, number>()
  /** Number of calls without an outcome. */
  private pendingCalls = 0
  private withheld = false
  private loggedAt = -Infinity

  private constructor (private readonly options: WitnessesOptions) {
    this.stored = options.claimed ?? []
  }

  /**
   * Creates the witnesses of a term, of which none is stored but those of the claim.
   *
   * @example
   * const witnesses = Witnesses.create({ term: 3, self, reporter, getPeers, requestConfirmation, getAloneUntil, onChosen })
   * if (witnesses.permitCommands()) commands.start(target, command)
   */
  static create (options: WitnessesOptions): Witnesses {
    return new Witnesses(options)
  }

  /** The witnesses to be stored with the next commit. */
  get toStore (): readonly Peer[] {
    return this.pending ?? this.stored
  }

  /** To be called when a commit with these witnesses is stored; no earlier commit can be stored after it. */
  recordStored (witnesses: readonly Peer[]): void {
    if (witnesses !== this.pending) return
    this.stored = witnesses
    this.pending = undefined
  }

  /** To be called regularly: asks the witnesses if the store does not respond, else chooses them. */
  update (): void {
    if (this.renewalAgeMs > ASK_AFTER_MS) return this.ask([...this.stored, ...this.pending ?? []])
    if (this.pending !== undefined) return
    const peers = this.options.getPeers()
    this.ask(peers.filter(({ address }) => !this.confirmedAt.has(address)))
    // Members that are about to answer would change the witnesses again.
    if (this.pendingCalls === 0 || this.stored.length === 0) this.choose(peers)
  }

  /**
   * Whether the store or the witnesses have confirmed the term recently; true within the grace as long as none are stored. The
   * timer that ends the grace may be late.
   */
  permitCommands (): boolean {
    const { renewalAgeMs } = this
    const permitted = renewalAgeMs < RENEWAL_PERMITS_MS || (renewalAgeMs < LEASE_GRACE_MS && this.requiredSets.every((witnesses) => this.hasQuorum(witnesses)))
    if (permitted === this.withheld) this.report(permitted)
    this.withheld = !permitted
    return permitted
  }

  /** A successor may read either of them. */
  private get requiredSets (): ReadonlyArray<readonly Peer[]> {
    return [this.stored, this.pending ?? []].filter(({ length }) => length > 0)
  }

  /** The witnesses of the claim, for a while; not those that have said hello from another address since. */
  private selectClaimed (peers: readonly Peer[]): readonly Peer[] {
    if (performance.now() - this.createdAt >= KEEP_CLAIMED_MS) return []
    return (this.options.claimed ?? []).filter(({ member, address }) => !peers.some((peer) => peer.member === member && peer.address !== address))
  }

  private get renewalAgeMs (): number {
    return performance.now() - this.options.getAloneUntil()
  }

  private hasQuorum (witnesses: readonly Peer[]): boolean {
    return witnesses.filter((witness) => this.isConfirmedBy(witness)).length >= computeQuorum(witnesses.length)
  }

  private isConfirmedBy ({ address }: Peer): boolean {
    const confirmedAt = this.confirmedAt.get(address)
    return confirmedAt !== undefined && confirmedAt.ageMs < CONFIRMATION_PERMITS_MS
  }

  private choose (peers: readonly Peer[]): void {
    const { self, reporter, term, onChosen } = this.options
    const chosen = chooseWitnesses({ self, witnesses: this.stored, candidates: [...this.selectClaimed(peers), ...peers.filter(({ address }) => this.confirmedAt.has(address))] })
    const isSame = chosen.length === this.stored.length && chosen.every(({ address }) => this.stored.some((witness) => witness.address === address))
    if (isSame) return
    this.pending = chosen
    reporter.log('info', 'witnesses-chosen', { term, witnesses: formatMembers(chosen), before: formatMembers(this.stored) })
    onChosen()
  }

  private ask (peers: readonly Peer[]): void {
    const now = performance.now()
    for (const peer of peers) {
      if (now - (this.askedAt.get(peer.address) ?? -Infinity) < ASK_INTERVAL_MS) continue
      this.askedAt.set(peer.address, now)
      this.pendingCalls += 1
      this.requestConfirmation(peer).finally(() => { this.pendingCalls -= 1 }).catch((error: unknown) => this.options.reporter.log('error', 'witness-not-asked', { detail: String(error) }))
    }
  }

  private async requestConfirmation (peer: Peer): Promise<void> {
    const sentAt = Moment.now()
    if (await this.options.requestConfirmation?.(peer, this.options.term) !== true) return
    const previous = this.confirmedAt.get(peer.address)
    // Responses may arrive in another order than their calls were sent.
    if (previous === undefined || sentAt.ageMs < previous.ageMs) this.confirmedAt.set(peer.address, sentAt)
  }

  private report (permitted: boolean): void {
    const { reporter, term } = this.options
    const now = performance.now()
    if (now - this.loggedAt < LOG_INTERVAL_MS) return reporter.count('commands-withheld', permitted ? 'resumed' : 'withheld')
    this.loggedAt = now
    const witnesses = this.requiredSets.flat()
    const fields = { term, renewalAgeMs: Math.round(this.renewalAgeMs), witnesses: formatMembers(witnesses), confirmedBy: formatMembers(witnesses.filter((witness) => this.isConfirmedBy(witness))) }
    if (permitted) reporter.log('info', 'commands-resumed', fields)
    else reporter.log('warn', 'commands-withheld', fields)
  }
}

function formatMembers (peers: readonly Peer[]): string {
  return peers.map(({ member }) => member).join(',')
}
