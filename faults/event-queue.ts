import type { Random } from '../src/util/random.ts'

type Entry = { readonly at: number, readonly order: number, readonly action: () => void }

/**
 * Clock and event queue in virtual time. Actions run in the order of their time; those due at the same time run in a
 * seeded order.
 *
 * @example
 * const queue = EventQueue.create(Random.create(7))
 * queue.after(10, () => console.log(queue.now))
 * queue.runUntil(1_000)
 */
export class EventQueue {
  private readonly heap: Entry[] = []
  private time = 0

  private constructor (private readonly random: Random) {}

  static create (random: Random): EventQueue {
    return new EventQueue(random)
  }

  /** Current virtual time in milliseconds; may be fractional. */
  get now (): number {
    return this.time
  }

  at (at: number, action: () => void): void {
    this.push({ at: Math.max(at, this.time), order: this.random.next(), action })
  }

  after (delayMs: number, action: () => void): void {
    this.at(this.time + delayMs, action)
  }

  /** Runs every action that is due by `end`, including those that are added meanwhile. */
  runUntil (end: number): void {
    for (let next = this.heap[0]; next !== undefined && next.at <= end; next = this.heap[0]) {
      this.pop()
      this.time = next.at
      next.action()
    }
    this.time = end
  }

  private push (entry: Entry): void {
    const { heap } = this
    let index = heap.length
    heap.push(entry)
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(entry, heap[parent]!)) break
      heap[index] = heap[parent]!
      index = parent
    }
    heap[index] = entry
  }

  private pop (): void {
    const { heap } = this
    const last = heap.pop()!
    if (heap.length === 0) return
    let index = 0
    for (let child = 1; child < heap.length; child = 2 * index + 1) {
      if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) child += 1
      if (!isBefore(heap[child]!, last)) break
      heap[index] = heap[child]!
      index = child
    }
    heap[index] = last
  }
}

function isBefore (left: Entry, right: Entry): boolean {
  return left.at < right.at || (left.at === right.at && left.order < right.order)
}
