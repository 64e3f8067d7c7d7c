/** Maximum number of lines that are written per message id and window; further lines are only counted. */
const MAX_LINES_PER_WINDOW = 40
/** Larger numbers for messages that are needed of each run, also of a burst. */
const MAX_LINES_BY_MESSAGE: Readonly<Record<string, number>> = { 'start-accepted': 200 }
const WINDOW_MS = 1_000

type Window = { startedAt: number, written: number, dropped: number }

/** Limits the rate of log lines of each message id. */
export class LogRateLimiter {
  private readonly windows = new Map<string, Window>()

  private constructor () {}

  static create (): LogRateLimiter {
    return new LogRateLimiter()
  }

  /**
   * Returns whether a line may be written now. With the first line of a window, `dropped` is the number of lines that were
   * left out in the previous window.
   *
   * @example
   * const { write, dropped } = limiter.admitLine('run-ended', performance.now())
   */
  admitLine (message: string, now: number): { readonly write: boolean, readonly dropped: number } {
    const window = this.windows.get(message)
    if (window === undefined || now - window.startedAt >= WINDOW_MS) {
      this.windows.set(message, { startedAt: now, written: 1, dropped: 0 })
      return { write: true, dropped: window?.dropped ?? 0 }
    }
    if (window.written < (MAX_LINES_BY_MESSAGE[message] ?? MAX_LINES_PER_WINDOW)) {
      window.written += 1
      return { write: true, dropped: 0 }
    }
    window.dropped += 1
    return { write: false, dropped: 0 }
  }
}
