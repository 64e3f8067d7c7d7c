import type { Store } from '../ports/store.ts'
import type { CellEvent } from '../workflow/event.ts'
import type { JobMemory } from '../workflow/held-jobs.ts'
import type { TargetListing } from '../workflow/target-entry.ts'
import { delay } from './delay.ts'
import type { Reporter } from './reporter.ts'
import { StoredJobs } from './records/stored-jobs.ts'
import { readPages } from './store-calls.ts'
import { CANCEL_SUFFIX, JOB_PREFIX } from './records/store-keys.ts'

const RETRY_DELAY_MS = 50

export type LateJobsOptions = {
  readonly store: Store
  readonly reporter: Reporter
  /** Whether a leader of an earlier term may still accept jobs. */
  readonly mayBeAcceptedElsewhere: () => boolean
  /** Whether all runs of earlier terms are known or have lapsed. */
  readonly isSettled: () => boolean
  readonly isLeaseConfirmed: () => boolean
  readonly jobMemory?: JobMemory | undefined
  readonly isKnownJob: (id: string) => boolean
  /** Called with events that restore the jobs that were stored since the term began; an earlier leader may have started them. */
  readonly onRead: (events: readonly CellEvent[]) => void
  readonly isStopped: () => boolean
}

/**
 * Jobs that are stored while a new term begins. A leader whose record was removed may go on accepting jobs for a moment, so
 * that such a job is not certainly a new one. These jobs wait until the earlier leaders have stopped accepting; what is in the
 * store then is restored, and what comes later is new.
 */
export class LateJobs {
  private wereRead = false

  private constructor (private readonly options: LateJobsOptions) {}

  /**
   * Creates the late jobs of a term whose other jobs have been restored.
   *
   * @example
   * const lateJobs = LateJobs.create(options)
   * await lateJobs.read()
   * lateJobs.areKnown // true
   */
  static create (options: LateJobsOptions): LateJobs {
    return new LateJobs(options)
  }

  /** Whether each job that is not known is a new one. Settled terms have nothing left to start a job on. */
  get areKnown (): boolean {
    return this.wereRead || this.options.isSettled()
  }

  /** Whether a listing names a job that may still become known. Its ends must not be acknowledged, nor its runs be stopped. */
  mayBecomeKnown ({ running, ended }: TargetListing): boolean {
    if (this.areKnown || this.options.isStopped()) return false
    return [...running, ...ended].some(({ task }) => !this.options.isKnownJob(task.slice(0, task.indexOf('.'))))
  }

  /** Reads the jobs once no earlier leader accepts any, unless the earlier terms are settled before. */
  async read (): Promise<void> {
    const { mayBeAcceptedElsewhere, isLeaseConfirmed, isStopped } = this.options
    while (!this.areKnown && !isStopped()) {
      if (!mayBeAcceptedElsewhere() && isLeaseConfirmed() && await this.tryRead()) return
      await delay(RETRY_DELAY_MS)
    }
  }

  private async tryRead (): Promise<boolean> {
    const { store, reporter, isKnownJob, isLeaseConfirmed, jobMemory, isStopped, onRead } = this.options
    const late = StoredJobs.create((message, key) => reporter.log('error', message, { key }), jobMemory)
    const jobs = await readPages(store, JOB_PREFIX, (entries) => {
      const unknown = entries.filter(({ key }) => !key.endsWith(CANCEL_SUFFIX) && !isKnownJob(key.slice(JOB_PREFIX.length)))
      for (const entry of unknown) late.addJob(entry)
    })
    if (jobs.isErr() || isStopped() || !isLeaseConfirmed()) return false
    if (late.size > 0) reporter.log('info', 'late-jobs-restored', { jobs: late.size })
    onRead(late.toEvents())
    this.wereRead = true
    return true
  }
}
