import type { TargetState } from './target-state.ts'
import type { Task } from './task.ts'

/**
 * `starting`: the start command has no response yet. `running`: the target has confirmed the run. `stopping`: a stop
 * command was sent. In each phase the run is booked on its target and counts towards the usage of its organisation.
 */
export type LivePhase = 'starting' | 'running' | 'stopping'

/** One run of a task on one target, from the start command until the run has certainly ended. */
export type LiveRun = {
  readonly task: Task
  readonly run: number
  /** Replaced when the target restarts with the same id. */
  target: TargetState
  /** Whether a previous owner started it. */
  readonly adopted: boolean
  /** Whether it started from a checkpoint, so that it began with progress and does a part of the work only. */
  readonly resumed: boolean
  /** Whether it started on an earlier incarnation of the target and has not been listed by this one. */
  carriedOver: boolean
  /** From when on none of its start commands can be executed any more, on the scheduler's clock. */
  startCommandsEndAt: number
  /** Whether its start commands were revoked, and no listing has shown since whether it is there. */
  startsRevoked: boolean
  /** Whether its target has listed it on a request sent after that: no later incarnation of the target can have it. */
  endsWithTarget: boolean
  /** Whether its queue has the highest priority. */
  readonly urgent: boolean
  /** Whether its target has listed it some time after its start, so that the start has not crashed the target. */
  settled: boolean
  phase: LivePhase
  ticket: string | undefined
  /** Number of commands sent in the current phase. */
  sendCount: number
  /** Number of its start commands that certainly were not sent. */
  unsentCount: number
  lastSentAt: number
  /** When the target responded to the command of the current phase; undefined before the response. */
  respondedAt: number | undefined
  startedAt: number
  percent: number
  percentChangedAt: number
  checkpoint: string
  /** Speed of the last throttle command, in percent. */
  throttlePercent: number
  gauge: number | undefined
}
