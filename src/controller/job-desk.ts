import type { Store } from '../ports/store.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import type { JobProgress } from '../workflow/progress-record.ts'
import type { Report } from './report.ts'
import { readKey, transact } from './store-calls.ts'
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

export type JobDeskOptions = {
  readonly store: Store
  readonly report: Report
  /** Asks the leader for the phase of a job; undefined if it gives no sure answer. */
  readonly askLeader: (id: string) => Promise<{ readonly phase: JobPhase | undefined } | undefined>
  readonly tellJob: (definition: JobDefinition) => void
  readonly tellCancel: (id: string) => void
}

/** Takes jobs, questions and cancellations of callers at any member. What is acknowledged is in the store. */
export class JobDesk {
  private constructor (private readonly options: JobDeskOptions) {}

  /**
   * @example
   * const outcome = await JobDesk.create(options).submit(definition)
   */
  static create (options: JobDeskOptions): JobDesk {
    return new JobDesk(options)
  }

  async submit (definition: JobDefinition): Promise<Submission> {
    const key = jobKey(definition.id)
    const written = await transact(this.options.store, [{ type: 'absent', key }], [{ key, value: JSON.stringify(definition) }])
    if (written.isErr()) return written.error.verdict === 'not-applied' ? { type: 'refused', reason: written.error.reason } : this.confirm(definition, written.error.reason)
    this.options.tellJob(definition)
    return { type: 'accepted', known: !written.value.committed }
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
    if (job.value === undefined) return { type: 'absent' }
    const key = cancelKey(id)
    const written = await transact(store, [{ type: 'version', key: jobKey(id), version: job.value.version }], [{ key, value: '{}' }])
    if (written.isErr()) return { type: 'unavailable', reason: written.error.reason }
    this.options.tellCancel(id)
    return { type: 'found', phase: 'cancelled' }
  }

  /** The answer of the write was lost: a read that finds the job settles it, one that does not is no proof. */
  private async confirm (definition: JobDefinition, reason: string): Promise<Submission> {
    const stored = await readKey(this.options.store, jobKey(definition.id))
    if (stored.isErr() || stored.value === undefined) return { type: 'unknown', reason }
    this.options.tellJob(definition)
    return { type: 'accepted', known: false }
  }

  private async readPhase (id: string): Promise<Lookup> {
    const { store } = this.options
    const job = await readKey(store, jobKey(id))
    if (job.isErr()) return { type: 'unavailable', reason: job.error.reason }
    if (job.value === undefined) return { type: 'absent' }
    this.options.tellJob(JSON.parse(job.value.value) as JobDefinition)
    const progress = await readKey(store, progressKey(id))
    if (progress.isErr()) return { type: 'unavailable', reason: progress.error.reason }
    if (progress.value === undefined) return { type: 'found', phase: 'queued' }
    return { type: 'found', phase: (JSON.parse(progress.value.value) as JobProgress).phase }
  }
}
