import type { Store } from '../ports/store.ts'
import { assertNever } from '../util/assert-never.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import { delay } from './delay.ts'
import { RecentSubmissions } from './admission/recent-submissions.ts'
import type { AttemptOutcome, EarlierAttempts } from './admission/recent-submissions.ts'
import type { Reporter } from './reporter.ts'
import { readKey, transact } from './store-calls.ts'
import { parseJobDefinition } from './records/parse-job-definition.ts'
import { isJobProgress } from './records/record-guards.ts'
import { parseRecord } from './records/stored-record.ts'
import { cancelKey, jobKey, progressKey } from './records/store-keys.ts'

/**
 * Outcome of a submission. `accepted`: the job is stored, by this or an earlier submission. `refused`: the job is not
 * stored and never will be; `retryAfterMs` says when it is expected to be accepted, if that is known. `unknown`: the job may
 * be stored.
 */
export type SubmissionOutcome =
  | { readonly type: 'accepted', readonly alreadyStored: boolean }
  | { readonly type: 'refused', readonly reason: string, readonly retryAfterMs?: number }
  | { readonly type: 'unknown', readonly reason: string }

/** Result of looking up a job. `absent`: no such job is known. `unavailable`: the store could not be read or written. */
export type PhaseLookup =
  | { readonly type: 'found', readonly phase: JobPhase }
  | { readonly type: 'absent' }
  | { readonly type: 'unavailable', readonly reason: string }

/** Outcome of a cancellation. `unknown`: it may be stored. */
export type CancelOutcome = PhaseLookup | { readonly type: 'unknown', readonly reason: string }

/** Maximum length of a key of the store, in bytes. */
const MAX_KEY_BYTES = 200
/** Delay before a write whose response was lost is retried, in milliseconds. */
const RETRY_DELAY_MS = 100

export type JobServiceOptions = {
  readonly store: Store
  readonly reporter: Reporter
  /** False while the store does not respond or refuses calls: the outcome of a write would be unknown. */
  readonly isStoreResponsive: () => boolean
  /** Returns when to submit the job again if it could not be started in time now, in milliseconds; otherwise undefined. */
  readonly getRetryAfterMs: (definition: JobDefinition) => number | undefined
  /** Requests the phase of a job from the leader; undefined without a reliable response. */
  readonly requestPhase: (id: string) => Promise<{ readonly phase: JobPhase | undefined } | undefined>
  readonly announceJob: (definition: JobDefinition) => void
  readonly announceCancellation: (id: string) => void
}

/**
 * Handles submissions, status requests and cancellations of callers at any member. Whatever it acknowledges is stored.
 */
export class JobService {
  private readonly submissions = RecentSubmissions.create()

  private constructor (private readonly options: JobServiceOptions) {}

  /**
   * Creates the job service of a member.
   *
   * @example
   * const outcome = await JobService.create(options).submit(definition)
   */
  static create (options: JobServiceOptions): JobService {
    return new JobService(options)
  }

  /** Stores a job. Retries until `deadline` (monotonic clock, milliseconds) once a write may have been applied. */
  async submit (definition: JobDefinition, deadline: number): Promise<SubmissionOutcome> {
    if (!hasStorableId(definition)) return { type: 'refused', reason: 'id-too-long' }
    const earlier = this.submissions.find(definition.id)
    if (!this.options.isStoreResponsive()) return refuse(earlier, 'store-silent')
    const retryAfterMs = this.options.getRetryAfterMs(definition)
    // A write whose outcome is unknown may be applied after a read, so that such a job is stored instead.
    if (retryAfterMs !== undefined && earlier === 'none' && await this.isAbsent(definition.id)) return { type: 'refused', reason: 'overloaded', retryAfterMs }
    return this.submissions.track(definition.id, () => this.storeJob(definition, earlier, deadline), toAttemptOutcome)
  }

  private async storeJob (definition: JobDefinition, earlier: EarlierAttempts, deadline: number): Promise<SubmissionOutcome> {
    const key = jobKey(definition.id)
    // The definition of a completed job is deleted, but its progress stays.
    const absentConditions = [key, progressKey(definition.id)].map((absentKey) => ({ type: 'absent', key: absentKey }) as const)
    const value = JSON.stringify(definition)
    let mayBeStored = false
    for (;;) {
      const result = await transact(this.options.store, absentConditions, [{ key, value }])
      if (result.isOk()) {
        this.options.announceJob(definition)
        return { type: 'accepted', alreadyStored: !result.value.committed }
      }
      const { reason, verdict } = result.error
      mayBeStored ||= verdict === 'may-have-applied'
      if (!mayBeStored) return refuse(earlier, reason)
      if (performance.now() + RETRY_DELAY_MS > deadline) return { type: 'unknown', reason }
      await delay(RETRY_DELAY_MS)
    }
  }

  /** Whether the store says that no earlier submission of the job has been stored. */
  private async isAbsent (id: string): Promise<boolean> {
    const entries = await Promise.all([jobKey(id), progressKey(id)].map((key) => readKey(this.options.store, key)))
    return entries.every((entry) => entry.isOk() && entry.value === undefined)
  }

  /** Gets the phase of a job from the leader, or from the store if the leader has none. */
  async getPhase (id: string): Promise<PhaseLookup> {
    const leaderResponse = await this.options.requestPhase(id)
    if (leaderResponse?.phase !== undefined) return { type: 'found', phase: leaderResponse.phase }
    return this.readPhase(id)
  }

  /**
   * Cancels a job; the result is `found` once the cancellation is stored or if the job had already ended. Retries until
   * `deadline` (monotonic clock, milliseconds) once a write may have been applied.
   */
  async cancel (id: string, deadline: number): Promise<CancelOutcome> {
    let mayBeStored = false
    for (;;) {
      const outcome = await this.tryCancel(id)
      mayBeStored ||= outcome.type === 'unknown'
      if (outcome.type === 'found' || outcome.type === 'absent') return outcome
      if (!mayBeStored) return outcome
      if (performance.now() + RETRY_DELAY_MS > deadline) return { type: 'unknown', reason: outcome.reason }
      await delay(RETRY_DELAY_MS)
    }
  }

  private async tryCancel (id: string): Promise<CancelOutcome> {
    const { store } = this.options
    const job = await readKey(store, jobKey(id))
    if (job.isErr()) return { type: 'unavailable', reason: job.error.reason }
    if (job.value === undefined) return this.readProgress(id, 'absent')
    const key = cancelKey(id)
    const result = await transact(store, [{ type: 'version', key: jobKey(id), version: job.value.version }], [{ key, value: '{}' }])
    if (result.isErr()) return { type: result.error.verdict === 'may-have-applied' ? 'unknown' : 'unavailable', reason: result.error.reason }
    this.options.announceCancellation(id)
    return { type: 'found', phase: 'cancelled' }
  }

  private async readPhase (id: string): Promise<PhaseLookup> {
    const { store } = this.options
    const job = await readKey(store, jobKey(id))
    if (job.isErr()) return { type: 'unavailable', reason: job.error.reason }
    if (job.value === undefined) return this.readProgress(id, 'absent')
    const definition = parseJobDefinition(job.value.value, () => this.options.reporter.log('error', 'settings-unreadable', { key: jobKey(id) }))
    if (definition !== undefined) this.options.announceJob(definition)
    return this.readProgress(id, 'queued')
  }

  /** Reads the stored phase of a job; uses `fallback` if there is no record. */
  private async readProgress (id: string, fallback: 'absent' | 'queued'): Promise<PhaseLookup> {
    const progress = await readKey(this.options.store, progressKey(id))
    if (progress.isErr()) return { type: 'unavailable', reason: progress.error.reason }
    const stored = progress.value === undefined ? undefined : parseRecord(progress.value.value, isJobProgress)
    if (stored !== undefined) return { type: 'found', phase: stored.phase }
    return fallback === 'absent' ? { type: 'absent' } : { type: 'found', phase: fallback }
  }
}

/** The outcome of a submission that was not written, where earlier ones of the same job may have been. */
function refuse (earlier: EarlierAttempts, reason: string): SubmissionOutcome {
  switch (earlier) {
    case 'none': return { type: 'refused', reason }
    case 'may-be-stored': return { type: 'unknown', reason }
    case 'stored': return { type: 'accepted', alreadyStored: true }
    default: return assertNever(earlier)
  }
}

function toAttemptOutcome (outcome: SubmissionOutcome): AttemptOutcome {
  switch (outcome.type) {
    case 'accepted': return 'stored'
    case 'refused': return 'not-stored'
    case 'unknown': return 'unknown'
    default: return assertNever(outcome)
  }
}

/** Whether all records of a job can be stored. A leader that could not store its progress would have to give it up later. */
function hasStorableId ({ id }: JobDefinition): boolean {
  return [cancelKey(id), progressKey(id)].every((key) => Buffer.byteLength(key) <= MAX_KEY_BYTES)
}
