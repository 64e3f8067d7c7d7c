import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { StoreCall, StoreFailure, StoreResponse } from '../../ports/store.ts'
import { assertNever } from '../../util/assert-never.ts'
import type { MemberCallFailure, MemberResponse } from '../member-call.ts'
import { isStoreFailure, isStoreResponse } from './store-call-guards.ts'

/**
 * What became of a call through a proxy. `served`: by the store, also if it has rejected this call alone. `refused`: the proxy has not
 * sent it. `failed`: the store does not serve the proxy. `unanswered`: without a usable response of the proxy.
 */
export type ProxyOutcome = 'served' | 'refused' | 'failed' | 'unanswered'

export type ProxyAnswer = { readonly outcome: ProxyOutcome, readonly result: Result<StoreResponse, StoreFailure> }

/**
 * Judges the response of a proxy. The verdict is that of the member that has made the call; without a response the call may have been
 * applied, even if the connection was refused, since it may have been lost after the call was sent.
 *
 * @example
 * judgeAnswer(call, await client.call(proxy.address, { type: 'store-call', call, timeoutMs: 400 }, 500))
 */
export function judgeAnswer (call: StoreCall, answer: Result<MemberResponse, MemberCallFailure>): ProxyAnswer {
  if (answer.isErr()) return unanswered(answer.error.reason === 'timeout' ? 'timeout' : 'unavailable')
  const response: MemberResponse | undefined = answer.value
  switch (response?.type) {
    case 'store-response': return isStoreResponse(call.type, response.response) ? { outcome: 'served', result: ok(response.response) } : unanswered('malformed-answer')
    case 'store-failure':
      if (!isStoreFailure(response.failure)) return unanswered('malformed-answer')
      return { outcome: response.storeResponds === true ? 'served' : 'failed', result: err(response.failure) }
    case 'store-call-refused': return { outcome: 'refused', result: err({ reason: 'unavailable', verdict: 'not-applied' }) }
    default: return unanswered('malformed-answer')
  }
}

/** Whether another proxy is to be used after this outcome. */
export function isProxyUsable (outcome: ProxyOutcome): boolean {
  switch (outcome) {
    case 'served': return true
    case 'refused':
    case 'failed':
    case 'unanswered': return false
    default: return assertNever(outcome)
  }
}

/**
 * Whether a call that has failed may be made once more on another way. A transaction that may have been applied is not: the second
 * one would find its own entries and report a conflict. The caller decides that, as it does after a lost response.
 */
export function mayRepeat (call: StoreCall, { verdict }: StoreFailure): boolean {
  return call.type !== 'transact' || verdict === 'not-applied'
}

function unanswered (reason: StoreFailure['reason']): ProxyAnswer {
  return { outcome: 'unanswered', result: err({ reason, verdict: 'may-have-applied' }) }
}
