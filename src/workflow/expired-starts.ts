import type { LiveRun } from './live-run.ts'

/**
 * Whether the target refuses the start commands of the run by now, because their lease has ended on its clock. That is an estimate:
 * only a listing shows it.
 */
export function haveStartsExpired ({ target, startLeaseUntilMs }: LiveRun, now: number): boolean {
  return (target.estimateClockMs(now) ?? 0) > startLeaseUntilMs
}
