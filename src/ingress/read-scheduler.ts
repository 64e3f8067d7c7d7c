import { promisify } from 'node:util'

/** A connection from which parts are passed on to the HTTP library. */
export type Readable = {
  /** Passes one part on; returns whether there is more to pass on now. */
  readonly passPart: () => boolean
  /** Whether its present request has had many parts. */
  readonly isLarge: boolean
}

/** Time per turn of the event loop in which parts are passed on, in milliseconds. The rest is for the leadership and other members. */
const TURN_BUDGET_MS = 8
/** Of so many parts one is of a large request while there are small ones too. */
const PARTS_PER_LARGE = 4

const nextTick = promisify(process.nextTick) as () => Promise<void>

/**
 * Passes on what callers have sent, in turns: one part of each connection after another, and only for some milliseconds in
 * each turn of the event loop.
 */
export class ReadScheduler {
  private readonly small = new Set<Readable>()
  private readonly large = new Set<Readable>()
  private isScheduled = false
  private parts = 0

  private constructor () {}

  static create (): ReadScheduler {
    return new ReadScheduler()
  }

  /** Adds a connection with something to pass on. */
  add (connection: Readable): void {
    if (this.small.has(connection) || this.large.has(connection)) return
    const queue = connection.isLarge ? this.large : this.small
    queue.add(connection)
    this.schedule()
  }

  remove (connection: Readable): void {
    this.small.delete(connection)
    this.large.delete(connection)
  }

  private schedule (): void {
    if (this.isScheduled) return
    this.isScheduled = true
    setImmediate(() => {
      this.run().catch((error: unknown) => {
        this.isScheduled = false
        // An error of a handler ends the process, as it would without the scheduler.
        setImmediate(() => { throw error })
      })
    })
  }

  private async run (): Promise<void> {
    const endsAt = performance.now() + TURN_BUDGET_MS
    do {
      const connection = this.takeNext()
      if (connection === undefined) break
      if (connection.passPart()) this.add(connection)
      // Requests that can be answered at once are, before others begin.
      await nextTick()
    } while (performance.now() < endsAt)
    this.isScheduled = false
    if (this.small.size + this.large.size > 0) this.schedule()
  }

  private takeNext (): Readable | undefined {
    this.parts += 1
    const queues = this.parts % PARTS_PER_LARGE === 0 ? [this.large, this.small] : [this.small, this.large]
    const queue = queues.find(({ size }) => size > 0)
    const connection = queue?.values().next().value
    if (connection !== undefined) queue?.delete(connection)
    return connection
  }
}
