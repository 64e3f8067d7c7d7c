import type { ListRequest } from '../ports/command-client.ts'
import type { TargetState } from './target-state.ts'

/** How long a listing waits at the target for an end, in milliseconds. */
const WAIT_MS = 1_000
/** Where tasks that serve share a target with tasks that fill, their gauges are looked at more often. */
const PACED_WAIT_MS = 500

/**
 * The next question to a target. It extends the lease of the runs only while the target answers: the runs of a silent
 * target must lapse, so that their tasks can start elsewhere. With `atOnce` the target answers without waiting for an end.
 *
 * @example
 * const order = nextListOrder(target, performance.now(), 5_000)
 */
export function nextListOrder (target: TargetState, now: number, leaseMs: number, atOnce = false): Omit<ListRequest, 'epoch'> {
  const clock = target.reachable ? target.clockAt(now) : undefined
  const leaseUntilMs = clock === undefined ? undefined : Math.floor(clock + leaseMs)
  if (leaseUntilMs !== undefined) target.leaseUntilMs = Math.max(target.leaseUntilMs, leaseUntilMs)
  return { acknowledged: target.acknowledged, leaseUntilMs, waitMs: atOnce ? 0 : waitOf(target) }
}

function waitOf (target: TargetState): number {
  if (!target.reachable) return 0
  return target.serving > 0 && target.fillCpuMillis > 0 ? PACED_WAIT_MS : WAIT_MS
}
