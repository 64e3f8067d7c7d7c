import type { Result } from 'neverthrow'
import type { StoreResponse, StoreCall } from '../ports/store.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../ports/target-client.ts'
import { Live } from './live.ts'
import type { InMemoryStore } from './store.ts'
import type { InMemoryTarget } from './target.ts'

export type LiveStore = Live<StoreCall, StoreResponse>
export type LiveTarget = Live<TargetCall, Result<TargetResponse, TargetFailure>>

/**
 * Runs an in-memory store in real time.
 *
 * @example
 * const live = liveStore(InMemoryStore.create())
 */
export function liveStore (store: InMemoryStore): LiveStore {
  return Live.create<StoreCall, StoreResponse>({
    call: (now, call) => store.call(now, call),
    resume: (now, call, startedAt) => call.type === 'watch' ? store.resume(now, call, startedAt) : store.call(now, call),
    nextEventAt: () => store.nextEventAt(),
    waitMsOf
  })
}

/**
 * Runs an in-memory target in real time.
 *
 * @example
 * const live = liveTarget(InMemoryTarget.create({ capacity }))
 */
export function liveTarget (target: InMemoryTarget): LiveTarget {
  return Live.create<TargetCall, Result<TargetResponse, TargetFailure>>({
    call: (now, call) => target.call(now, call),
    resume: (now, call, startedAt) => call.type === 'sync' ? target.resume(now, call, startedAt) : target.call(now, call),
    nextEventAt: () => target.nextEventAt(),
    waitMsOf
  })
}

function waitMsOf (call: StoreCall | TargetCall): number {
  return 'waitMs' in call ? call.waitMs : 0
}
