import { count } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { LiveRun } from './live-run.ts'
import { sendStop } from './runs.ts'
import type { TargetState } from './target-state.ts'

/** A run without progress for this time is stuck, in milliseconds; long ones progress by a percent more slowly. */
const STUCK_AFTER_MS = 2_000
const STUCK_ESTIMATE_PART = 0.04
/** A run that saves its state moves if it has taken and would still take this many times the declared time. */
const SLOW_FACTOR = 2.5
const AT_WORK_PERCENT = 100
/** A target with a stuck run takes no new work for this time, in milliseconds. */
const PAUSE_MS = 4_000

/** Stops runs that make no progress, or hardly any, so that their tasks start elsewhere. */
export function stopStragglers (state: CellState): void {
  for (const target of state.targets.values()) {
    if (target.reachable) stopOn(state, target)
  }
}

function stopOn (state: CellState, target: TargetState): void {
  for (const live of [...target.runs.values()]) {
    const reason = stragglingReason(live, state.now)
    if (reason === undefined) continue
    target.pausedUntil = Math.max(target.pausedUntil, state.now + PAUSE_MS)
    count(state, 'run-moved', reason)
    sendStop(state, live, reason)
  }
}

function stragglingReason (live: LiveRun, now: number): 'stuck' | 'slow' | undefined {
  const { spec } = live.task.step
  // Tasks that fill get only what others leave, and the members of a gang wait for each other.
  if (live.phase !== 'running' || spec.fills || spec.gang) return undefined
  if (spec.longRunning && live.percent >= AT_WORK_PERCENT) return undefined
  if (now - live.percentChangedAt > STUCK_AFTER_MS + spec.estimatedMs * STUCK_ESTIMATE_PART) return 'stuck'
  if (spec.longRunning || !spec.checkpoints) return undefined
  const elapsedMs = now - live.startedAt
  const remainingMs = elapsedMs * (AT_WORK_PERCENT - live.percent) / Math.max(1, live.percent)
  return elapsedMs > SLOW_FACTOR * spec.estimatedMs && remainingMs > SLOW_FACTOR * spec.estimatedMs ? 'slow' : undefined
}
