import type { Store } from '../ports/store.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import type { JobProgress } from '../workflow/progress-record.ts'
import { delay } from './delay.ts'
import type { Reporter } from './reporter.ts'
import { readKey, transact } from './store-calls.ts'
import { parseRecord } from './stored-record.ts'
import { cancelKey, jobKey, progressKey } from './store-keys.ts'

/**
 * Outcome of handing a job in. `accepted`: it is stored. `refused`: it is not stored and never will be.
 * `unknown`: it may be stored.
 */
export type Submission =
  | { readonly type: 'accepted', readonly known: boolean }
  | { readonly type: 'refused', readonly reason: string }
  | { readonly type: 'unknown', readonly reason: string }

export type Lookup =
  | { readonly type: 'found', readonly phase: JobPhase }
  | { readonly type: 'absent' }
  | { readonly type: 'unavailable', readonly reason: string }

/** Pause between two tries of a write whose answer was lost, in milliseconds. */
const RETRY_MS = 100

export type JobServiceOptions = {
  readonly store: Store
  readonly report: Reporter
  /** False while the store leaves calls unanswered or refuses them: a write would end in doubt. */
  readonly storeAnswers: () => boolean
  /** Asks the leader for the phase of a job; undefined if it gives no sure answer. */
  readonly askLeader: (id: string) => Promise<{ readonly phase: JobPhase | undefined } | undefined>
  readonly tellJob: (definition: JobDefinition) => void
  readonly tellCancel: (id: string) => void
}

/** Takes jobs, questions and cancellations of callers at any member. What is acknowledged is in the store. */
export class JobService {
  private constructor (private readonly options: JobServiceOptions) {}

  /**
   * @example
   * const outcome = await JobDesk.create(options).submit(definition)
   */
  static create (options: JobServiceOptions): JobService {
    return new JobService(options)
  }

  /** Stores a job; tries again until `deadline` (steady clock, milliseconds) once a write may have taken effect. */
  async submit (definition: JobDefinition, deadline: number): Promise<Submission> {
    if (!this.options.storeAnswers()) return { type: 'refused', reason: 'store-silent' }
    const key = jobKey(definition.id)
    // The definition of a job that has ended is gone, its progress is not.
    const unknownJob = [key, progressKey(definition.id)].map((absent) => ({ type: 'absent', key: absent }) as const)
    const value = JSON.stringify(definition)
    let doubtful = false
    for (;;) {
      const written = await transact(this.options.store, unknownJob, [{ key, value }])
      if (written.isOk()) {
        this.options.tellJob(definition)
        return { type: 'accepted', known: !written.value.committed }
      }
      const { reason, verdict } = written.error
      doubtful ||= verdict === 'may-have-applied'
      if (!doubtful) return { type: 'refused', reason }
      if (performance.now() + RETRY_MS > deadline) return { type: 'unknown', reason }
      await delay(RETRY_MS)
    }
  }

  async phase (id: string): Promise<Lookup> {
    const told = await this.options.askLeader(id)
    if (told?.phase !== undefined) return { type: 'found', phase: told.phase }
    return this.readPhase(id)
  }

  /** Cancels a job; `found` once the cancelling is stored. */
  async cancel (id: string): Promise<Lookup> {
    const { store } = this.options
    const job = await readKey(store, jobKey(id))
    if (job.isErr()) return { type: 'unavailable', reason: job.error.reason }
    if (job.value === undefined) return this.readProgress(id, 'absent')
    const key = cancelKey(id)
    const written = await transact(store, [{ type: 'version', key: jobKey(id), version: job.value.version }], [{ key, value: '{}' }])
    if (written.isErr()) return { type: 'unavailable', reason: written.error.reason }
    this.options.tellCancel(id)
    return { type: 'found', phase: 'cancelled' }
  }

  private async readPhase (id: string): Promise<Lookup> {
    const { store } = this.options
    const job = await readKey(store, jobKey(id))
    if (job.isErr()) return { type: 'unavailable', reason: job.error.reason }
    if (job.value === undefined) return this.readProgress(id, 'absent')
    const definition = parseRecord<JobDefinition>(job.value.value)
    if (definition !== undefined) this.options.tellJob(definition)
    return this.readProgress(id, 'queued')
  }

  /** The stored phase of a job; without a record it is `otherwise`. */
  private async readProgress (id: string, otherwise: 'absent' | 'queued'): Promise<Lookup> {
    const progress = await readKey(this.options.store, progressKey(id))
    if (progress.isErr()) return { type: 'unavailable', reason: progress.error.reason }
    const stored = progress.value === undefined ? undefined : parseRecord<JobProgress>(progress.value.value)
    if (stored !== undefined) return { type: 'found', phase: stored.phase }
    return otherwise === 'absent' ? { type: 'absent' } : { type: 'found', phase: otherwise }
  }
}
