import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Compare, Put, StoreResponse, StoreCall, StoreEntry, StoreFailure } from '../ports/store.ts'
import type { Outbox } from './outbox.ts'

/** The purpose of a store call; the label of its counter. */
export type StorePurpose = 'lease' | 'registration' | 'view' | 'watch' | 'roster' | 'claim' | 'handover' | 'publish' | 'snapshot' | 'settle'

/** A transaction without its call type. */
export type Transaction = { readonly compares: readonly Compare[], readonly puts: readonly Put[], readonly deletes: readonly string[] }

/** Outcome of a transaction. After `failed` with the verdict `may-have-applied`, the caller must read back whether it took effect. */
export type TransactionOutcome =
  | { readonly type: 'committed', readonly version: number }
  | { readonly type: 'refused', readonly current: readonly StoreEntry[], readonly version: number }
  | { readonly type: 'failed', readonly failure: StoreFailure }

type PendingCall = {
  readonly call: StoreCall
  readonly purpose: StorePurpose
  readonly deadlineAt: number
  readonly done: (result: Result<StoreResponse, StoreFailure>) => void
}

/** Matches store calls with their responses, fails calls without a response, and counts the calls of each purpose. */
export class StoreCalls {
  private readonly pendingCalls = new Map<number, PendingCall>()
  private lastId = 0

  private constructor (private readonly outbox: Outbox, private readonly timeoutMs: number) {}

  static create (outbox: Outbox, timeoutMs: number): StoreCalls {
    return new StoreCalls(outbox, timeoutMs)
  }

  call (purpose: StorePurpose, call: StoreCall, now: number, done: PendingCall['done'], timeoutMs = this.timeoutMs): void {
    this.lastId += 1
    this.pendingCalls.set(this.lastId, { call, purpose, deadlineAt: now + timeoutMs, done })
    this.outbox.count('store-calls', purpose)
    this.outbox.emit({ type: 'store-call', callId: this.lastId, call })
  }

  transact (purpose: StorePurpose, transaction: Transaction, now: number, done: (outcome: TransactionOutcome) => void): void {
    this.call(purpose, { type: 'transact', ...transaction }, now, (result) => done(toOutcome(result)))
  }

  handleResponse (callId: number, result: Result<StoreResponse, StoreFailure>): void {
    const pending = this.pendingCalls.get(callId)
    if (pending === undefined) {
      this.outbox.count('store-answers-ignored', 'late')
      return
    }
    this.pendingCalls.delete(callId)
    if (result.isErr()) this.outbox.count('store-failures', result.error.reason)
    pending.done(result.isOk() && result.value.type !== pending.call.type ? err(createFailure(pending.call, 'malformed-answer')) : result)
  }

  /** Fails the calls whose responses are overdue. */
  expireCalls (now: number): void {
    for (const [callId, pending] of this.pendingCalls) {
      if (now < pending.deadlineAt) continue
      this.handleResponse(callId, err(createFailure(pending.call, 'timeout')))
    }
  }
}

function createFailure (call: StoreCall, reason: StoreFailure['reason']): StoreFailure {
  return { reason, verdict: call.type === 'transact' ? 'may-have-applied' : 'not-applied' }
}

function toOutcome (result: Result<StoreResponse, StoreFailure>): TransactionOutcome {
  if (result.isErr()) return { type: 'failed', failure: result.error }
  const response = result.value
  if (response.type !== 'transact') return { type: 'failed', failure: { reason: 'malformed-answer', verdict: 'may-have-applied' } }
  if (response.committed) return { type: 'committed', version: response.version }
  return { type: 'refused', current: response.current, version: response.version }
}
