import type { ListRequest } from '../ports/command-client.ts'
import type { TargetState } from './target-state.ts'

/** How long the target may delay its listing until a run completes. */
const LIST_WAIT_MS = 1_000
/** Wait for targets where best-effort tasks run beside latency-bound ones, because throttling needs recent latencies. */
const THROTTLED_LIST_WAIT_MS = 500
/** Wait while the target is not commanded, because leases and starts wait for a listing and a stored record. */
const NOT_COMMANDED_LIST_WAIT_MS = 50
/** Wait while runs of the incarnation before are being stopped, or starts were revoked: their tasks wait for a listing without them. */
const AWAITED_LIST_WAIT_MS = 50

/**
 * Builds the next list request for a target. It extends the lease of the runs only while the target is reachable: leases
 * on an unreachable target must expire, so that the tasks can start elsewhere. After a request without an answer the target
 * may have restarted, so that the next one carries nothing that holds for one incarnation only, and is answered at once. For
 * the same reason a cursor is sent until it has been answered, and no longer: a request may be executed late. `isCommanded`: whether
 * this owner may give the target leases.
 *
 * @example
 * const request = buildListRequest(target, performance.now(), 5_000, true)
 */
export function buildListRequest (target: TargetState, now: number, leaseMs: number, isCommanded = true): Omit<ListRequest, 'epoch'> {
  const isCertain = target.reachable && !target.listUnanswered
  const clockMs = isCertain && isCommanded ? target.estimateClockMs(now) : undefined
  const leaseUntilMs = clockMs === undefined ? undefined : Math.floor(clockMs + leaseMs)
  if (leaseUntilMs !== undefined) target.extendLease(leaseUntilMs, now)
  target.sentCursor = isCertain && target.lastAcknowledged > target.answeredCursor ? target.lastAcknowledged : 0
  return { acknowledged: target.sentCursor, leaseUntilMs, waitMs: isCertain ? computeWaitMs(target, isCommanded) : 0 }
}

function computeWaitMs (target: TargetState, isCommanded: boolean): number {
  if (!isCommanded) return NOT_COMMANDED_LIST_WAIT_MS
  if (hasAwaitedRuns(target)) return AWAITED_LIST_WAIT_MS
  return target.latencyBoundRuns > 0 && target.bestEffortCpuMillis > 0 ? THROTTLED_LIST_WAIT_MS : LIST_WAIT_MS
}

function hasAwaitedRuns ({ runs }: TargetState): boolean {
  for (const { carriedOver, startsRevoked } of runs.values()) {
    if (carriedOver || startsRevoked) return true
  }
  return false
}
