/** Lines of one message id that are written in a second; the rest is counted. */
const LINES_PER_SECOND = 40
const WINDOW_MS = 1_000

type Window = { startedAt: number, written: number, dropped: number }

/** Bounds the log lines of each message id. */
export class LogBudget {
  private readonly windows = new Map<string, Window>()

  private constructor () {}

  static create (): LogBudget {
    return new LogBudget()
  }

  /**
   * Whether a line may be written now; `dropped` tells how many were left out in the window before.
   *
   * @example
   * const { write, dropped } = budget.take('run-ended', performance.now())
   */
  take (message: string, now: number): { readonly write: boolean, readonly dropped: number } {
    const window = this.windows.get(message)
    if (window === undefined || now - window.startedAt >= WINDOW_MS) {
      this.windows.set(message, { startedAt: now, written: 1, dropped: 0 })
      return { write: true, dropped: window?.dropped ?? 0 }
    }
    if (window.written < LINES_PER_SECOND) {
      window.written += 1
      return { write: true, dropped: 0 }
    }
    window.dropped += 1
    return { write: false, dropped: 0 }
  }
}
