import type { GroupNumber, MemberId } from '../model/ids.ts'
import { hash } from '../util/hash.ts'

/**
 * Ranks the members as owners of a group by rendezvous hashing: adding or removing a member moves only that member's groups.
 *
 * @example
 * rankMembers(3, ['a', 'b'])[0] // the preferred owner of group 3
 */
export function rankMembers (group: GroupNumber, members: readonly MemberId[]): readonly MemberId[] {
  const weighted = members.map((member) => ({ member, weight: hash(`${member}#${group}`) }))
  weighted.sort((left, right) => right.weight - left.weight || (left.member < right.member ? -1 : 1))
  return weighted.map((entry) => entry.member)
}
