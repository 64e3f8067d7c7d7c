import type { ListRequest } from '../ports/command-client.ts'
import type { TargetState } from './target-state.ts'

/** How long the target may delay its listing until a run completes. */
const LIST_WAIT_MS = 1_000
/** Wait for targets where best-effort tasks run beside latency-bound ones, because throttling needs recent latencies. */
const THROTTLED_LIST_WAIT_MS = 500
/** Wait while runs of the incarnation before are being stopped, because their tasks wait for a listing without them. */
const CARRIED_OVER_LIST_WAIT_MS = 50

/**
 * Builds the next list request for a target. It extends the lease of the runs only while the target is reachable: leases
 * on an unreachable target must expire, so that the tasks can start elsewhere. With `immediate` the target responds without
 * waiting for a completion.
 *
 * @example
 * const request = buildListRequest(target, performance.now(), 5_000)
 */
export function buildListRequest (target: TargetState, now: number, leaseMs: number, immediate = false): Omit<ListRequest, 'epoch'> {
  const clockMs = target.reachable ? target.estimateClockMs(now) : undefined
  const leaseUntilMs = clockMs === undefined ? undefined : Math.floor(clockMs + leaseMs)
  if (leaseUntilMs !== undefined) target.extendLease(leaseUntilMs, now)
  return { acknowledged: target.lastAcknowledged, leaseUntilMs, waitMs: immediate ? 0 : computeWaitMs(target) }
}

function computeWaitMs (target: TargetState): number {
  if (!target.reachable) return 0
  if (hasCarriedOverRuns(target)) return CARRIED_OVER_LIST_WAIT_MS
  return target.latencyBoundRuns > 0 && target.bestEffortCpuMillis > 0 ? THROTTLED_LIST_WAIT_MS : LIST_WAIT_MS
}

function hasCarriedOverRuns ({ runs }: TargetState): boolean {
  for (const { carriedOver } of runs.values()) {
    if (carriedOver) return true
  }
  return false
}
