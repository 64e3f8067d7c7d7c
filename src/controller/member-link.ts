import type { MemberCallClient } from '../adapters/grpc-member-calls.ts'
import type { ProbeResult } from '../adapters/probe-address.ts'
import type { AdviceResponse, CachedAdvice } from '../ports/command-client.ts'
import { assertNever } from '../util/assert-never.ts'
import type { Overload } from '../workflow/advice/advice-backlog.ts'
import { isCompletionForecast } from '../workflow/forecast/completion-forecast.ts'
import type { CompletionForecast } from '../workflow/forecast/completion-forecast.ts'
import { estimateJobBytes, isLargeJob } from '../workflow/held-jobs.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import type { Controller } from './controller.ts'
import { delay } from './delay.ts'
import { LeaderFailureDetector } from './leadership/leader-failure-detector.ts'
import type { Leadership, StandDown } from './leadership/leadership.ts'
import type { MemberResponse, MemberCall, Peer } from './member-call.ts'
import { LargeJobCredit } from './admission/large-job-credit.ts'
import type { AdviceCache } from './advice/advice-cache.ts'
import { isAdviceResponse, isAnnouncedJob, isCachedAdvice, isPeer, isTermNumber, isWelcome } from './member-call-guards.ts'
import type { Reporter } from './reporter.ts'
import type { LeaderRecord } from './records/store-keys.ts'
import type { StoreProxy } from './store-detour/store-proxy.ts'

const HELLO_INTERVAL_MS = 1_000
/** A busy leader may respond late, and a member with a shorter timeout would be considered gone. */
const HELLO_TIMEOUT_MS = 2_500
const CALL_TIMEOUT_MS = 400
/** Shorter than a confirmation counts. */
const CONFIRMATION_TIMEOUT_MS = 800
/**
 * Maximum age of a waiting job count that is returned to a caller, in milliseconds. It is the platform's limit for this
 * count.
 */
const MAX_WAITING_COUNT_AGE_MS = 2_000
/** Jobs are not refused on what the leader has sent longer ago, in milliseconds. */
const MAX_OVERLOADS_AGE_MS = 2_000
/** Number of members that are asked whether the leader's address refuses connections. */
const CONFIRMING_MEMBERS = 2
/** Maximum number of attempts to announce a job or its cancellation to the leader. */
const ANNOUNCE_ATTEMPTS = 8
const ANNOUNCE_RETRY_DELAY_MS = 300
/** Number of other members in the response to a hello; the whole list would grow with the square of the members. */
const SAMPLED_MEMBERS = 6

export type MemberLinkOptions = {
  readonly self: Peer
  readonly client: MemberCallClient
  readonly advisor: AdviceCache
  readonly reporter: Reporter
  readonly getLeadership: () => Leadership
  readonly probe: (address: string) => Promise<ProbeResult>
  /** The controller of this member; undefined while it does not lead. */
  readonly getController: () => Controller | undefined
  /** Makes calls to the store for other members; without it, they are refused. */
  readonly storeProxy?: StoreProxy
}

/** Handles the calls between the members of a cell: from members to the leader, and from the leader to members. */
export class MemberLink {
  private readonly stopped = new AbortController()
  /** Number of waiting jobs by queue, as last received from the leader. */
  private waitingJobs: { readonly counts: Readonly<Record<string, number>>, readonly at: number } | undefined

  /** Long waits for advice and for room, and which jobs should not be accepted, as last received from the leader. */
  private overloads: { readonly list: readonly Overload[], readonly forecasts: readonly CompletionForecast[], readonly isFull: boolean, readonly isFullForAll: boolean, readonly at: number } | undefined

  private readonly largeJobCredit = LargeJobCredit.create()

  /** The other members, as last received from the leader. */
  private peers: readonly Peer[] = []
  private readonly leaderFailureDetector: LeaderFailureDetector

  private constructor (private readonly options: MemberLinkOptions) {
    this.leaderFailureDetector = LeaderFailureDetector.create({
      probe: (leader) => options.probe(leader.address),
      confirm: (leader) => this.confirmRefusal(leader),
      remove: (leader) => options.getLeadership().removeEndedLeader(leader),
      reporter: options.reporter
    })
  }

  /**
   * Creates the link of one member.
   *
   * @example
   * const link = MemberLink.create({ self, client, advisor, reporter, getLeadership, probe, getController })
   * await MemberCallServer.listen({ address: self.address, onCall: (call) => link.handleCall(call) })
   */
  static create (options: MemberLinkOptions): MemberLink {
    return new MemberLink(options)
  }

  /** Starts to register this member with the leader periodically. */
  start (): void {
    this.runHelloLoop().catch((error: unknown) => this.options.reporter.log('error', 'hello-failed', { detail: String(error) }))
  }

  stop (): void {
    this.stopped.abort()
    this.options.client.close()
  }

  /** Handles a call from another member. `isAwaited`: whether that member still waits for the response. */
  async handleCall (call: MemberCall, isAwaited: () => boolean = () => true): Promise<MemberResponse> {
    switch (call.type) {
      case 'hello': return this.handleHello(call.peer)
      case 'job-stored': return this.handleAnnouncement((controller) => isAnnouncedJob(call.definition) && controller.acceptJob(call.definition))
      case 'cancel-stored': return this.handleAnnouncement((controller) => controller.cancelJob(call.id))
      case 'phase': return this.handlePhaseRequest(call.id)
      case 'stand-down':
        if (!isTermNumber(call.term)) return { type: 'not-leading' }
        return { type: 'stood-down', standDown: this.options.getLeadership().stepDownForTerm(call.term) }
      case 'confirm-term': return { type: 'term-confirmed', confirmed: this.options.getLeadership().confirmTerm(call.term) }
      case 'probe': return { type: 'probed', refused: await this.options.probe(call.address) === 'refused' }
      case 'advise': return { type: 'advice', answer: await this.options.advisor.advise(call.step, call.targets, call.timeoutMs) }
      case 'known-advice': return { type: 'known-advice', advice: this.options.advisor.getCachedAdvice() }
      case 'store-call': return await this.options.storeProxy?.serve(call.call, call.timeoutMs, isAwaited) ?? { type: 'store-call-refused', reason: 'off' }
      default: return assertNever(call)
    }
  }

  /** The other members that this one knows of; the leader among them if it has sent the others. */
  get knownMembers (): readonly Peer[] {
    const members = this.options.getController()?.members
    if (members !== undefined && members.length > 0) return members
    const leader = this.options.getLeadership()?.leader
    const isListed = leader === undefined || leader.member === this.options.self.member || this.peers.some(({ member }) => member === leader.member)
    return isListed ? this.peers : [...this.peers, { member: leader.member, address: leader.address }]
  }

  private handleHello (peer: Peer): MemberResponse {
    const controller = this.options.getController()
    if (controller === undefined || !isPeer(peer)) return { type: 'not-leading' }
    controller.recordPeer(peer)
    const { largeJobBytes } = controller
    return { type: 'welcome', peers: controller.sampleMembers(SAMPLED_MEMBERS), waiting: controller.waitingByQueue, overloads: controller.overloads, forecasts: controller.forecasts, isFull: controller.isFull, isFullForAll: controller.isFullForAll, ...largeJobBytes !== undefined && { largeJobBytes } }
  }

  private handleAnnouncement (applyToController: (controller: Controller) => boolean): MemberResponse {
    const controller = this.options.getController()
    return controller !== undefined && applyToController(controller) ? { type: 'noted' } : { type: 'not-leading' }
  }

  private handlePhaseRequest (id: string): MemberResponse {
    const phase = this.getLocalPhase(id)
    return phase === 'unknown' ? { type: 'not-leading' } : { type: 'phase', phase }
  }

  private getLocalPhase (id: string): JobPhase | 'unknown' | undefined {
    const controller = this.options.getController()
    if (controller === undefined || !this.options.getLeadership().isLeaseConfirmed) return 'unknown'
    return controller.getPhase(id)
  }

  /** Requests the phase of a job from the leader; undefined without a reliable response. */
  async requestPhase (id: string): Promise<{ readonly phase: JobPhase | undefined } | undefined> {
    const localPhase = this.getLocalPhase(id)
    if (localPhase !== 'unknown') return { phase: localPhase }
    const { leader } = this.options.getLeadership()
    if (leader === undefined || leader.member === this.options.self.member) return undefined
    const response = await this.callLeader(leader, { type: 'phase', id }, CALL_TIMEOUT_MS)
    return response.isOk() && response.value.type === 'phase' ? { phase: response.value.phase } : undefined
  }

  /**
   * Announces a stored job or cancellation to the leader. The leader also reads the store, so a lost announcement only
   * causes a delay.
   */
  announce (call: MemberCall): void {
    this.announceWithRetries(call).catch((error: unknown) => this.options.reporter.log('error', 'tell-failed', { detail: String(error) }))
  }

  /** Retries while no member leads or the leader has not read the store yet. */
  private async announceWithRetries (call: MemberCall): Promise<void> {
    for (let attempt = 0; attempt < ANNOUNCE_ATTEMPTS && !this.stopped.signal.aborted; attempt += 1) {
      if (attempt > 0) await delay(ANNOUNCE_RETRY_DELAY_MS, this.stopped.signal)
      if (await this.tryAnnounce(call)) return
    }
    this.options.reporter.count('leader-not-told', call.type)
  }

  private async tryAnnounce (call: MemberCall): Promise<boolean> {
    if (this.options.getController() !== undefined) return (await this.handleCall(call)).type === 'noted'
    const { leader } = this.options.getLeadership()
    if (leader === undefined || leader.member === this.options.self.member) return false
    const response = await this.callLeader(leader, call, CALL_TIMEOUT_MS)
    return response.isOk() && response.value.type === 'noted'
  }

  /** Requests advice through another member. */
  async requestAdvice (peer: Peer, step: string, targets: readonly string[], timeoutMs: number): Promise<AdviceResponse> {
    const response = await this.options.client.call(peer.address, { type: 'advise', step, targets, timeoutMs }, timeoutMs + CALL_TIMEOUT_MS)
    if (response.isErr()) return { type: 'failed', reason: response.error.reason }
    return response.value.type === 'advice' && isAdviceResponse(response.value.answer) ? response.value.answer : { type: 'failed', reason: 'no-advice' }
  }

  /** Requests the advisor responses that a member has cached; empty if it does not respond. */
  async requestCachedAdvice (peer: Peer): Promise<readonly CachedAdvice[]> {
    if (peer.member === this.options.self.member) return this.options.advisor.getCachedAdvice()
    const response = await this.options.client.call(peer.address, { type: 'known-advice' }, HELLO_INTERVAL_MS)
    if (response.isOk() && response.value?.type === 'known-advice' && Array.isArray(response.value.advice)) return response.value.advice.filter(isCachedAdvice)
    this.options.reporter.count('known-advice-missing', response.isErr() ? response.error.reason : 'other-answer')
    return []
  }

  /** Asks a member to stop leading terms before `term`; undefined if it does not respond. */
  async requestStandDown (peer: Peer, term: number): Promise<StandDown | undefined> {
    const response = await this.options.client.call(peer.address, { type: 'stand-down', term }, CALL_TIMEOUT_MS)
    return response.isOk() && response.value.type === 'stood-down' ? response.value.standDown : undefined
  }

  /** Asks a member to confirm that it knows of no later term; false without a response. */
  async requestConfirmation (peer: Peer, term: number): Promise<boolean> {
    const response = await this.options.client.call(peer.address, { type: 'confirm-term', term }, CONFIRMATION_TIMEOUT_MS)
    return response.isOk() && response.value.type === 'term-confirmed' && response.value.confirmed
  }

  /** Gets the number of waiting jobs of a queue; undefined if no leader has sent it recently. */
  getWaitingCount (queue: string): number | undefined {
    const controller = this.options.getController()
    if (controller !== undefined) return controller.waitingByQueue === undefined ? undefined : controller.waitingByQueue[queue] ?? 0
    if (this.waitingJobs === undefined || performance.now() - this.waitingJobs.at > MAX_WAITING_COUNT_AGE_MS) return undefined
    return this.waitingJobs.counts[queue] ?? 0
  }

  /** Gets the long waits for advice; empty if no leader has sent them recently. */
  getOverloads (): readonly Overload[] {
    const controller = this.options.getController()
    if (controller !== undefined) return controller.overloads
    if (this.overloads === undefined || performance.now() - this.overloads.at > MAX_OVERLOADS_AGE_MS) return []
    return this.overloads.list
  }

  /** Gets the long waits for room; empty if no leader has sent them recently. */
  getForecasts (): readonly CompletionForecast[] {
    const controller = this.options.getController()
    if (controller !== undefined) return controller.forecasts
    if (this.overloads === undefined || performance.now() - this.overloads.at > MAX_OVERLOADS_AGE_MS) return []
    return this.overloads.forecasts
  }

  /** Whether the jobs that have not ended leave no room in the leader's memory for a job; false if no leader has said so recently. */
  isLeaderFull (definition: JobDefinition): boolean {
    const state = this.options.getController() ?? this.overloads
    if (state === undefined || ('at' in state && performance.now() - state.at > MAX_OVERLOADS_AGE_MS)) return false
    return state.isFullForAll || (state.isFull && isLargeJob(estimateJobBytes(definition)))
  }

  /** Takes the memory that a job needs at the leader, if it is a large one; returns whether there is enough. */
  takeLargeJobCredit (definition: JobDefinition): boolean {
    const bytes = estimateJobBytes(definition)
    return !isLargeJob(bytes) || this.largeJobCredit.take(bytes, performance.now())
  }

  private async runHelloLoop (): Promise<void> {
    while (!this.stopped.signal.aborted) {
      await this.sendHello()
      await delay(HELLO_INTERVAL_MS, this.stopped.signal)
    }
  }

  /**
   * Registers this member with the leader as an advice channel, and receives the other members and the number of
   * waiting jobs.
   */
  async sendHello (): Promise<void> {
    const controller = this.options.getController()
    if (controller !== undefined) this.largeJobCredit.grant(controller.largeJobBytes, performance.now())
    const leader = this.options.getLeadership()?.leader
    if (leader === undefined || leader.member === this.options.self.member) return
    const sentAt = performance.now()
    const response = await this.callLeader(leader, { type: 'hello', peer: this.options.self }, HELLO_TIMEOUT_MS)
    if (response.isErr() || !isWelcome(response.value)) return
    if (response.value.waiting !== undefined) this.waitingJobs = { counts: response.value.waiting, at: sentAt }
    this.overloads = { list: response.value.overloads ?? [], forecasts: selectForecasts(response.value.forecasts), ...readFullness(response.value), at: sentAt }
    this.largeJobCredit.grant(response.value.largeJobBytes, sentAt)
    this.peers = response.value.peers.filter(({ member }) => member !== this.options.self.member)
  }

  /** Calls the leader. A call that fails immediately indicates that the leader's process may have ended. */
  private async callLeader (leader: LeaderRecord, call: MemberCall, timeoutMs: number): ReturnType<MemberCallClient['call']> {
    const response = await this.options.client.call(leader.address, call, timeoutMs)
    if (response.isErr() && response.error.reason === 'unavailable') this.leaderFailureDetector.suspect(leader)
    return response
  }

  /** Returns whether another member is refused a connection at the leader's address too. */
  private async confirmRefusal (leader: LeaderRecord): Promise<boolean> {
    const others = this.peers.filter(({ member }) => member !== leader.member)
    const firstIndex = Math.floor(Math.random() * others.length)
    const confirmingMembers = [...others.slice(firstIndex), ...others.slice(0, firstIndex)].slice(0, CONFIRMING_MEMBERS)
    const responses = await Promise.all(confirmingMembers.map(({ address }) => this.options.client.call(address, { type: 'probe', address: leader.address }, CALL_TIMEOUT_MS)))
    return responses.some((response) => response.isOk() && response.value.type === 'probed' && response.value.refused)
  }
}

/** A leader of the release before refuses all jobs or none. */
function readFullness ({ isFull = false, isFullForAll = isFull }: Extract<MemberResponse, { type: 'welcome' }>): { readonly isFull: boolean, readonly isFullForAll: boolean } {
  return { isFull, isFullForAll }
}

/** Damaged forecasts are dropped; what a leader of another release sends may have another form. */
function selectForecasts (forecasts: unknown): readonly CompletionForecast[] {
  return Array.isArray(forecasts) ? forecasts.filter(isCompletionForecast) : []
}
