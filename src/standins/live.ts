import { clockNow } from './clock.ts'

/** A stand-in whose calls may wait, such as `InMemoryStore` and `InMemoryTarget`. */
export type WaitingStandin<Call, Response> = {
  readonly call: (now: number, call: Call) => Response | 'waiting'
  readonly resume: (now: number, call: Call, startedAt: number) => Response | 'waiting'
  /** Earliest time at which a waiting call may complete without a further call. */
  readonly nextEventAt: () => number | undefined
  readonly getWaitMs: (call: Call) => number
}

type WaitingCall<Call, Response> = {
  readonly call: Call
  readonly startedAt: number
  readonly resolve: (response: Response) => void
}

/** Longest delay that `setTimeout` accepts. */
const MAX_TIMER_MS = 2_147_483_647

/**
 * Runs a stand-in in real time. Waiting calls are resumed after each completed call and when a timer expires.
 *
 * @example
 * const driver = RealTimeDriver.create(standin)
 * const response = await driver.call({ type: 'read', prefix: 'groups/' })
 */
export class RealTimeDriver<Call, Response> {
  private waitingCalls: WaitingCall<Call, Response>[] = []
  private timer: NodeJS.Timeout | undefined

  private constructor (private readonly standin: WaitingStandin<Call, Response>) {}

  static create<Call, Response> (standin: WaitingStandin<Call, Response>): RealTimeDriver<Call, Response> {
    return new RealTimeDriver(standin)
  }

  call (call: Call): Promise<Response> {
    const now = clockNow()
    const response = this.standin.call(now, call)
    if (response !== 'waiting') {
      this.resumeWaitingCalls()
      return Promise.resolve(response)
    }
    return new Promise((resolve) => {
      this.waitingCalls.push({ call, startedAt: now, resolve })
      this.schedule(now)
    })
  }

  /** Resumes the waiting calls. Must be called after a change that was not made by a call. */
  resumeWaitingCalls (): void {
    const now = clockNow()
    const resumedCalls = this.waitingCalls
    this.waitingCalls = []
    for (const waitingCall of resumedCalls) {
      const response = this.standin.resume(now, waitingCall.call, waitingCall.startedAt)
      if (response === 'waiting') this.waitingCalls.push(waitingCall)
      else waitingCall.resolve(response)
    }
    this.schedule(now)
  }

  /** Removes the waiting calls without resolving them. */
  close (): void {
    clearTimeout(this.timer)
    this.waitingCalls = []
  }

  private schedule (now: number): void {
    clearTimeout(this.timer)
    if (this.waitingCalls.length === 0) return
    const deadlines = this.waitingCalls.map((waitingCall) => waitingCall.startedAt + this.standin.getWaitMs(waitingCall.call))
    const at = Math.min(this.standin.nextEventAt() ?? Infinity, ...deadlines)
    // A timer may fire a fraction of a millisecond early; one more millisecond avoids a second timer.
    const delayMs = Math.min(Math.max(0, Math.ceil(at - now)) + 1, MAX_TIMER_MS)
    this.timer = setTimeout(() => this.resumeWaitingCalls(), delayMs)
  }
}
