/** Number of run numbers that belong to each term. A leader that has used up its own goes on with those of the next terms. */
const RUNS_PER_TERM = 1_000_000
/** Number of runs that a leader may start after a commit before the next one; more than it can start in that time. */
const RESERVED_RUNS = RUNS_PER_TERM / 2

/**
 * Computes the first run number of a term. Run numbers rise over the terms.
 *
 * @example
 * computeFirstRun(3) // 2_000_001
 */
export function computeFirstRun (term: number): number {
  return (term - 1) * RUNS_PER_TERM + 1
}

/**
 * Computes the last term whose run numbers a leader may use before its next commit. The next leader's term is higher.
 *
 * @example
 * computeReservedTerm(2_700_000) // 4
 */
export function computeReservedTerm (lastRun: number): number {
  return Math.ceil((lastRun + RESERVED_RUNS) / RUNS_PER_TERM)
}
