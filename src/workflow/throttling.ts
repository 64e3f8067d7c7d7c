import type { CellState } from './cell-state.ts'
import type { LiveRun } from './live-run.ts'
import type { TargetState } from './target-state.ts'

/** Part of the bound at which the tasks beside a serving one are slowed, and at which they are sped up again. */
const SLOW_FROM = 0.85
const SPEED_UP_BELOW = 0.55
/** Steps of the pace, in percent. */
const SLOWER_FACTOR = 0.5
const FASTER_PERCENT = 15
const FULL_PERCENT = 100
const LEAST_PERCENT = 10
/** Time between two changes of a pace: the gauges cover half a second. */
const THROTTLE_INTERVAL_MS = 700

/** Slows tasks that fill beside tasks that serve too slowly, and speeds them up when there is slack. */
export function throttleTargets (state: CellState): void {
  for (const target of state.targets.values()) {
    if (target.reachable && target.fillCpuMillis > 0) throttleTarget(state, target)
  }
}

function throttleTarget (state: CellState, target: TargetState): void {
  const runs = [...target.runs.values()].filter((live) => live.phase === 'running')
  const worst = Math.max(0, ...runs.map(tension))
  for (const live of runs) {
    if (live.task.step.spec.fills) throttle(state, live, worst)
  }
}

/** Tail latency of a serving task as a part of its bound; 0 for any other. */
function tension (live: LiveRun): number {
  const { latencyTargetMs } = live.task.step.spec
  return latencyTargetMs === 0 || live.gauge === undefined ? 0 : live.gauge / latencyTargetMs
}

function throttle (state: CellState, live: LiveRun, worst: number): void {
  const wanted = wantedPercent(live.pacedPercent, worst)
  if (wanted === live.pacedPercent || state.now - live.lastSentAt < THROTTLE_INTERVAL_MS) return
  live.pacedPercent = wanted
  live.lastSentAt = state.now
  const command = { task: live.task.key, run: live.run, percent: wanted }
  state.effects.push({ type: 'throttle', target: live.target.id, id: live.target.id, address: live.target.entry.address, command })
}

function wantedPercent (present: number, worst: number): number {
  if (worst > 1) return 0
  if (worst > SLOW_FROM) return present <= LEAST_PERCENT ? 0 : Math.round(present * SLOWER_FACTOR)
  if (worst < SPEED_UP_BELOW) return Math.min(FULL_PERCENT, present + FASTER_PERCENT)
  return present
}
