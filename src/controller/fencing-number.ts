/** Number of fencing numbers that belong to each term; more than the restarts of a target that one leader can see. */
const NUMBERS_PER_TERM = 1_000_000

/**
 * Computes the number that commands carry to a target which has restarted so often under the leader of a term. A target does
 * nothing for a lower number than it has seen, so that commands to an incarnation have no effect on the next one once that has
 * received one. The numbers of a term are above those of all earlier terms, and above the bare terms that older releases send.
 *
 * @example
 * computeFencingNumber(3, 2) // 3_000_002
 */
export function computeFencingNumber (term: number, restarts: number): number {
  return term * NUMBERS_PER_TERM + Math.min(restarts, NUMBERS_PER_TERM - 1)
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
