import type { Random } from '../src/util/random.ts'
import type { EventQueue } from './event-queue.ts'
import type { Injector, MessageRoute } from './injector.ts'

/** A one-way message, or a call with a response. */
export type Transmission<Answer> = MessageRoute & {
  /** Called at the receiver for each copy that arrives. */
  readonly deliver: (respond: (answer: Answer) => void) => void
  /** Called with the first response that reaches the sender in time. */
  readonly onResponse: (answer: Answer) => void
  /** Time after which `onTimeout` is called if no response has arrived. */
  readonly timeoutMs: number
  readonly onTimeout: () => void
}

const MIN_DELAY_MS = 0.3
const DELAY_SPREAD_MS = 2
const MIN_LATE_DELAY_MS = 200
const LATE_DELAY_SPREAD_MS = 1_300

/** Delivers all messages with seeded delays and the injected faults; messages may be reordered. */
export class SimulatedNetwork {
  private readonly disconnectedPairs = new Set<string>()

  private constructor (private readonly queue: EventQueue, private readonly random: Random, private readonly injector: Injector) {}

  static create (queue: EventQueue, random: Random, injector: Injector): SimulatedNetwork {
    return new SimulatedNetwork(queue, random, injector)
  }

  /** Drops all messages between the two nodes until `reconnect` is called. */
  disconnect (left: string, right: string): void {
    this.disconnectedPairs.add(formatPair(left, right))
  }

  reconnect (left: string, right: string): void {
    this.disconnectedPairs.delete(formatPair(left, right))
  }

  send<Answer> (transmission: Transmission<Answer>): void {
    const faults = this.injector.recordMessage(this.queue.now, transmission)
    const runFirst = createFirstActionRunner()
    this.queue.after(transmission.timeoutMs, () => runFirst(transmission.onTimeout))
    const respond = (answer: Answer): void => {
      if (faults.includes('answer-lost')) return
      this.queue.after(this.randomDelay(), () => {
        if (this.isConnected(transmission)) runFirst(() => transmission.onResponse(answer))
      })
    }
    if (!faults.includes('lost')) this.transmit(transmission, respond, faults.includes('late') ? this.randomLateDelay() : 0)
    if (faults.includes('doubled')) this.transmit(transmission, respond, this.randomLateDelay())
  }

  private transmit<Answer> (transmission: Transmission<Answer>, respond: (answer: Answer) => void, lateMs: number): void {
    this.queue.after(this.randomDelay() + lateMs, () => {
      if (this.isConnected(transmission)) transmission.deliver(respond)
    })
  }

  private isConnected (route: MessageRoute): boolean {
    return !this.disconnectedPairs.has(formatPair(route.from, route.to))
  }

  private randomDelay (): number {
    return MIN_DELAY_MS + this.random.next() * DELAY_SPREAD_MS
  }

  private randomLateDelay (): number {
    return MIN_LATE_DELAY_MS + this.random.next() * LATE_DELAY_SPREAD_MS
  }
}

function formatPair (left: string, right: string): string {
  return left < right ? `${left} ${right}` : `${right} ${left}`
}

/** Creates a function that runs only the first action that is passed to it. */
function createFirstActionRunner (): (action: () => void) => void {
  let open = true
  return (action) => {
    if (!open) return
    open = false
    action()
  }
}
