import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

/**
 * `starting`: the order is on its way or has no answer yet. `running`: the target has confirmed it. `stopping`: a stop
 * was sent. In each of these phases the run takes room on its target and counts for its organisation.
 */
export type LivePhase = 'starting' | 'running' | 'stopping'

/** One start of a task on one target, from the order until it has certainly ended. */
export type LiveRun = {
  readonly task: Task
  readonly run: number
  /** Changes when the target starts anew under its id. */
  target: TargetState
  /** Its queue has the highest priority. */
  readonly urgent: boolean
  phase: LivePhase
  ticket: string | undefined
  /** Orders sent for the present phase. */
  sends: number
  lastSentAt: number
  /** When the target answered the order of the present phase; undefined: no answer yet. */
  answeredAt: number | undefined
  startedAt: number
  percent: number
  percentChangedAt: number
  checkpoint: string
  /** Share of its speed that the run was last told to work at. */
  pacedPercent: number
  gauge: number | undefined
}
