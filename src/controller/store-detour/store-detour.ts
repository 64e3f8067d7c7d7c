import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ObservedStore, StoreCall, StoreFailure, StoreResponse } from '../../ports/store.ts'
import { assertNever } from '../../util/assert-never.ts'
import { delay } from '../delay.ts'
import type { MemberCall, MemberCallFailure, MemberResponse, Peer } from '../member-call.ts'
import { LEADER_KEY } from '../records/store-keys.ts'
import type { Reporter } from '../reporter.ts'
import { waitAtMost } from '../wait-at-most.ts'
import { fitsMessage } from './message-limit.ts'
import { isProxyUsable, judgeAnswer, mayRepeat } from './proxy-answer.ts'
import type { ProxyAnswer } from './proxy-answer.ts'
import { FAILURE_MEMORY_MS, orderProxies } from './proxy-order.ts'
import { INITIAL_ROUTE, advanceRoute, findDetourStart, isDirectTrialDue, isSearchDue } from './route.ts'
import type { FoundWay, Route, RouteEvent } from './route.ts'

/** A call of this member that has had no response for this time, in milliseconds, is a reason to search another way. */
const DIRECT_PATIENCE_MS = 300
/** Time for a trial of a way, in milliseconds. */
const TRIAL_TIMEOUT_MS = 300
/** Time by which the trial of the own way may end later than that of a proxy, in milliseconds: one slow call is no reason for a detour. */
const DIRECT_PREFERENCE_MS = 50
/** Time limit of a call that a proxy makes, in milliseconds. */
const PROXIED_CALL_TIMEOUT_MS = 400
/** Time for a message to the proxy and back, in addition to the time limit of the call, in milliseconds. */
const MESSAGE_MARGIN_MS = 100
/** Number of members that are tried as proxies at the same time. */
const TRIED_PROXIES = 3
/** Interval at which changes are read while the own watch does not work, in milliseconds. */
const POLL_INTERVAL_MS = 400
/** A read that costs the store little. */
const TRIAL_CALL: StoreCall = { type: 'read', prefix: LEADER_KEY, limit: 1 }

type StoreResult = Result<StoreResponse, StoreFailure>

const NOT_SENT = err<StoreResponse, StoreFailure>({ reason: 'unavailable', verdict: 'not-applied' })
const NO_RESPONSE = err<StoreResponse, StoreFailure>({ reason: 'timeout', verdict: 'may-have-applied' })
const TOO_LARGE = err<StoreResponse, StoreFailure>({ reason: 'too-large', verdict: 'not-applied' })

export type StoreDetourOptions = {
  /** The own way to the store. */
  readonly direct: ObservedStore
  readonly self: Peer
  readonly reporter: Reporter
  /** The other members that are known. */
  readonly getPeers: () => readonly Peer[]
  /** Address of the leader, if known. */
  readonly getLeaderAddress: () => string | undefined
  readonly callMember: (address: string, call: MemberCall, timeoutMs: number) => Promise<Result<MemberResponse, MemberCallFailure>>
}

/**
 * The store as one member reaches it: by its own calls or, while these fail and another member reports that the store serves it,
 * through that member.
 */
export class StoreDetour implements ObservedStore {
  private route: Route = INITIAL_ROUTE
  private search: Promise<void> | undefined
  private readonly failedProxies = new Map<string, number>()
  /** Ends the waits of own watches, which a store that is silent would answer late. */
  private readonly watchEnds = new Set<() => void>()

  private constructor (private readonly options: StoreDetourOptions) {}

  /**
   * Creates the detour of a member that uses its own way.
   *
   * @example
   * const store = StoreDetour.create({ direct: kvStore, self, reporter, getPeers, getLeaderAddress, callMember })
   */
  static create (options: StoreDetourOptions): StoreDetour {
    return new StoreDetour(options)
  }

  /** Whether a call is likely to be served; true during the first search, for which calls wait. */
  get isResponsive (): boolean {
    return this.options.direct.isResponsive || this.route.type === 'detour' || this.route.type === 'searching'
  }

  /** Whether calls go through another member at present. */
  get isDetouring (): boolean {
    return findDetourStart(this.route) !== undefined
  }

  async call (call: StoreCall): Promise<StoreResult> {
    const hasWaited = this.route.type === 'searching'
    if (hasWaited) await this.search
    const { route } = this
    // As it was not sent yet, the caller needn't wait for a store that is likely to be silent.
    if (hasWaited && route.type === 'lost') return NOT_SENT
    switch (route.type) {
      case 'direct': return this.callDirectly(call)
      case 'lost': return this.callWithoutDetour(call)
      case 'detour': return this.callThrough(route.proxy, call)
      case 'searching': return NOT_SENT
      default: return assertNever(route)
    }
  }

  /** Calls the store as without the detour; the search is repeated beside that. */
  private async callWithoutDetour (call: StoreCall): Promise<StoreResult> {
    const pending = this.options.direct.call(call)
    const result = call.type === 'watch' ? await this.waitForWatch(pending) : await pending
    if (result === undefined) return this.route.type === 'detour' ? this.callThrough(this.route.proxy, call) : pending
    if (result.isOk()) this.apply({ type: 'direct-worked' })
    else this.searchIfDue().catch((error: unknown) => this.reportError(error))
    return result
  }

  private async callDirectly (call: StoreCall): Promise<StoreResult> {
    const pending = this.options.direct.call(call)
    const early = call.type === 'watch' ? await this.waitForWatch(pending) : await waitAtMost(pending, DIRECT_PATIENCE_MS)
    // A failure while the store serves other calls concerns this call.
    if (early !== undefined && (early.isOk() || this.options.direct.isResponsive)) return early
    this.apply({ type: 'direct-failed' })
    const search = this.searchIfDue()
    const result = early ?? await Promise.race([pending, search.then(() => undefined)])
    if (result !== undefined && result.isOk()) {
      this.apply({ type: 'direct-worked' })
      return result
    }
    await search
    if (this.route.type !== 'detour') return pending
    const failure = result === undefined ? NO_RESPONSE : result
    return mayRepeat(call, failure.error) ? this.callThrough(this.route.proxy, call) : failure
  }

  /** Waits for the response to an own watch; undefined if a detour begins before. */
  private async waitForWatch (pending: Promise<StoreResult>): Promise<StoreResult | undefined> {
    let end = (): void => {}
    const ended = new Promise<undefined>((resolve) => { end = () => resolve(undefined) })
    this.watchEnds.add(end)
    try {
      return await Promise.race([pending, ended])
    } finally {
      this.watchEnds.delete(end)
    }
  }

  /** Calls the store through a proxy, and once more on another way if that one has not made the call, or it changes nothing. */
  private async callThrough (proxy: Peer, call: StoreCall): Promise<StoreResult> {
    if (!fitsMessage(call)) return TOO_LARGE
    this.tryDirectIfDue()
    const { outcome, result } = await this.askProxy(proxy, call)
    if (result.isOk()) return this.pace(call, result)
    if (isProxyUsable(outcome)) return result
    await this.searchIfDue()
    if (!mayRepeat(call, result.error)) return result
    if (this.route.type === 'direct') return this.options.direct.call(call)
    return this.route.type === 'detour' ? (await this.askProxy(this.route.proxy, call)).result : result
  }

  private async askProxy (proxy: Peer, call: StoreCall, timeoutMs = PROXIED_CALL_TIMEOUT_MS): Promise<ProxyAnswer> {
    const sent = call.type === 'watch' ? { ...call, waitMs: 0 } : call
    const response = await this.options.callMember(proxy.address, { type: 'store-call', call: sent, timeoutMs }, timeoutMs + MESSAGE_MARGIN_MS)
    const answer = judgeAnswer(call, response)
    this.options.reporter.count('store-detour', answer.outcome)
    if (isProxyUsable(answer.outcome)) return answer
    this.failedProxies.set(proxy.address, performance.now())
    this.apply({ type: 'proxy-failed', proxy })
    return answer
  }

  /** Delays a response without changes, so that changes are read at an interval in place of a watch. */
  private async pace (call: StoreCall, result: StoreResult): Promise<StoreResult> {
    const hasNoNews = result.isOk() && result.value.type === 'watch' && result.value.changes.length === 0 && !result.value.compacted
    if (call.type === 'watch' && hasNoNews) await delay(Math.min(call.waitMs, POLL_INTERVAL_MS))
    return result
  }

  /** Searches a way if that is due; resolves at the end of the search. */
  private searchIfDue (): Promise<void> {
    if (this.search === undefined && isSearchDue(this.route, performance.now())) this.search = this.searchWay()
    return this.search ?? Promise.resolve()
  }

  private async searchWay (): Promise<void> {
    const found = await this.findWay()
    // The route that follows may need the next search at once.
    this.search = undefined
    this.options.reporter.count('store-detour', `found-${found.type}`)
    this.apply({ type: 'search-ended', found })
  }

  private async findWay (): Promise<FoundWay> {
    const now = performance.now()
    for (const [address, failedAt] of this.failedProxies) {
      if (now - failedAt >= FAILURE_MEMORY_MS) this.failedProxies.delete(address)
    }
    const { getPeers, getLeaderAddress, self } = this.options
    const candidates = orderProxies({ candidates: getPeers(), ownDomain: self.failureDomain, leader: getLeaderAddress(), failedAt: this.failedProxies, now })
    try {
      const direct = this.tryDirect()
      return await findFirst([direct, ...candidates.slice(0, TRIED_PROXIES).map((proxy) => this.tryProxy(proxy, direct))])
    } catch (error) {
      this.reportError(error)
      return { type: 'none' }
    }
  }

  private async tryDirect (): Promise<FoundWay> {
    const result = await this.options.direct.call(TRIAL_CALL, { timeoutMs: TRIAL_TIMEOUT_MS })
    return { type: result.isOk() ? 'direct' : 'none' }
  }

  /** `direct`: the trial of the own way, which may end a little later and be preferred. */
  private async tryProxy (proxy: Peer, direct: Promise<FoundWay>): Promise<FoundWay> {
    const { result } = await this.askProxy(proxy, TRIAL_CALL, TRIAL_TIMEOUT_MS)
    await waitAtMost(direct, DIRECT_PREFERENCE_MS)
    return result.isOk() ? { type: 'proxy', proxy } : { type: 'none' }
  }

  private tryDirectIfDue (): void {
    if (!isDirectTrialDue(this.route, performance.now())) return
    this.apply({ type: 'direct-tried' })
    this.tryDirect().then(({ type }) => { if (type === 'direct') this.apply({ type: 'direct-worked' }) }, (error: unknown) => this.reportError(error))
  }

  private apply (event: RouteEvent): void {
    const before = findDetourStart(this.route)
    this.route = advanceRoute(this.route, event, performance.now())
    const { route } = this
    if (before === undefined && route.type === 'detour') this.reportBegin(route.proxy)
    else if (before !== undefined && !this.isDetouring) this.reportEnd(route.type, before)
    // Calls wait for the search, whichever event has caused it.
    if (route.type === 'searching') this.searchIfDue().catch((error: unknown) => this.reportError(error))
  }

  private reportBegin (proxy: Peer): void {
    const { reporter, direct } = this.options
    reporter.count('store-detour', 'begun')
    reporter.log('warn', 'store-detour-begun', { proxy: proxy.member, failureDomain: proxy.failureDomain ?? '', peers: this.options.getPeers().length, directResponds: direct.isResponsive })
    for (const end of this.watchEnds) end()
  }

  private reportEnd (reason: Route['type'], since: number): void {
    this.options.reporter.count('store-detour', `ended-${reason}`)
    this.options.reporter.log('info', 'store-detour-ended', { reason, durationMs: Math.round(performance.now() - since) })
  }

  private reportError (error: unknown): void {
    this.options.reporter.log('error', 'store-detour-failed', { detail: String(error) })
  }
}

/** Waits for the first way that works; `none` once all have failed. */
function findFirst (trials: ReadonlyArray<Promise<FoundWay>>): Promise<FoundWay> {
  return new Promise((resolve, reject) => {
    for (const trial of trials) trial.then((found) => { if (found.type !== 'none') resolve(found) }, reject)
    Promise.all(trials).then(() => resolve({ type: 'none' }), reject)
  })
}
