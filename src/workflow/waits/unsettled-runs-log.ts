import { log } from '../cell-state.ts'
import type { CellState } from '../cell-state.ts'
import { computeEarlierLapse } from '../takeover/earlier-lapse.ts'
import { computeLongestEarlierLeaseMs } from '../takeover/earlier-leases.ts'
import { formatTargets } from './task-wait-fields.ts'
import type { LogFields } from './task-wait-fields.ts'
import { findUnlistedTargets } from '../takeover/unlisted-targets.ts'

const LOG_INTERVAL_MS = 1_000

/** Logs which targets a new owner cannot list, while it waits for the runs of previous owners. */
export class UnsettledRunsLog {
  private waitsSince: number | undefined
  private lastWrittenAt = 0

  private constructor () {}

  /**
   * Creates a log of a wait that has not begun.
   *
   * @example
   * const unsettledRuns = UnsettledRunsLog.create()
   * unsettledRuns.update(state)
   */
  static create (): UnsettledRunsLog {
    return new UnsettledRunsLog()
  }

  /** Writes a line if the last one is old enough. */
  update (state: CellState): void {
    const { earlierRunsPossible, heldBackTasks, now } = state
    if (!earlierRunsPossible && heldBackTasks.size === 0) {
      this.waitsSince = undefined
      return
    }
    if (this.waitsSince === undefined) {
      this.waitsSince = now
      this.lastWrittenAt = now
    }
    if (now - this.lastWrittenAt < LOG_INTERVAL_MS) return
    this.lastWrittenAt = now
    const counts = { waitedMs: Math.round(now - this.waitsSince), earlierRunsPossible, heldBackTasks: heldBackTasks.size }
    const unlisted = findUnlistedTargets(state)
    const lapsesAt = Math.max(...unlisted.map((id) => computeEarlierLapse(state, id)))
    const atMost: LogFields = Number.isFinite(lapsesAt) ? { atMostMs: Math.ceil(Math.max(0, lapsesAt - now)) } : {}
    log(state, 'info', 'earlier-runs-unsettled', { ...counts, ...formatTargets(unlisted), longestLeaseMs: computeLongestEarlierLeaseMs(state), ...atMost })
  }
}
