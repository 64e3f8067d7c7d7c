/**
 * Whether a request may have run.
 *
 * `not-run`: it has not run and will not run. `may-have-run`: it is unknown whether it has run. `ran`: it has run.
 */
export type Verdict = 'not-run' | 'may-have-run' | 'ran'

/** Whether a write to the store was applied. */
export type WriteVerdict = 'not-applied' | 'may-have-applied'
