import { err, ok, type Result } from 'neverthrow'
import type { StoreResponse, StoreCall, StoreFailure } from '../src/ports/store.ts'
import { InMemoryStore } from '../src/standins/store.ts'
import type { Random } from '../src/util/random.ts'
import type { EventQueue } from './event-queue.ts'

type Respond = (result: Result<StoreResponse, StoreFailure>) => void
type WatchCall = Extract<StoreCall, { type: 'watch' }>
type Waiting = { readonly call: WatchCall, readonly startedAt: number, readonly respond: Respond }

const SLOW_FROM_MS = 500
const SLOW_SPREAD_MS = 3_500
const LEASE_CHECK_MS = 100

/** The store's process: outages, slow periods and waiting watches around the in-memory store. */
export class StoreNode {
  private readonly store = InMemoryStore.create()
  private waiting: Waiting[] = []
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

  /** Neither takes nor answers calls for a while; leases go on to run out. */
  goDown (forMs: number): void {
    this.downUntil = Math.max(this.downUntil, this.queue.now + forMs)
    this.waiting = []
  }

  /** Takes long for each call; some outlast the caller's timeout and take effect after it. */
  goSlow (forMs: number): void {
    this.slowUntil = Math.max(this.slowUntil, this.queue.now + forMs)
  }

  handle (call: StoreCall, respond: Respond): void {
    const delay = this.queue.now < this.slowUntil ? SLOW_FROM_MS + this.random.next() * SLOW_SPREAD_MS : 0
    this.queue.after(delay, () => this.apply(call, respond))
  }

  private apply (call: StoreCall, respond: Respond): void {
    if (this.queue.now < this.downUntil) {
      // Half of the calls of an outage are refused at once, the others get no answer.
      if (this.random.next() < 0.5) respond(err({ reason: 'unavailable', verdict: 'not-applied' }))
      return
    }
    const answer = this.store.call(this.queue.now, call)
    if (answer !== 'waiting') respond(ok(answer))
    else if (call.type === 'watch') this.wait({ call, startedAt: this.queue.now, respond })
    this.resume()
  }

  private wait (waiting: Waiting): void {
    this.waiting.push(waiting)
    this.queue.after(waiting.call.waitMs, () => this.resume())
  }

  private resume (): void {
    const waiting = this.waiting
    this.waiting = []
    for (const entry of waiting) {
      const answer = this.store.resume(this.queue.now, entry.call, entry.startedAt)
      if (answer === 'waiting') this.waiting.push(entry)
      else entry.respond(ok(answer))
    }
  }

  private checkLeases (): void {
    this.queue.after(LEASE_CHECK_MS, () => {
      if (this.queue.now >= this.downUntil) this.resume()
      this.checkLeases()
    })
  }
}
