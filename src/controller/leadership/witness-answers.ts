import type { StandDown } from './leadership.ts'
import type { Peer } from '../member-call.ts'
import { computeBlockingCount } from './witness-set.ts'

export type WitnessAnswersOptions = {
  /** Asks a member to confirm no earlier term any more; undefined without a response. */
  readonly requestStandDown: (peer: Peer) => Promise<StandDown | undefined>
  /** The monotonic clock. */
  readonly now: () => number
}

/**
 * What the witnesses of earlier leaders have answered to a new leader. A witness that has answered confirms no earlier term any
 * more: its process does not, and one that starts after it reads the record of a later term.
 */
export class WitnessAnswers {
  /** When each witness that has answered may have confirmed an earlier term for the last time, by address. */
  private readonly lastConfirmedAt = new Map<string, number>()
  private readonly pendingCalls = new Map<string, Promise<void>>()

  private constructor (private readonly options: WitnessAnswersOptions) {}

  /**
   * Creates the answers of a new leader, to which nobody has answered.
   *
   * @example
   * const answers = WitnessAnswers.create({ requestStandDown, now })
   * await answers.ask(witnesses)
   * answers.getLastConfirmation(witnesses) // undefined if too few have answered
   */
  static create (options: WitnessAnswersOptions): WitnessAnswers {
    return new WitnessAnswers(options)
  }

  /** Asks those of the witnesses that have not answered, each of them once at a time. */
  async ask (witnesses: readonly Peer[]): Promise<void> {
    await Promise.all(witnesses.filter(({ address }) => !this.lastConfirmedAt.has(address)).map((witness) => this.askOnce(witness)))
  }

  /**
   * Returns when a leader with these witnesses may have had enough confirmations for the last time, on the monotonic clock;
   * undefined if too few have answered.
   */
  getLastConfirmation (witnesses: readonly Peer[]): number | undefined {
    const times = witnesses.flatMap(({ address }) => this.lastConfirmedAt.get(address) ?? [])
    return times.sort((left, right) => left - right)[computeBlockingCount(witnesses.length) - 1]
  }

  private askOnce (witness: Peer): Promise<void> {
    const { address } = witness
    const pending = this.pendingCalls.get(address) ?? this.request(witness).finally(() => this.pendingCalls.delete(address))
    this.pendingCalls.set(address, pending)
    return pending
  }

  private async request (witness: Peer): Promise<void> {
    const answer = await this.options.requestStandDown(witness)
    const ageMs = answer?.unconfirmedForMs
    // A member of an older release does not tell it.
    if (ageMs === undefined || !Number.isFinite(ageMs) || ageMs < 0) return
    this.lastConfirmedAt.set(witness.address, this.options.now() - ageMs)
  }
}
