/** Exit codes of all commands; docs/callers.md lists them for scripts. */
export const EXIT_CODE = {
  success: 0,
  /** The server refused the request, the work failed, or the named entry does not exist. */
  refused: 1,
  /** Wrong arguments, or files with problems. */
  usage: 2,
  /** No entry host was reached. Either nothing was sent, or the request only reads. */
  unreachable: 3,
  /** Another operator published a change first. */
  conflict: 4,
  /** The request was sent and its outcome is unknown. */
  unknown: 5
} as const

/** One of the exit codes. */
export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE]
