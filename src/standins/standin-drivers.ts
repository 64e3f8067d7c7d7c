import type { Result } from 'neverthrow'
import type { StoreResponse, StoreCall } from '../ports/store.ts'
import type { TargetResponse, TargetCall, TargetFailure } from '../ports/target-client.ts'
import { RealTimeDriver } from './live.ts'
import type { InMemoryStore } from './store.ts'
import type { InMemoryTarget } from './target.ts'

/** Runs an in-memory store in real time. */
export type StoreDriver = RealTimeDriver<StoreCall, StoreResponse>
/** Runs an in-memory target in real time. */
export type TargetDriver = RealTimeDriver<TargetCall, Result<TargetResponse, TargetFailure>>

/**
 * Creates a driver that runs an in-memory store in real time.
 *
 * @example
 * const driver = createStoreDriver(InMemoryStore.create())
 */
export function createStoreDriver (store: InMemoryStore): StoreDriver {
  return RealTimeDriver.create<StoreCall, StoreResponse>({
    call: (now, call) => store.call(now, call),
    resume: (now, call, startedAt) => call.type === 'watch' ? store.resume(now, call, startedAt) : store.call(now, call),
    nextEventAt: () => store.nextEventAt(),
    getWaitMs
  })
}

/**
 * Creates a driver that runs an in-memory target in real time.
 *
 * @example
 * const driver = createTargetDriver(InMemoryTarget.create({ capacity }))
 */
export function createTargetDriver (target: InMemoryTarget): TargetDriver {
  return RealTimeDriver.create<TargetCall, Result<TargetResponse, TargetFailure>>({
    call: (now, call) => target.call(now, call),
    resume: (now, call, startedAt) => call.type === 'sync' ? target.resume(now, call, startedAt) : target.call(now, call),
    nextEventAt: () => target.nextEventAt(),
    getWaitMs
  })
}

function getWaitMs (call: StoreCall | TargetCall): number {
  return 'waitMs' in call ? call.waitMs : 0
}
