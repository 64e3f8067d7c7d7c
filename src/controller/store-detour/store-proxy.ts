import type { ObservedStore, StoreCall } from '../../ports/store.ts'
import { Moment } from '../../util/moment.ts'
import type { MemberResponse, StoreCallRefusal } from '../member-call.ts'
import type { Reporter } from '../reporter.ts'
import { shortenResponse } from './message-limit.ts'
import { isStoreCall } from './store-call-guards.ts'

/** Maximum number of calls for other members at a time; the client of the store has 12 connections for all calls. */
export const MAX_PROXIED_CALLS = 6
/** Maximum time limit of a call, in milliseconds. */
const MAX_TIMEOUT_MS = 1_000

export type StoreProxyOptions = {
  /** The own way to the store, so that no call is passed on to a third member. */
  readonly direct: ObservedStore
  readonly reporter: Reporter
}

/** Makes calls to the store for members that have lost it. */
export class StoreProxy {
  private callsInProgress = 0

  private constructor (private readonly options: StoreProxyOptions) {}

  /**
   * Creates the proxy of a member.
   *
   * @example
   * const response = await StoreProxy.create({ direct, reporter }).serve(call, 400, () => true)
   */
  static create (options: StoreProxyOptions): StoreProxy {
    return new StoreProxy(options)
  }

  /**
   * Makes a call that another member has sent. `timeoutMs`: how long that member waits. `isAwaited`: whether it still does. A call
   * that nobody waits for is not sent, nor one that has waited for a connection for too long.
   */
  async serve (call: unknown, timeoutMs: unknown, isAwaited: () => boolean): Promise<MemberResponse> {
    const receivedAt = Moment.now()
    if (!isStoreCall(call) || typeof timeoutMs !== 'number') return this.refuse('malformed')
    if (this.callsInProgress >= MAX_PROXIED_CALLS) return this.refuse('busy')
    if (!this.options.direct.isResponsive) return this.refuse('lost')
    const limitMs = Math.min(timeoutMs, MAX_TIMEOUT_MS)
    const mayBeSent = (): boolean => isAwaited() && receivedAt.ageMs < limitMs
    this.callsInProgress += 1
    try {
      // After a pause of the process the end of a call may be read right after the call.
      await new Promise((resolve) => { setImmediate(resolve) })
      return mayBeSent() ? await this.send(call, limitMs - receivedAt.ageMs, mayBeSent) : this.refuse('late')
    } finally {
      this.callsInProgress -= 1
    }
  }

  private async send (call: StoreCall, timeoutMs: number, mayBeSent: () => boolean): Promise<MemberResponse> {
    const { direct, reporter } = this.options
    const result = await direct.call(call.type === 'watch' ? { ...call, waitMs: 0 } : call, { timeoutMs, mayBeSent })
    reporter.count('store-proxy', result.isOk() ? 'served' : result.error.reason)
    if (result.isOk()) return { type: 'store-response', response: shortenResponse(result.value) }
    return { type: 'store-failure', failure: result.error, storeResponds: direct.isResponsive }
  }

  private refuse (reason: StoreCallRefusal): MemberResponse {
    this.options.reporter.count('store-proxy', `refused-${reason}`)
    return { type: 'store-call-refused', reason }
  }
}
