/**
 * Increments a counter. The counters of the adapters are `http-connection` and `peer-channel` with the reasons `timeout`,
 * `replaced` and `probe-failed`, and `tls-files` with the reasons `unreadable`, `unusable` and `reloaded`.
 */
export type IncrementCounter = (counter: string, reason: string) => void

/** Discards all counts. */
export const IGNORE_COUNT: IncrementCounter = () => {}
