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
import type { LiveStore, LiveTarget } from './live-machines.ts'
import { isTooLarge } from './store.ts'

/** A call that got no answer; `sent` tells whether the stand-in may have handled it. */
type Unanswered = { readonly reason: 'timeout' | 'unavailable', readonly sent: boolean }

const DEFAULT_CALL_TIMEOUT_MS = 2_000

/**
 * The faults of a call inside the process. A silent connection, which only exists over TCP, is imitated by one call
 * that times out without an effect.
 */
class FaultyPath {
  private silentCalls = 0

  private constructor (private readonly timeoutMs: number, readonly switches: FaultSwitches) {}

  static create (timeoutMs: number, switches: FaultSwitches): FaultyPath {
    return new FaultyPath(timeoutMs, switches)
  }

  silence (): void {
    this.silentCalls = 1
  }

  async pass<Answer> (waitMs: number, work: () => Promise<Answer>): Promise<Result<Answer, Unanswered>> {
    const timeoutMs = this.timeoutMs + waitMs
    const { outage, delayMs } = this.switches.current
    if (outage === 'refuse') return err({ reason: 'unavailable', sent: false })
    if (outage === 'hang' || this.silentCalls > 0) return this.timeOut(timeoutMs)
    const timeout = new AbortController()
    const late = sleep(timeoutMs, 'late' as const, { signal: timeout.signal }).catch(() => 'late' as const)
    const answer = await Promise.race([this.delayed(delayMs, work), late])
    timeout.abort()
    if (answer === 'late') return err({ reason: 'timeout', sent: true })
    const lost = this.switches.current.outage !== 'none' || this.switches.takeLoss()
    return lost ? err({ reason: 'unavailable', sent: true }) : ok(answer.value)
  }

  private async delayed<Answer> (delayMs: number, work: () => Promise<Answer>): Promise<{ value: Answer }> {
    if (delayMs > 0) await sleep(delayMs)
    return { value: await work() }
  }

  private async timeOut (timeoutMs: number): Promise<Result<never, Unanswered>> {
    this.silentCalls = 0
    await sleep(timeoutMs)
    return err({ reason: 'timeout', sent: true })
  }
}

/**
 * The port `Store` on a store in the same process.
 *
 * @example
 * const store = InProcessStore.create(liveStore(InMemoryStore.create()))
 */
export class InProcessStore implements Store {
  private constructor (private readonly live: LiveStore, readonly path: FaultyPath) {}

  static create (live: LiveStore, timeoutMs = DEFAULT_CALL_TIMEOUT_MS, switches = FaultSwitches.create()): InProcessStore {
    return new InProcessStore(live, FaultyPath.create(timeoutMs, switches))
  }

  async call (call: StoreCall): Promise<Result<StoreResponse, StoreFailure>> {
    if (isTooLarge(call)) return err({ reason: 'too-large', verdict: 'not-applied' })
    const waitMs = call.type === 'watch' ? call.waitMs : 0
    const result = await this.path.pass(waitMs, () => this.live.call(call))
    return result.mapErr(({ reason, sent }) => {
      return { reason, verdict: sent && call.type === 'transact' ? 'may-have-applied' : 'not-applied' }
    })
  }
}

/**
 * The port `TargetClient` on targets in the same process; a target that is not in the map is unavailable.
 *
 * @example
 * const client = InProcessTargetClient.create(new Map([['t1', liveTarget(target)]]))
 */
export class InProcessTargetClient implements TargetClient {
  private constructor (private readonly targets: ReadonlyMap<TargetId, LiveTarget>, readonly path: FaultyPath) {}

  static create (targets: ReadonlyMap<TargetId, LiveTarget>, timeoutMs = DEFAULT_CALL_TIMEOUT_MS, switches = FaultSwitches.create()): InProcessTargetClient {
    return new InProcessTargetClient(targets, FaultyPath.create(timeoutMs, switches))
  }

  async call (target: Target, call: TargetCall): Promise<Result<TargetResponse, TargetFailure>> {
    const live = this.targets.get(target.id)
    if (live === undefined) return err({ reason: 'unavailable', verdict: 'not-run' })
    const waitMs = call.type === 'sync' ? call.waitMs : 0
    const result = await this.path.pass(waitMs, () => live.call(call))
    return result
      .mapErr(({ reason, sent }): TargetFailure => ({ reason, verdict: sent ? 'may-have-run' : 'not-run' }))
      .andThen((answer) => answer)
  }
}

/**
 * The port `HostList` on a list in the same process.
 *
 * @example
 * const hosts = InProcessHostList.create(InMemoryHostList.create({ targets }))
 */
export class InProcessHostList implements HostList {
  private constructor (private readonly list: InMemoryHostList, readonly path: FaultyPath) {}

  static create (list: InMemoryHostList, timeoutMs = DEFAULT_CALL_TIMEOUT_MS, switches = FaultSwitches.create()): InProcessHostList {
    return new InProcessHostList(list, FaultyPath.create(timeoutMs, switches))
  }

  async read (): Promise<Result<HostListing, HostListFailure>> {
    const result = await this.path.pass(0, () => Promise.resolve(this.list.read(clockNow())))
    return result.mapErr(({ reason }) => ({ reason }))
  }
}
