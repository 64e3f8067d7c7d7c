/** Number of fencing numbers that belong to each term; more than the series of commands that one leader can send to a target. */
const NUMBERS_PER_TERM = 1_000_000

/**
 * Computes the number that the commands of a series to a target carry. A series begins when the target restarts under the leader of
 * the term, or when the leader revokes its commands. A target does nothing for a lower number than it has seen, so that commands of
 * a series have no effect once the target has received one of the next. The numbers of a term are above those of all earlier terms,
 * and above the bare terms that older releases send.
 *
 * @example
 * computeFencingNumber(3, 2) // 3_000_002
 */
export function computeFencingNumber (term: number, series: number): number {
  return term * NUMBERS_PER_TERM + Math.min(series, NUMBERS_PER_TERM - 1)
}

/**
 * Returns the term of a fencing number. Older releases send the bare term.
 *
 * @example
 * toTerm(3_000_002) // 3
 */
export function toTerm (fencingNumber: number): number {
  return fencingNumber < NUMBERS_PER_TERM ? fencingNumber : Math.floor(fencingNumber / NUMBERS_PER_TERM)
}
