import { STORE_VALUE_LIMIT_BYTES } from '../../ports/store.ts'
import type { JobPhase } from '../../workflow/job.ts'
import type { JobProgress } from '../../workflow/progress-record.ts'
import type { Reporter } from '../reporter.ts'
import { progressKey } from './store-keys.ts'

/** How long the record of a job that the store has refused is replaced, in milliseconds, before it is tried again. */
const REFUSED_RETRY_MS = 60_000
/** A record of less than this part of the refused one is tried at once; that of a job that has ended is small. */
const SMALLER_RATIO = 0.5
/** Replaces a record that cannot be stored. A new leader cannot read it: it shows the job as running and starts nothing of it. */
const REPLACEMENT = JSON.stringify({ phase: 'running' })

/** Why a record is not stored. */
type SetAsideReason = 'too-large' | 'refused'

/** The stored progress of a job; `phase` is undefined if the record was replaced. */
export type JobRecord = { readonly id: string, readonly value: string, readonly phase: JobPhase | undefined }

/**
 * `until`: when its record is tried again, on the monotonic clock. `bytes`: size of the refused record.
 * `withReplacement`: the replacement was refused too.
 */
type RefusedJob = { readonly until: number, readonly bytes: number, readonly withReplacement: boolean }

export type JobRecordsOptions = {
  readonly reporter: Reporter
  readonly getProgress: (job: string) => JobProgress | undefined
}

/**
 * The records of the progress of jobs. One that the store does not take is replaced by a small one, so that it holds up no
 * other job, and the ends of its runs can be acknowledged: no later leader starts them again.
 */
export class JobRecords {
  private readonly refusedJobs = new Map<string, RefusedJob>()
  /** Jobs whose records are replaced now. */
  private readonly replacedJobs = new Set<string>()

  private constructor (private readonly options: JobRecordsOptions) {}

  /**
   * Creates the records of a term.
   *
   * @example
   * const records = JobRecords.create({ reporter, getProgress: (job) => scheduler.getProgress(job) })
   * records.build('5c0e7a21d94b36f8')?.value
   */
  static create (options: JobRecordsOptions): JobRecords {
    return new JobRecords(options)
  }

  /** Builds the record of a job, or the one that replaces it; undefined if there is nothing to store. */
  build (id: string): JobRecord | undefined {
    const progress = this.options.getProgress(id)
    const refusal = this.refusedJobs.get(id)
    if (progress === undefined || refusal?.withReplacement === true) return undefined
    const value = JSON.stringify(progress)
    const bytes = Buffer.byteLength(value)
    const isRefused = refusal !== undefined && bytes > SMALLER_RATIO * refusal.bytes
    if (bytes <= STORE_VALUE_LIMIT_BYTES && !isRefused) {
      this.replacedJobs.delete(id)
      return { id, value, phase: progress.phase }
    }
    if (!this.replacedJobs.has(id)) this.reportSetAside(progressKey(id), isRefused ? 'refused' : 'too-large', bytes)
    this.replacedJobs.add(id)
    return { id, value: REPLACEMENT, phase: undefined }
  }

  /** Records that the store refuses this value of a job. */
  refuse (id: string, value: string): void {
    this.refusedJobs.set(id, { until: performance.now() + REFUSED_RETRY_MS, bytes: Buffer.byteLength(value), withReplacement: value === REPLACEMENT })
  }

  /** Returns the jobs whose refused records are to be tried again now. */
  takeRetries (): readonly string[] {
    const now = performance.now()
    const due = [...this.refusedJobs].filter(([, { until }]) => until <= now).map(([id]) => id)
    for (const id of due) this.refusedJobs.delete(id)
    return due
  }

  /** Forgets a job whose progress is removed. */
  forget (id: string): void {
    this.refusedJobs.delete(id)
    this.replacedJobs.delete(id)
  }

  /** Whether a record that belongs to no job can be stored; reports it otherwise. */
  fits (key: string, value: string): boolean {
    const bytes = Buffer.byteLength(value)
    if (bytes <= STORE_VALUE_LIMIT_BYTES) return true
    this.reportSetAside(key, 'too-large', bytes)
    return false
  }

  reportSetAside (key: string, reason: SetAsideReason, bytes: number): void {
    this.options.reporter.log('error', 'record-set-aside', { key, reason, bytes })
    this.options.reporter.count('record-set-aside', reason)
  }
}
