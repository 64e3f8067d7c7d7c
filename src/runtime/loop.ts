import type { Effect } from '../core/effect.ts'
import type { Event } from '../core/event.ts'
import type { Member } from '../core/member.ts'
import type { Clock } from './clock.ts'

const TICK_INTERVAL_MS = 100

type WithoutTime<Timed> = Timed extends unknown ? Omit<Timed, 'now'> : never

/** An event without its time, which the loop adds. */
export type MemberEvent = WithoutTime<Event>

/** Options of the event loop. */
export type LoopOptions = {
  readonly member: Member
  readonly clock: Clock
  /** The process counts as paused if a tick is delayed by more than this. */
  readonly pauseThresholdMs: number
  readonly runEffects: (effects: readonly Effect[]) => void
  /** Called after each event with the time that the reducer took, in milliseconds. */
  readonly recordDuration?: (durationMs: number) => void
}

/**
 * The event loop of the member: adds the time to each event, applies the event and runs its effects. After a pause of the
 * process, it first dispatches `paused`, so that the member checks its leases before it handles any other event.
 */
export class Loop {
  private timer: NodeJS.Timeout | undefined
  private lastTickAt: number

  private constructor (private readonly options: LoopOptions) {
    this.lastTickAt = options.clock.now()
  }

  /**
   * Creates a loop; `start` begins the ticks.
   *
   * @example
   * const loop = Loop.create({ member, clock: createMonotonicClock(), pauseThresholdMs: 1_000, runEffects: (effects) => runner.run(effects) })
   */
  static create (options: LoopOptions): Loop {
    return new Loop(options)
  }

  start (): void {
    this.lastTickAt = this.options.clock.now()
    this.timer = setInterval(() => this.dispatch({ type: 'tick' }), TICK_INTERVAL_MS)
    this.dispatch({ type: 'tick' })
  }

  stop (): void {
    clearInterval(this.timer)
  }

  /** Applies one event at the current time. */
  dispatch (event: MemberEvent): void {
    const now = this.options.clock.now()
    const lateMs = now - this.lastTickAt - TICK_INTERVAL_MS
    if (lateMs > this.options.pauseThresholdMs) {
      this.lastTickAt = now
      this.apply({ type: 'paused', lateMs, now })
      this.apply({ type: 'tick', now })
    }
    if (event.type === 'tick') this.lastTickAt = now
    this.apply({ ...event, now } as Event)
  }

  private apply (event: Event): void {
    const startedAt = performance.now()
    const effects = this.options.member.apply(event)
    this.options.recordDuration?.(performance.now() - startedAt)
    this.options.runEffects(effects)
  }
}
