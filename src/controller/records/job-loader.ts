import PQueue from 'p-queue'
import type { Store } from '../../ports/store.ts'
import type { CellEvent } from '../../workflow/event.ts'
import { delay } from '../delay.ts'
import type { Reporter } from '../reporter.ts'
import { readKey } from '../store-calls.ts'
import { parseDefinition } from './parse-definition.ts'
import { isJobProgress } from './record-guards.ts'
import { jobKey, progressKey } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

/** Each job in memory twice, as text and as objects, takes some megabytes. */
const MAX_CONCURRENT_READS = 4
const RETRY_DELAY_MS = 200

export type JobLoaderOptions = {
  readonly store: Store
  readonly reporter: Reporter
  readonly applyEvent: (event: CellEvent) => void
  readonly isStopped: () => boolean
}

/** Reads jobs from the store that the scheduler has deferred, a few at a time, until it succeeds or the term ends. */
export class JobLoader {
  private readonly queue = new PQueue({ concurrency: MAX_CONCURRENT_READS })

  private constructor (private readonly options: JobLoaderOptions) {}

  /**
   * Creates a loader that reads nothing yet.
   *
   * @example
   * const jobLoader = JobLoader.create({ store, reporter, applyEvent, isStopped })
   * jobLoader.load('5c0e7a21d94b36f8')
   */
  static create (options: JobLoaderOptions): JobLoader {
    return new JobLoader(options)
  }

  /** Reads a job; the outcome becomes an event of the scheduler. */
  load (id: string): void {
    this.queue.add(() => this.loadUntilRead(id)).catch((error: unknown) => this.options.reporter.log('error', 'job-load-failed', { job: id, detail: String(error) }))
  }

  private async loadUntilRead (id: string): Promise<void> {
    while (!this.options.isStopped()) {
      const event = await this.tryRead(id)
      if (event !== undefined) return this.options.applyEvent(event)
      await delay(RETRY_DELAY_MS)
    }
  }

  /** Returns undefined if a call to the store fails. */
  private async tryRead (id: string): Promise<CellEvent | undefined> {
    const { store, reporter } = this.options
    const [job, progress] = await Promise.all([readKey(store, jobKey(id)), readKey(store, progressKey(id))])
    if (job.isErr() || progress.isErr()) return undefined
    const stored = progress.value === undefined ? undefined : parseRecord(progress.value.value, isJobProgress)
    if (progress.value !== undefined && stored === undefined) {
      reporter.log('error', 'progress-unreadable', { key: progressKey(id) })
      return { type: 'job-not-loaded', id, phase: 'running' }
    }
    const [definition] = job.value === undefined ? [] : parseDefinition(job.value, (message, key) => reporter.log('error', message, { key }))
    return definition === undefined ? { type: 'job-not-loaded', id, phase: stored?.phase } : { type: 'job-loaded', definition, progress: stored }
  }
}
