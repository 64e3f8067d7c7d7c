import { err, ok, type Result } from 'neverthrow'
import type { StoreResponse, StoreCall, StoreFailure } from '../src/ports/store.ts'
import { InMemoryStore } from '../src/standins/store.ts'
import type { Random } from '../src/util/random.ts'
import type { EventQueue } from './event-queue.ts'

type Respond = (result: Result<StoreResponse, StoreFailure>) => void
type WatchCall = Extract<StoreCall, { type: 'watch' }>
type PendingWatch = { readonly call: WatchCall, readonly startedAt: number, readonly respond: Respond }

const MIN_SLOW_DELAY_MS = 500
const SLOW_DELAY_SPREAD_MS = 3_500
const LEASE_CHECK_INTERVAL_MS = 100

/** Process of the store: adds outages, slow periods and pending watches to the in-memory store. */
export class StoreNode {
  private readonly store = InMemoryStore.create()
  private pendingWatches: PendingWatch[] = []
  private downUntil = 0
  private slowUntil = 0

  private constructor (private readonly queue: EventQueue, private readonly random: Random) {}

  static create (queue: EventQueue, random: Random): StoreNode {
    const node = new StoreNode(queue, random)
    node.checkLeases()
    return node
  }

  get counts (): Readonly<Record<string, number>> {
    return this.store.counts
  }

  /** Starts an outage: no call takes effect or succeeds, and leases continue to expire. */
  startOutage (forMs: number): void {
    this.downUntil = Math.max(this.downUntil, this.queue.now + forMs)
    this.pendingWatches = []
  }

  /** Delays each call for a while; some calls take longer than the caller's timeout and take effect after it. */
  startSlowPeriod (forMs: number): void {
    this.slowUntil = Math.max(this.slowUntil, this.queue.now + forMs)
  }

  handle (call: StoreCall, respond: Respond): void {
    const delay = this.queue.now < this.slowUntil ? MIN_SLOW_DELAY_MS + this.random.next() * SLOW_DELAY_SPREAD_MS : 0
    this.queue.after(delay, () => this.apply(call, respond))
  }

  private apply (call: StoreCall, respond: Respond): void {
    if (this.queue.now < this.downUntil) {
      // During an outage half of the calls are refused at once, and the others get no response.
      if (this.random.next() < 0.5) respond(err({ reason: 'unavailable', verdict: 'not-applied' }))
      return
    }
    const answer = this.store.call(this.queue.now, call)
    if (answer !== 'waiting') respond(ok(answer))
    else if (call.type === 'watch') this.addPendingWatch({ call, startedAt: this.queue.now, respond })
    this.resumePendingWatches()
  }

  private addPendingWatch (waiting: PendingWatch): void {
    this.pendingWatches.push(waiting)
    this.queue.after(waiting.call.waitMs, () => this.resumePendingWatches())
  }

  private resumePendingWatches (): void {
    const waiting = this.pendingWatches
    this.pendingWatches = []
    for (const entry of waiting) {
      const answer = this.store.resume(this.queue.now, entry.call, entry.startedAt)
      if (answer === 'waiting') this.pendingWatches.push(entry)
      else entry.respond(ok(answer))
    }
  }

  private checkLeases (): void {
    this.queue.after(LEASE_CHECK_INTERVAL_MS, () => {
      if (this.queue.now >= this.downUntil) this.resumePendingWatches()
      this.checkLeases()
    })
  }
}
