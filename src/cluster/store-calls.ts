import { err } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { Compare, Put, StoreResponse, StoreCall, StoreEntry, StoreFailure } from '../ports/store.ts'
import type { Outbox } from './outbox.ts'

/** What a call is for; the label of its budget counter. */
export type StorePurpose = 'lease' | 'registration' | 'view' | 'watch' | 'roster' | 'claim' | 'handover' | 'publish' | 'snapshot' | 'settle'

export type Transaction = { readonly compares: readonly Compare[], readonly puts: readonly Put[], readonly deletes: readonly string[] }

/** Outcome of a transaction; `failed` with `may-have-applied` must be settled by reading back. */
export type TransactionOutcome =
  | { readonly type: 'committed', readonly version: number }
  | { readonly type: 'refused', readonly current: readonly StoreEntry[], readonly version: number }
  | { readonly type: 'failed', readonly failure: StoreFailure }

type Pending = {
  readonly call: StoreCall
  readonly purpose: StorePurpose
  readonly deadline: number
  readonly done: (result: Result<StoreResponse, StoreFailure>) => void
}

/** Correlates store calls with their answers, ends calls without an answer, and counts the calls of each purpose. */
export class StoreCalls {
  private readonly pending = new Map<number, Pending>()
  private lastId = 0

  private constructor (private readonly outbox: Outbox, private readonly timeoutMs: number) {}

  static create (outbox: Outbox, timeoutMs: number): StoreCalls {
    return new StoreCalls(outbox, timeoutMs)
  }

  call (purpose: StorePurpose, call: StoreCall, now: number, done: Pending['done'], timeoutMs = this.timeoutMs): void {
    this.lastId += 1
    this.pending.set(this.lastId, { call, purpose, deadline: now + timeoutMs, done })
    this.outbox.count('store-calls', purpose)
    this.outbox.emit({ type: 'store-call', callId: this.lastId, call })
  }

  transact (purpose: StorePurpose, transaction: Transaction, now: number, done: (outcome: TransactionOutcome) => void): void {
    this.call(purpose, { type: 'transact', ...transaction }, now, (result) => done(outcomeOf(result)))
  }

  answered (callId: number, result: Result<StoreResponse, StoreFailure>): void {
    const pending = this.pending.get(callId)
    if (pending === undefined) {
      this.outbox.count('store-answers-ignored', 'late')
      return
    }
    this.pending.delete(callId)
    if (result.isErr()) this.outbox.count('store-failures', result.error.reason)
    pending.done(result.isOk() && result.value.type !== pending.call.type ? err(unanswered(pending.call, 'malformed-answer')) : result)
  }

  /** Ends the calls whose answers are overdue. */
  expire (now: number): void {
    for (const [callId, pending] of this.pending) {
      if (now < pending.deadline) continue
      this.answered(callId, err(unanswered(pending.call, 'timeout')))
    }
  }
}

function unanswered (call: StoreCall, reason: StoreFailure['reason']): StoreFailure {
  return { reason, verdict: call.type === 'transact' ? 'may-have-applied' : 'not-applied' }
}

function outcomeOf (result: Result<StoreResponse, StoreFailure>): TransactionOutcome {
  if (result.isErr()) return { type: 'failed', failure: result.error }
  const answer = result.value
  if (answer.type !== 'transact') return { type: 'failed', failure: { reason: 'malformed-answer', verdict: 'may-have-applied' } }
  if (answer.committed) return { type: 'committed', version: answer.version }
  return { type: 'refused', current: answer.current, version: answer.version }
}
