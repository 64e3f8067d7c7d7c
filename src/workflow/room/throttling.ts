import type { CellState } from '../cell-state.ts'
import type { LiveRun } from '../live-run.ts'
import type { TargetState } from '../target-state.ts'

/** Ratios of a task's latency to its target above which best-effort tasks are slowed, and below which they are sped up. */
const THROTTLE_ABOVE_RATIO = 0.85
const SPEED_UP_BELOW_RATIO = 0.55
/** Changes and limits of the speed of a best-effort task. */
const THROTTLE_FACTOR = 0.5
const SPEED_UP_STEP_PERCENT = 15
const FULL_PERCENT = 100
const MIN_PERCENT = 10
/** Minimum time between two throttle commands for a run, because a latency measurement covers half a second. */
const THROTTLE_INTERVAL_MS = 700

/** Slows best-effort tasks on targets with too high latencies, and speeds them up when latencies are low. */
export function throttleTargets (state: CellState): void {
  for (const target of state.targets.values()) {
    if (target.reachable && target.bestEffortCpuMillis > 0) throttleTarget(state, target)
  }
}

function throttleTarget (state: CellState, target: TargetState): void {
  const runs = [...target.runs.values()].filter((live) => live.phase === 'running')
  const maxLatencyRatio = Math.max(0, ...runs.map(computeLatencyRatio))
  for (const live of runs) {
    if (live.task.step.spec.fills) throttleRun(state, live, maxLatencyRatio)
  }
}

/** Ratio of the tail latency of a latency-bound task to its target; 0 for other tasks. */
function computeLatencyRatio (live: LiveRun): number {
  const { latencyTargetMs } = live.task.step.spec
  return latencyTargetMs === 0 || live.gauge === undefined ? 0 : live.gauge / latencyTargetMs
}

function throttleRun (state: CellState, live: LiveRun, maxLatencyRatio: number): void {
  const percent = computeThrottlePercent(live.throttlePercent, maxLatencyRatio)
  if (percent === live.throttlePercent || state.now - live.lastSentAt < THROTTLE_INTERVAL_MS) return
  live.throttlePercent = percent
  live.lastSentAt = state.now
  const command = { task: live.task.key, run: live.run, percent }
  state.effects.push({ type: 'throttle', target: live.target.id, series: live.target.commandSeries, id: live.target.id, address: live.target.entry.address, command })
}

function computeThrottlePercent (currentPercent: number, maxLatencyRatio: number): number {
  if (maxLatencyRatio > 1) return 0
  if (maxLatencyRatio > THROTTLE_ABOVE_RATIO) return currentPercent <= MIN_PERCENT ? 0 : Math.round(currentPercent * THROTTLE_FACTOR)
  if (maxLatencyRatio < SPEED_UP_BELOW_RATIO) return Math.min(FULL_PERCENT, currentPercent + SPEED_UP_STEP_PERCENT)
  return currentPercent
}
