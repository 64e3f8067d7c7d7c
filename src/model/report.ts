/**
 * Increments a counter; `reason` is its label. Both are kebab-case ids, for example `refused` and `team-limit`.
 */
export type CountEffect = { readonly type: 'count', readonly counter: string, readonly reason: string }

/** A log line for a change of state; `message` is a kebab-case id, for example `group-acquired`. */
export type LogEffect = {
  readonly type: 'log'
  readonly level: 'info' | 'warn' | 'error'
  readonly message: string
  readonly fields: Readonly<Record<string, string | number | boolean>>
}
