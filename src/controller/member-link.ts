import type { MemberCallClient } from '../adapters/grpc-member-calls.ts'
import type { ProbeResult } from '../adapters/probe-address.ts'
import type { AdviceResponse, CachedAdvice } from '../ports/command-client.ts'
import { assertNever } from '../util/assert-never.ts'
import type { JobPhase } from '../workflow/job.ts'
import type { Controller } from './controller.ts'
import { delay } from './delay.ts'
import { LeaderFailureDetector } from './leader-failure-detector.ts'
import type { Leadership } from './leadership.ts'
import type { MemberResponse, MemberCall, Peer } from './member-call.ts'
import type { AdviceCache } from './advice-cache.ts'
import type { Reporter } from './reporter.ts'
import type { LeaderRecord } from './store-keys.ts'

const HELLO_INTERVAL_MS = 1_000
/** A busy leader may answer late; a member that gave up too soon would count as gone. */
const HELLO_TIMEOUT_MS = 2_500
const LEADER_TIMEOUT_MS = 400
/** A count may be this old when a caller is told, in milliseconds. Source: the platform's bound for the number of waiting jobs. */
const WAITING_FRESH_MS = 2_000
/** Members that are asked whether the leader's address refuses connections. */
const WITNESSES = 2
/** How often, and how long after the last try, the leader is told of a job or of its cancelling. */
const TELL_ATTEMPTS = 8
const TELL_RETRY_MS = 300

export type MemberLinkOptions = {
  readonly self: Peer
  readonly calls: MemberCallClient
  readonly advisor: AdviceCache
  readonly report: Reporter
  readonly leadership: () => Leadership
  readonly probe: (address: string) => Promise<ProbeResult>
  /** Present while this member leads. */
  readonly controller: () => Controller | undefined
}

/** What the members of a cell say to each other: questions to the leader, and the leader's questions to the others. */
export class MemberLink {
  private readonly stopped = new AbortController()
  /** Waiting jobs by queue, as the leader told last. */
  private waiting: { readonly counts: Readonly<Record<string, number>>, readonly at: number } | undefined

  /** The other members, as the leader told last. */
  private peers: readonly Peer[] = []
  private readonly detector: LeaderFailureDetector

  private constructor (private readonly options: MemberLinkOptions) {
    this.detector = LeaderFailureDetector.create({
      probe: (leader) => options.probe(leader.address),
      confirm: (leader) => this.confirmRefusal(leader),
      remove: (leader) => options.leadership().removeEnded(leader),
      report: options.report
    })
  }

  /**
   * @example
   * const link = MemberLink.create({ self, calls, advisor, report, leadership, controller })
   * await MemberCallServer.listen({ address: self.address, onCall: (call) => link.answer(call) })
   */
  static create (options: MemberLinkOptions): MemberLink {
    return new MemberLink(options)
  }

  /** Begins to tell the leader that this member is there. */
  start (): void {
    this.helloLoop().catch((error: unknown) => this.options.report.log('error', 'hello-failed', { detail: String(error) }))
  }

  stop (): void {
    this.stopped.abort()
    this.options.calls.close()
  }

  /** Answers another member. */
  async answer (call: MemberCall): Promise<MemberResponse> {
    switch (call.type) {
      case 'hello': return this.welcome(call.peer)
      case 'job-stored': return this.note((controller) => controller.accept(call.definition))
      case 'cancel-stored': return this.note((controller) => controller.cancel(call.id))
      case 'phase': return this.phaseAnswer(call.id)
      case 'stand-down':
        return { type: 'stood-down', quietForMs: this.options.leadership().standDown(call.term) }
      case 'probe': return { type: 'probed', refused: await this.options.probe(call.address) === 'refused' }
      case 'advise': return { type: 'advice', answer: await this.options.advisor.advise(call.step, call.targets, call.timeoutMs) }
      case 'known-advice': return { type: 'known-advice', advice: this.options.advisor.known() }
      default: return assertNever(call)
    }
  }

  private welcome (peer: Peer): MemberResponse {
    const controller = this.options.controller()
    if (controller === undefined) return { type: 'not-leading' }
    controller.welcome(peer)
    return { type: 'welcome', peers: controller.members, waiting: controller.waiting }
  }

  private note (tell: (controller: Controller) => boolean): MemberResponse {
    const controller = this.options.controller()
    return controller !== undefined && tell(controller) ? { type: 'noted' } : { type: 'not-leading' }
  }

  private phaseAnswer (id: string): MemberResponse {
    const phase = this.phaseHere(id)
    return phase === 'unknown' ? { type: 'not-leading' } : { type: 'phase', phase }
  }

  private phaseHere (id: string): JobPhase | 'unknown' | undefined {
    const controller = this.options.controller()
    if (controller === undefined || !this.options.leadership().confirmed) return 'unknown'
    return controller.phaseOf(id)
  }

  /** Phase of a job as the leader knows it; undefined without a sure answer. */
  async askLeader (id: string): Promise<{ readonly phase: JobPhase | undefined } | undefined> {
    const here = this.phaseHere(id)
    if (here !== 'unknown') return { phase: here }
    const { leader } = this.options.leadership()
    if (leader === undefined || leader.member === this.options.self.member) return undefined
    const answer = await this.callLeader(leader, { type: 'phase', id }, LEADER_TIMEOUT_MS)
    return answer.isOk() && answer.value.type === 'phase' ? { phase: answer.value.phase } : undefined
  }

  /** Tells the leader what was stored. The leader also reads the store, so that a message that is lost costs only time. */
  tellLeader (call: MemberCall): void {
    this.tell(call).catch((error: unknown) => this.options.report.log('error', 'tell-failed', { detail: String(error) }))
  }

  /** Tries again while nobody leads, or the leader has not read the store yet. */
  private async tell (call: MemberCall): Promise<void> {
    for (let attempt = 0; attempt < TELL_ATTEMPTS && !this.stopped.signal.aborted; attempt += 1) {
      if (attempt > 0) await delay(TELL_RETRY_MS, this.stopped.signal)
      if (await this.tellOnce(call)) return
    }
    this.options.report.count('leader-not-told', call.type)
  }

  private async tellOnce (call: MemberCall): Promise<boolean> {
    if (this.options.controller() !== undefined) return (await this.answer(call)).type === 'noted'
    const { leader } = this.options.leadership()
    if (leader === undefined || leader.member === this.options.self.member) return false
    const answer = await this.callLeader(leader, call, LEADER_TIMEOUT_MS)
    return answer.isOk() && answer.value.type === 'noted'
  }

  /** Asks for advice through another member. */
  async askPeer (peer: Peer, step: string, targets: readonly string[], timeoutMs: number): Promise<AdviceResponse> {
    const answer = await this.options.calls.call(peer.address, { type: 'advise', step, targets, timeoutMs }, timeoutMs + LEADER_TIMEOUT_MS)
    if (answer.isErr()) return { type: 'failed', reason: answer.error.reason }
    return answer.value.type === 'advice' ? answer.value.answer : { type: 'failed', reason: 'no-advice' }
  }

  /** What a member has learned from the advisor lately; empty if it does not answer. */
  async askKnownAdvice (peer: Peer): Promise<readonly CachedAdvice[]> {
    if (peer.member === this.options.self.member) return this.options.advisor.known()
    const answer = await this.options.calls.call(peer.address, { type: 'known-advice' }, HELLO_INTERVAL_MS)
    if (answer.isOk() && answer.value.type === 'known-advice') return answer.value.advice
    this.options.report.count('known-advice-missing', answer.isErr() ? answer.error.reason : 'other-answer')
    return []
  }

  /** For how long a member has led no term below the given one, in milliseconds; undefined if it does not answer. */
  async askToStandDown (peer: Peer, term: number): Promise<number | undefined> {
    const answer = await this.options.calls.call(peer.address, { type: 'stand-down', term }, LEADER_TIMEOUT_MS)
    return answer.isOk() && answer.value.type === 'stood-down' ? answer.value.quietForMs : undefined
  }

  /** Waiting jobs of a queue; undefined if no leader has told lately. */
  waitingOf (queue: string): number | undefined {
    const controller = this.options.controller()
    if (controller !== undefined) return controller.waiting === undefined ? undefined : controller.waiting[queue] ?? 0
    if (this.waiting === undefined || performance.now() - this.waiting.at > WAITING_FRESH_MS) return undefined
    return this.waiting.counts[queue] ?? 0
  }

  private async helloLoop (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await this.sayHello()
      await delay(HELLO_INTERVAL_MS, this.stopped.signal)
    }
  }

  /** Tells the leader that this member can ask for advice; learns how many jobs wait. */
  async sayHello (): Promise<void> {
    const leader = this.options.leadership()?.leader
    if (leader === undefined || leader.member === this.options.self.member) return
    const sentAt = performance.now()
    const answer = await this.callLeader(leader, { type: 'hello', peer: this.options.self }, HELLO_TIMEOUT_MS)
    if (answer.isErr() || answer.value.type !== 'welcome') return
    if (answer.value.waiting !== undefined) this.waiting = { counts: answer.value.waiting, at: sentAt }
    this.peers = answer.value.peers.filter(({ member }) => member !== this.options.self.member)
  }

  /** A call that fails at once tells that the leader's process may have ended. */
  private async callLeader (leader: LeaderRecord, call: MemberCall, timeoutMs: number): ReturnType<MemberCallClient['call']> {
    const answer = await this.options.calls.call(leader.address, call, timeoutMs)
    if (answer.isErr() && answer.error.reason === 'unavailable') this.detector.suspect(leader)
    return answer
  }

  /** Whether another member finds that nothing listens at the leader's address; two are asked. */
  private async confirmRefusal (leader: LeaderRecord): Promise<boolean> {
    const others = this.peers.filter(({ member }) => member !== leader.member)
    const first = Math.floor(Math.random() * others.length)
    const witnesses = [...others.slice(first), ...others.slice(0, first)].slice(0, WITNESSES)
    const answers = await Promise.all(witnesses.map(({ address }) => this.options.calls.call(address, { type: 'probe', address: leader.address }, LEADER_TIMEOUT_MS)))
    return answers.some((answer) => answer.isOk() && answer.value.type === 'probed' && answer.value.refused)
  }
}
