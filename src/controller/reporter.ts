/** Receives the log lines, counts and durations of the controller and of the other parts of a member. */
export type Reporter = {
  readonly log: (level: 'info' | 'warn' | 'error', message: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  readonly count: (counter: string, reason: string) => void
  readonly observe: (histogram: string, durationMs: number) => void
}
