import { setTimeout as sleep } from 'node:timers/promises'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { TargetId } from '../model/ids.ts'
import type { Target } from '../model/target.ts'
import type { HostList, HostListFailure, HostListing } from '../ports/host-list.ts'
import type { Store, StoreResponse, StoreCall, StoreFailure } from '../ports/store.ts'
import type { TargetResponse, TargetCall, TargetClient, TargetFailure } from '../ports/target-client.ts'
import { clockNow } from './clock.ts'
import { FaultSwitches } from './faults.ts'
import type { InMemoryHostList } from './host-list.ts'
import type { StoreDriver, TargetDriver } from './standin-drivers.ts'
import { isTooLarge } from './store.ts'

/** A call without a response; `sent` is true if the stand-in may have handled it. */
type CallFailure = { readonly reason: 'timeout' | 'unavailable', readonly sent: boolean }

const DEFAULT_CALL_TIMEOUT_MS = 2_000

/**
 * Injects faults into calls inside the process. There are no connections, so a connection without responses is simulated
 * by one call that times out without an effect.
 */
class FaultInjector {
  private silencedCalls = 0

  private constructor (private readonly timeoutMs: number, readonly switches: FaultSwitches) {}

  static create (timeoutMs: number, switches: FaultSwitches): FaultInjector {
    return new FaultInjector(timeoutMs, switches)
  }

  silenceNextCall (): void {
    this.silencedCalls = 1
  }

  async callWithFaults<Response> (waitMs: number, work: () => Promise<Response>): Promise<Result<Response, CallFailure>> {
    const timeoutMs = this.timeoutMs + waitMs
    const { outage, delayMs } = this.switches.current
    if (outage === 'refuse') return err({ reason: 'unavailable', sent: false })
    if (outage === 'hang' || this.silencedCalls > 0) return this.waitForTimeout(timeoutMs)
    const timeout = new AbortController()
    const timedOut = sleep(timeoutMs, 'late' as const, { signal: timeout.signal }).catch(() => 'late' as const)
    const outcome = await Promise.race([this.callAfterDelay(delayMs, work), timedOut])
    timeout.abort()
    if (outcome === 'late') return err({ reason: 'timeout', sent: true })
    const isLost = this.switches.current.outage !== 'none' || this.switches.consumeAnswerLoss()
    return isLost ? err({ reason: 'unavailable', sent: true }) : ok(outcome.value)
  }

  private async callAfterDelay<Response> (delayMs: number, work: () => Promise<Response>): Promise<{ value: Response }> {
    if (delayMs > 0) await sleep(delayMs)
    return { value: await work() }
  }

  private async waitForTimeout (timeoutMs: number): Promise<Result<never, CallFailure>> {
    this.silencedCalls = 0
    await sleep(timeoutMs)
    return err({ reason: 'timeout', sent: true })
  }
}

/**
 * Implements the port `Store` with a store in the same process.
 *
 * @example
 * const store = InProcessStore.create(createStoreDriver(InMemoryStore.create()))
 */
export class InProcessStore implements Store {
  private constructor (private readonly driver: StoreDriver, readonly faultInjector: FaultInjector) {}

  static create (driver: StoreDriver, timeoutMs = DEFAULT_CALL_TIMEOUT_MS, switches = FaultSwitches.create()): InProcessStore {
    return new InProcessStore(driver, FaultInjector.create(timeoutMs, switches))
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (isTooLarge(call)) return err({ reason: 'too-large', verdict: 'not-applied' })
    const waitMs = call.type === 'watch' ? call.waitMs : 0
    const result = await this.faultInjector.callWithFaults(waitMs, () => this.driver.call(call))
    return result.mapErr(({ reason, sent }) => {
      return { reason, verdict: sent && call.type === 'transact' ? 'may-have-applied' : 'not-applied' }
    })
  }
}

/**
 * Implements the port `TargetClient` with targets in the same process; a target that is not in the map is unavailable.
 *
 * @example
 * const client = InProcessTargetClient.create(new Map([['t1', createTargetDriver(target)]]))
 */
export class InProcessTargetClient implements TargetClient {
  private constructor (private readonly targets: ReadonlyMap<TargetId, TargetDriver>, readonly faultInjector: FaultInjector) {}

  static create (targets: ReadonlyMap<TargetId, TargetDriver>, timeoutMs = DEFAULT_CALL_TIMEOUT_MS, switches = FaultSwitches.create()): InProcessTargetClient {
    return new InProcessTargetClient(targets, FaultInjector.create(timeoutMs, switches))
  }

  async call (target: Target, call: TargetCall): Promise<Result<TargetResponse, TargetFailure>> {
    const driver = this.targets.get(target.id)
    if (driver === undefined) return err({ reason: 'unavailable', verdict: 'not-run' })
    const waitMs = call.type === 'sync' ? call.waitMs : 0
    const result = await this.faultInjector.callWithFaults(waitMs, () => driver.call(call))
    return result
      .mapErr(({ reason, sent }): TargetFailure => ({ reason, verdict: sent ? 'may-have-run' : 'not-run' }))
      .andThen((result) => result)
  }
}

/**
 * Implements the port `HostList` with a list in the same process.
 *
 * @example
 * const hosts = InProcessHostList.create(InMemoryHostList.create({ targets }))
 */
export class InProcessHostList implements HostList {
  private constructor (private readonly list: InMemoryHostList, readonly faultInjector: FaultInjector) {}

  static create (list: InMemoryHostList, timeoutMs = DEFAULT_CALL_TIMEOUT_MS, switches = FaultSwitches.create()): InProcessHostList {
    return new InProcessHostList(list, FaultInjector.create(timeoutMs, switches))
  }

  async read (): Promise<Result<HostListing, HostListFailure>> {
    const result = await this.faultInjector.callWithFaults(0, () => Promise.resolve(this.list.read(clockNow())))
    return result.mapErr(({ reason }) => ({ reason }))
  }
}
