/** Takes log lines and counts of the controller and of what runs beside it. */
export type Reporter = {
  readonly log: (level: 'info' | 'warn' | 'error', message: string, fields: Readonly<Record<string, string | number | boolean>>) => void
  readonly count: (counter: string, reason: string) => void
  readonly observe: (histogram: string, durationMs: number) => void
}
