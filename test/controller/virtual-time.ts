import { AsyncLocalStorage } from 'node:async_hooks'
import { syncBuiltinESMExports } from 'node:module'
import timersPromises from 'node:timers/promises'

/** Time of day at the start of the virtual time, in milliseconds since 1970. */
const EPOCH_MS = 1_700_000_000_000

type ScheduledEvent = { readonly at: number, readonly sequence: number, readonly owner: VirtualProcess | undefined, readonly run: () => void, cancelled: boolean }

/** A simulated process: while it is paused nothing of it runs, and after its end nothing ever does. Its clocks go on. */
export class VirtualProcess {
  state: 'running' | 'paused' | 'ended' = 'running'
  /** Events that became due during a pause. */
  readonly heldEvents: Array<() => void> = []
  /** Number of events after which it is paused. */
  eventsUntilPause = Infinity

  private constructor (readonly startedAt: number) {}

  static create (startedAt: number): VirtualProcess {
    return new VirtualProcess(startedAt)
  }
}

/** What `setTimeout` returns. */
class VirtualTimer {
  private constructor (readonly event: ScheduledEvent) {}

  static create (event: ScheduledEvent): VirtualTimer {
    return new VirtualTimer(event)
  }

  ref (): this {
    return this
  }

  unref (): this {
    return this
  }
}

/**
 * Replaces the timers and clocks of this process. Callbacks belong to the simulated process that has scheduled them, so that
 * several members run the product's own classes in one test, and each can be paused or ended at any moment.
 */
export class VirtualTime {
  private now = 0
  private sequence = 0
  private readonly events: ScheduledEvent[] = []
  private readonly owners = new AsyncLocalStorage<VirtualProcess>()
  private readonly originals = { setTimeout, clearTimeout, setInterval, clearInterval, setImmediate, wait: timersPromises.setTimeout, dateNow: Date.now }

  private constructor () {}

  /**
   * Replaces the timers and clocks until `uninstall`.
   *
   * @example
   * const time = VirtualTime.install()
   * time.runIn(time.startProcess(), () => Leadership.create(options))
   * await time.advance(2_000)
   * time.uninstall()
   */
  static install (): VirtualTime {
    const time = new VirtualTime()
    time.replaceTimers()
    return time
  }

  uninstall (): void {
    const { wait, dateNow, ...timers } = this.originals
    Object.assign(globalThis, timers)
    Date.now = dateNow
    timersPromises.setTimeout = wait
    // The method of the prototype shows again.
    Reflect.deleteProperty(performance, 'now')
    syncBuiltinESMExports()
  }

  get nowMs (): number {
    return this.now
  }

  /** The process whose code runs now. */
  get currentProcess (): VirtualProcess | undefined {
    return this.owners.getStore()
  }

  startProcess (): VirtualProcess {
    return VirtualProcess.create(this.now)
  }

  /** Runs a function as part of a process; what it schedules belongs to the process too. */
  runIn<Result> (process: VirtualProcess, run: () => Result): Result {
    return this.owners.run(process, run)
  }

  /** Schedules an event of a process, or of the world around the processes. */
  schedule (delayMs: number, run: () => void, owner?: VirtualProcess): ScheduledEvent {
    const event = { at: this.now + Math.max(0, delayMs), sequence: this.sequence++, owner, run, cancelled: false }
    this.insert(event)
    return event
  }

  /** Waits as part of the process that calls it. */
  wait (delayMs: number): Promise<void> {
    const owner = this.owners.getStore()
    return new Promise((resolve) => { this.schedule(delayMs, resolve, owner) })
  }

  pause (process: VirtualProcess): void {
    if (process.state === 'running') process.state = 'paused'
  }

  resume (process: VirtualProcess): void {
    if (process.state !== 'paused') return
    process.state = 'running'
    process.eventsUntilPause = Infinity
    for (const run of process.heldEvents.splice(0)) this.schedule(0, run, process)
  }

  end (process: VirtualProcess): void {
    process.state = 'ended'
    process.heldEvents.length = 0
  }

  /** Runs all events of the next `durationMs`; stops early once `isDone` returns true. */
  async advance (durationMs: number, isDone: () => boolean = () => false): Promise<void> {
    const until = this.now + durationMs
    await this.settle()
    while (!isDone()) {
      const next = this.events.at(-1)
      if (next === undefined || next.at > until) break
      this.events.pop()
      if (next.cancelled) continue
      this.now = next.at
      this.dispatch(next)
      await this.settle()
    }
    if (!isDone()) this.now = until
  }

  private dispatch ({ owner, run }: ScheduledEvent): void {
    if (owner === undefined) return this.owners.exit(run)
    if (owner.state === 'running' && owner.eventsUntilPause <= 0) this.pause(owner)
    if (owner.state === 'paused') owner.heldEvents.push(run)
    if (owner.state !== 'running') return
    owner.eventsUntilPause -= 1
    this.owners.run(owner, run)
  }

  /** Lets all pending promises continue. */
  private settle (): Promise<void> {
    return new Promise((resolve) => { this.originals.setImmediate(resolve) })
  }

  /** Keeps the events in descending order of time, so that the next one is the last. */
  private insert (event: ScheduledEvent): void {
    let low = 0
    let high = this.events.length
    while (low < high) {
      const middle = (low + high) >>> 1
      if (isLater(this.events[middle]!, event)) low = middle + 1
      else high = middle
    }
    this.events.splice(low, 0, event)
  }

  private replaceTimers (): void {
    const start = (run: () => void, delayMs = 0): VirtualTimer => VirtualTimer.create(this.schedule(delayMs, run, this.owners.getStore()))
    const clear = (timer: VirtualTimer | undefined): void => { if (timer !== undefined) timer.event.cancelled = true }
    Object.assign(globalThis, {
      setTimeout: start,
      setImmediate: start,
      setInterval: (run: () => void, delayMs: number) => this.repeat(run, delayMs),
      clearTimeout: clear,
      clearInterval: (timer: VirtualTimer | undefined) => clear(timer)
    })
    Date.now = () => EPOCH_MS + Math.floor(this.now)
    performance.now = () => this.now - (this.owners.getStore()?.startedAt ?? 0)
    Object.assign(timersPromises, { setTimeout: (delayMs: number, _value: unknown, { signal }: { signal?: AbortSignal } = {}) => this.waitAbortably(delayMs, signal) })
    syncBuiltinESMExports()
  }

  private repeat (run: () => void, delayMs: number): VirtualTimer {
    const owner = this.owners.getStore()
    const schedule = (): ScheduledEvent => this.schedule(delayMs, () => {
      run()
      if (!timer.cancelled) current = schedule()
    }, owner)
    let current = schedule()
    const timer = { get cancelled () { return current.cancelled }, set cancelled (value: boolean) { current.cancelled = value } }
    return VirtualTimer.create(timer as ScheduledEvent)
  }

  private waitAbortably (delayMs: number, signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
      const abort = (): void => {
        event.cancelled = true
        reject(Object.assign(new Error('aborted'), { name: 'AbortError' }))
      }
      const event = this.schedule(delayMs, () => {
        signal?.removeEventListener('abort', abort)
        resolve()
      }, this.owners.getStore())
      signal?.addEventListener('abort', abort, { once: true })
    })
  }
}

function isLater (left: ScheduledEvent, right: ScheduledEvent): boolean {
  return left.at > right.at || (left.at === right.at && left.sequence > right.sequence)
}
