import { count } from './cell-state.ts'
import type { CellState } from './cell-state.ts'
import type { LiveRun } from './live-run.ts'
import { sendStop } from './runs.ts'
import type { TargetState } from './target-state.ts'

/**
 * A run without progress for this time is stuck, in milliseconds. A part of the estimated duration is added, because long
 * runs take longer for each percent.
 */
const STUCK_AFTER_MS = 2_000
const STUCK_ESTIMATE_RATIO = 0.04
/** A run with checkpoints is moved if it has taken and would still take more than this many times the estimated duration. */
const SLOW_FACTOR = 2.5
const COMPLETE_PERCENT = 100
/** A target with a straggler gets no new tasks for this time, in milliseconds. */
const TARGET_PAUSE_MS = 4_000

/** Stops runs that are stuck or very slow, so that their tasks start on other targets. */
export function stopStragglers (state: CellState): void {
  for (const target of state.targets.values()) {
    if (target.reachable) stopStragglersOn(state, target)
  }
}

function stopStragglersOn (state: CellState, target: TargetState): void {
  for (const live of [...target.runs.values()]) {
    const reason = findStragglerReason(live, state.now)
    if (reason === undefined) continue
    target.pausedUntil = Math.max(target.pausedUntil, state.now + TARGET_PAUSE_MS)
    count(state, 'run-moved', reason)
    sendStop(state, live, reason)
  }
}

function findStragglerReason (live: LiveRun, now: number): 'stuck' | 'slow' | undefined {
  const { spec, expectedMs } = live.task.step
  // Best-effort tasks get only idle processor time, and the members of a gang wait for each other.
  if (live.phase !== 'running' || spec.fills || spec.gang) return undefined
  if (spec.longRunning && live.percent >= COMPLETE_PERCENT) return undefined
  if (now - live.percentChangedAt > STUCK_AFTER_MS + expectedMs * STUCK_ESTIMATE_RATIO) return 'stuck'
  if (spec.longRunning || !spec.checkpoints) return undefined
  const elapsedMs = now - live.startedAt
  const remainingMs = elapsedMs * (COMPLETE_PERCENT - live.percent) / Math.max(1, live.percent)
  return elapsedMs > SLOW_FACTOR * expectedMs && remainingMs > SLOW_FACTOR * expectedMs ? 'slow' : undefined
}
