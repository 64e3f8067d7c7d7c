import type { CellEvent } from '../../workflow/event.ts'
import type { UnsettledTargets } from '../../workflow/takeover/earlier-lapse.ts'

/** What a leader knows of the runs of earlier terms. */
export type EarlierRuns = {
  /** Whether all leases of earlier leaders have ended, wherever they were given. */
  readonly lapsed: boolean
  /** Whether all targets of earlier leaders are listed, apart from closed ones. */
  readonly listed: boolean
  /** Targets that are not listed, and whose leases go on; undefined before the published targets are read. */
  readonly unsettled: UnsettledTargets | undefined
}

/**
 * Decides whether restored tasks may start: the event that tells the scheduler; undefined while they may run on open targets. Tasks
 * that may run on closed ones are held back.
 *
 * @example
 * findEarlierRunsEvent({ lapsed: false, listed: false, unsettled: { open: [], closed: [] } }) // { type: 'earlier-runs-lapsed' }
 */
export function findEarlierRunsEvent ({ lapsed, listed, unsettled }: EarlierRuns): CellEvent | undefined {
  if (lapsed) return { type: 'earlier-runs-lapsed' }
  if (listed) return { type: 'earlier-runs-listed' }
  if (unsettled?.open.length !== 0) return undefined
  return { type: unsettled.closed.length === 0 ? 'earlier-runs-lapsed' : 'earlier-runs-listed' }
}
