import { delay } from '../delay.ts'
import type { ControllerOptions } from '../controller-options.ts'
import { readStoredState } from './read-stored-state.ts'
import type { StoredState } from './read-stored-state.ts'
import { areCommandsBound } from '../leadership/unsettled-terms.ts'

const RETRY_DELAY_MS = 200

export type RestoreOptions = Pick<ControllerOptions, 'store' | 'reporter' | 'term' | 'isLeaseConfirmed' | 'jobMemory'> & {
  readonly isStopped: () => boolean
  /** Takes the state over, at the moment at which the lease is confirmed. */
  readonly onRead: (state: StoredState) => void
}

/**
 * Reads the jobs, their progress and the targets of earlier leaders; retries until it succeeds or the term ends. Returns the version of
 * the store as of which the jobs were read; undefined if the term has ended.
 *
 * @example
 * const version = await restoreState({ ...options, isStopped: () => this.stopped, onRead: (state) => this.takeOver(state) })
 */
export async function restoreState ({ store, reporter, term, isLeaseConfirmed, jobMemory, isStopped, onRead }: RestoreOptions): Promise<number | undefined> {
  const startedAt = performance.now()
  while (!isStopped()) {
    const state = await readStoredState(store, reporter, areCommandsBound(term.unsettled), jobMemory)
    // Without the lease another member may lead, and a job that was read may be a new one of its term.
    if (state !== undefined && isLeaseConfirmed()) {
      onRead(state)
      reporter.log('info', 'jobs-restored', { jobs: state.jobCount, durationMs: Math.round(performance.now() - startedAt) })
      return state.version
    }
    await delay(RETRY_DELAY_MS)
  }
  return undefined
}
