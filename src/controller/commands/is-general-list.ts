import type { ListRequest } from '../../ports/command-client.ts'

/**
 * Returns whether a list request carries neither a lease nor a cursor, so that it may reach any incarnation of a target.
 *
 * @example
 * isGeneralList({ epoch: 3, acknowledged: 0, leaseUntilMs: undefined, waitMs: 0 }) // true
 */
export function isGeneralList ({ acknowledged, leaseUntilMs }: Pick<ListRequest, 'acknowledged' | 'leaseUntilMs'>): boolean {
  return leaseUntilMs === undefined && acknowledged === 0
}
