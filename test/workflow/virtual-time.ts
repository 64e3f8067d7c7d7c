type ScheduledCall = { readonly at: number, readonly run: () => void }

/** Time that passes only from one scheduled call to the next. */
export class VirtualTime {
  now = 0
  private readonly calls: ScheduledCall[] = []

  private constructor () {}

  static create (): VirtualTime {
    return new VirtualTime()
  }

  /** Schedules a call behind those that are scheduled for the same time. */
  schedule (delayMs: number, run: () => void): void {
    const call = { at: this.now + delayMs, run }
    let index = this.calls.length
    while (index > 0 && this.calls[index - 1]!.at > call.at) index -= 1
    this.calls.splice(index, 0, call)
  }

  scheduleEvery (intervalMs: number, run: () => void): void {
    this.schedule(intervalMs, () => {
      run()
      this.scheduleEvery(intervalMs, run)
    })
  }

  /** Makes the scheduled calls until the given time. */
  runUntil (endMs: number): void {
    while (this.calls.length > 0) {
      const next = this.calls.shift()!
      if (next.at > endMs) return
      this.now = next.at
      next.run()
    }
  }
}
