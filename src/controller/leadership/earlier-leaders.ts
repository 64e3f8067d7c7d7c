import { CLOCK_DRIFT_FACTOR } from '../../workflow/takeover/earlier-lapse.ts'
import { delay } from '../delay.ts'
import { LEASE_GRACE_MS, MAX_CONFIRMATION_AGE_MS } from './leadership.ts'
import type { StandDown, Term } from './leadership.ts'
import type { Peer } from '../member-call.ts'
import { isStandDown } from '../member-call-guards.ts'
import type { ProcessState } from './process-probe.ts'
import type { Reporter } from '../reporter.ts'
import type { UnsettledTerm } from '../records/store-keys.ts'
import { WitnessAnswers } from './witness-answers.ts'
import { parseWitnesses } from './witness-set.ts'
import { CONFIRMATION_PERMITS_MS, RENEWAL_PERMITS_MS } from './witnesses.ts'

const RETRY_DELAY_MS = 300

export type EarlierLeadersOptions = {
  readonly term: Term
  readonly self: Peer
  readonly reporter: Reporter
  /** Asks a member to stop leading any earlier term; undefined without a response. */
  readonly requestStandDown: (peer: Peer, term: number) => Promise<StandDown | undefined>
  /**
   * Checks whether the process of a member that does not respond has ended; without it, none counts as ended. Links may refuse
   * connections to a process that runs, so that it is not asked about a leader with witnesses on record.
   */
  readonly checkProcess?: (peer: Peer) => Promise<ProcessState>
  /** Answers a request to stand down for this process. */
  readonly standDown: () => StandDown
  readonly isStopped: () => boolean
  /** The monotonic clock. */
  readonly now?: () => number
}

/**
 * The leaders of the earlier terms that are not settled: when the last of them sends no more commands, and when the leases of
 * their runs have expired. A term may have been recorded without its member's knowledge, or have ended before its leader knew
 * what the leaders before it had left running, so that the last of them alone says nothing.
 */
export class EarlierLeaders {
  /** When each of them sends no more commands, by address, on the monotonic clock. */
  private readonly commandsEndAt = new Map<string, number>()
  /** Addresses that have not answered. */
  private readonly silentAddresses = new Set<string>()
  private readonly createdAt: number
  private readonly witnessAnswers: WitnessAnswers

  private constructor (private readonly options: EarlierLeadersOptions) {
    this.createdAt = this.now()
    this.witnessAnswers = WitnessAnswers.create({ requestStandDown: (witness) => this.requestStandDown(witness), now: () => this.now() })
    for (const earlier of options.term.unsettled) {
      this.commandsEndAt.set(earlier.leader.address, this.createdAt + computeMaxCommandsMs(earlier))
      if (earlier.commandsEnded !== true) this.silentAddresses.add(earlier.leader.address)
    }
  }

  /**
   * Creates the leaders before a term, which may all still send commands.
   *
   * @example
   * const earlierLeaders = EarlierLeaders.create({ term, self, reporter, requestStandDown, standDown, isStopped })
   * await earlierLeaders.stop()
   */
  static create (options: EarlierLeadersOptions): EarlierLeaders {
    return new EarlierLeaders(options)
  }

  /** Asks each of them to stand down until it responds, or until it must have stopped. */
  async stop (): Promise<void> {
    await Promise.all(this.commandingTerms.flatMap((earlier) => [this.stopLeader(earlier), this.countOnWitnesses(earlier)]))
  }

  /** Asks each of them, and their witnesses, once. */
  async askOnce (): Promise<void> {
    await Promise.all(this.commandingTerms.flatMap((earlier) => [this.askLeader(earlier), this.askWitnesses(earlier)]))
  }

  /** The earlier terms as the next leader has to know them, with how long the commands of their leaders go on at most from now on. */
  get unsettled (): readonly UnsettledTerm[] {
    const now = this.now()
    return this.options.term.unsettled.map((earlier) => {
      const commandsEndInMs = Math.ceil(this.commandsEndAt.get(earlier.leader.address)! - now)
      return commandsEndInMs > 0 ? { ...earlier, commandsEndInMs } : { ...earlier, commandsEnded: true, commandsEndInMs }
    })
  }

  /** When the last of them sends no more commands, on the monotonic clock; -Infinity if there are none. */
  get lastCommandsEndAt (): number {
    return Math.max(-Infinity, ...this.commandsEndAt.values())
  }

  /**
   * Whether no run of an earlier term could be on a target any more at this time, if none of them has a longer lease than this and
   * nobody else has extended it.
   */
  haveRunsLapsedBy (time: number, longestLeaseMs: number): boolean {
    const lapsedAt = this.lastCommandsEndAt + longestLeaseMs * CLOCK_DRIFT_FACTOR
    return this.commandsEndAt.size === 0 || time > lapsedAt
  }

  /** The earlier terms whose leaders may have sent commands when this term began. */
  private get commandingTerms (): readonly UnsettledTerm[] {
    return this.options.term.unsettled.filter(({ commandsEnded }) => commandsEnded !== true)
  }

  private sendsCommands ({ leader }: UnsettledTerm): boolean {
    return this.now() < this.commandsEndAt.get(leader.address)!
  }

  /** Whether one of them may still accept jobs: its lease counts as confirmed for a while after its record was removed. */
  get mayAcceptJobs (): boolean {
    return this.silentAddresses.size > 0 && this.now() - this.createdAt <= MAX_CONFIRMATION_AGE_MS
  }

  private async stopLeader (earlier: UnsettledTerm): Promise<void> {
    const { reporter, isStopped } = this.options
    while (!isStopped() && this.sendsCommands(earlier)) {
      if (await this.askLeader(earlier)) return
      await delay(RETRY_DELAY_MS)
    }
    if (!isStopped()) reporter.log('warn', 'earlier-leader-silent', { member: earlier.leader.member, term: earlier.term })
  }

  /**
   * Returns whether it is known to send no more commands. A response from its address means that it has stopped, or that its
   * process has ended; so does an address without any listener of a member.
   */
  private async askLeader (earlier: UnsettledTerm): Promise<boolean> {
    const { leader, term } = earlier
    const { reporter, checkProcess } = this.options
    const standDown = await this.requestStandDown(leader)
    if (isStandDown(standDown)) {
      this.recordEnd(leader, standDown.quietForMs)
      reporter.log('info', 'earlier-leader-stopped', { member: leader.member, term, answer: standDown.type, quietForMs: Math.round(standDown.quietForMs) })
      return true
    }
    if (parseWitnesses(earlier.witnesses) !== undefined || await checkProcess?.(leader) !== 'ended') return false
    this.recordEnd(leader, 0)
    reporter.log('info', 'earlier-leader-ended', { member: leader.member, term, address: leader.address, by: 'no listener' })
    return true
  }

  /** Asks the witnesses of an earlier leader until enough have answered, or until it must have stopped. */
  private async countOnWitnesses (earlier: UnsettledTerm): Promise<void> {
    while (!this.options.isStopped() && this.sendsCommands(earlier)) {
      if (await this.askWitnesses(earlier)) return
      await delay(RETRY_DELAY_MS)
    }
  }

  /** Returns whether there are none, or enough of them have answered. */
  private async askWitnesses (earlier: UnsettledTerm): Promise<boolean> {
    const witnesses = parseWitnesses(earlier.witnesses)
    if (witnesses === undefined) return true
    await this.witnessAnswers.ask(witnesses)
    const lastConfirmedAt = this.witnessAnswers.getLastConfirmation(witnesses)
    if (lastConfirmedAt === undefined) return false
    this.recordWitnessed(earlier, lastConfirmedAt)
    return true
  }

  /** Its last renewal was sent before the election of this leader. */
  private recordWitnessed ({ leader, term }: UnsettledTerm, lastConfirmedAt: number): void {
    const { address } = leader
    const endsAt = Math.max(this.createdAt + RENEWAL_PERMITS_MS * CLOCK_DRIFT_FACTOR, lastConfirmedAt + CONFIRMATION_PERMITS_MS * CLOCK_DRIFT_FACTOR)
    if (endsAt >= this.commandsEndAt.get(address)!) return
    this.commandsEndAt.set(address, endsAt)
    this.options.reporter.log('info', 'earlier-leader-witnessed', { member: leader.member, term, commandsEndInMs: Math.round(endsAt - this.now()) })
  }

  private recordEnd ({ address }: Peer, quietForMs: number): void {
    this.commandsEndAt.set(address, Math.min(this.commandsEndAt.get(address)!, this.now() - quietForMs))
    this.silentAddresses.delete(address)
  }

  private async requestStandDown (leader: Peer): Promise<StandDown | undefined> {
    const { term, self, requestStandDown, standDown } = this.options
    return leader.address === self.address ? standDown() : requestStandDown(leader, term.term)
  }

  private now (): number {
    return this.options.now?.() ?? performance.now()
  }
}

/** Returns how long the commands of an earlier leader go on at most; a value that another release has written differently says nothing. */
function computeMaxCommandsMs ({ commandsEnded, commandsEndInMs }: UnsettledTerm): number {
  const unknownMs = commandsEnded === true ? 0 : LEASE_GRACE_MS
  return Number.isFinite(commandsEndInMs) ? Math.min(unknownMs, commandsEndInMs!) : unknownMs
}
