import type { CommitRecord, UnsettledTerm } from './store-keys.ts'

/**
 * Lists the terms whose runs may still be on targets when a new term begins: those that the last commit names, and its own.
 * A member with several of these terms is listed with the last one only, because it answers for all of them at once.
 *
 * @example
 * listUnsettledTerms({ term: 2, nonce, leader: b, unsettled: [{ term: 1, leader: a }] }) // terms 1 and 2
 */
export function listUnsettledTerms (previous: CommitRecord | undefined): readonly UnsettledTerm[] {
  if (previous === undefined) return []
  const earlier = (previous.unsettled ?? []).filter(({ leader }) => leader.address !== previous.leader.address)
  return [...earlier, { term: previous.term, leader: previous.leader, ...previous.witnesses !== undefined && { witnesses: previous.witnesses } }]
}
