import type { CommitRecord, UnsettledTerm } from '../records/store-keys.ts'

/**
 * Lists the terms whose runs may still be on targets when a new term begins: those that the last commit names, and its own.
 * A member with several of these terms is listed with the last one only, because it answers for all of them at once; it counts as one
 * that binds commands only if it has done so in all of them.
 *
 * @example
 * listUnsettledTerms({ term: 2, nonce, leader: b, unsettled: [{ term: 1, leader: a }] }) // terms 1 and 2
 */
export function listUnsettledTerms (previous: CommitRecord | undefined): readonly UnsettledTerm[] {
  if (previous === undefined) return []
  const { term, leader, witnesses, unsettled = [] } = previous
  const earlier = unsettled.filter((other) => other.leader.address !== leader.address)
  const earlierOfLeader = unsettled.filter((other) => other.leader.address === leader.address)
  const { bindsCommands, ...unboundLeader } = leader
  const isBound = bindsCommands === true && areCommandsBound(earlierOfLeader)
  return [...earlier, { term, leader: isBound ? leader : unboundLeader, ...witnesses !== undefined && { witnesses } }]
}

/**
 * Whether all commands of these terms were bound to the incarnations that were meant.
 *
 * @example
 * areCommandsBound([{ term: 1, leader: { member: 'entry-1', address: '10.0.0.1:7420' } }]) // false: an older release
 */
export function areCommandsBound (terms: readonly UnsettledTerm[]): boolean {
  return terms.every(({ leader }) => leader?.bindsCommands === true)
}
