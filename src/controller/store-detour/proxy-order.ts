import type { Peer } from '../member-call.ts'

/** A member that has failed as a proxy is asked after all others for this time, in milliseconds. */
export const FAILURE_MEMORY_MS = 5_000

/** `leader`: address of the leader, which has the most work of its own. `failedAt`: by address, on the monotonic clock. */
export type ProxyOrderOptions = {
  readonly candidates: readonly Peer[]
  readonly ownDomain: string | undefined
  readonly leader: string | undefined
  readonly failedAt: ReadonlyMap<string, number>
  readonly now: number
}

/**
 * Orders the members that may call the store for this one: those that have not failed of late first, of these the leader last, and
 * of the others those of the own failure domain first. Otherwise they keep their order.
 *
 * @example
 * orderProxies({ candidates, ownDomain: 'east', leader: undefined, failedAt: new Map(), now: performance.now() }).slice(0, 3)
 */
export function orderProxies ({ candidates, ownDomain, leader, failedAt, now }: ProxyOrderOptions): readonly Peer[] {
  const rank = ({ address, failureDomain }: Peer): number => {
    const hasFailed = now - (failedAt.get(address) ?? -Infinity) < FAILURE_MEMORY_MS
    const isElsewhere = failureDomain === undefined || failureDomain !== ownDomain
    return (hasFailed ? 4 : 0) + (address === leader ? 2 : 0) + (isElsewhere ? 1 : 0)
  }
  return [...candidates].sort((left, right) => rank(left) - rank(right))
}
