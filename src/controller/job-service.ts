import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { MAX_STORE_VALUE_BYTES } from '../ports/store.ts'
import type { Store, StoreEntry, StoreFailure } from '../ports/store.ts'
import { assertNever } from '../util/assert-never.ts'
import type { JobDefinition, JobPhase } from '../workflow/job.ts'
import { RecentSubmissions } from './admission/recent-submissions.ts'
import type { AttemptOutcome, EarlierAttempts } from './admission/recent-submissions.ts'
import { writePromptly } from './prompt-write.ts'
import type { Reporter } from './reporter.ts'
import { readKey, transact } from './store-calls.ts'
import { parseJobDefinition } from './records/parse-job-definition.ts'
import { isJobProgress } from './records/record-guards.ts'
import { parseRecord } from './records/stored-record.ts'
import { cancelKey, jobKey, progressKey } from './records/store-keys.ts'
import { waitAtMost } from './wait-at-most.ts'

/**
 * Outcome of a submission. `accepted`: the job is stored, by this or an earlier submission. `too-large`: the store takes no
 * value of that size, so that the job never can be stored. `refused`: the job is not
 * stored and never will be; `retryAfterMs` says when it is expected to be accepted, if that is known. `unknown`: the job may
 * be stored.
 */
export type SubmissionOutcome =
  | { readonly type: 'accepted', readonly alreadyStored: boolean }
  | { readonly type: 'refused', readonly reason: string, readonly retryAfterMs?: number }
  | { readonly type: 'too-large', readonly reason: string }
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

  /**
   * Stores a job. Answers by `deadline` (monotonic clock, milliseconds), and earlier if a write may have been applied and the store
   * doesn't respond.
   */
  async submit (definition: JobDefinition, deadline: number): Promise<SubmissionOutcome> {
    if (!hasStorableId(definition)) return { type: 'refused', reason: 'id-too-long' }
    const value = JSON.stringify(definition)
    if (Buffer.byteLength(value) > MAX_STORE_VALUE_BYTES) return { type: 'too-large', reason: `more than ${MAX_STORE_VALUE_BYTES} bytes are to be stored` }
    const earlier = this.submissions.find(definition.id)
    if (!this.options.isStoreResponsive()) return refuse(earlier, 'store-silent')
    const retryAfterMs = this.options.getRetryAfterMs(definition)
    // A write whose outcome is unknown may be applied after a read, so that such a job is stored instead.
    if (retryAfterMs !== undefined && earlier === 'none') {
      const absent = await waitAtMost(this.isAbsent(definition.id), deadline - performance.now())
      if (absent === true) return { type: 'refused', reason: 'overloaded', retryAfterMs }
      if (absent === undefined) return refuse(this.submissions.find(definition.id), 'deadline')
    }
    return this.storeJob(definition, value, earlier, deadline)
  }

  private async storeJob (definition: JobDefinition, value: string, earlier: EarlierAttempts, deadline: number): Promise<SubmissionOutcome> {
    const key = jobKey(definition.id)
    // The definition of a completed job is deleted, but its progress stays.
    const absentConditions = [key, progressKey(definition.id)].map((absentKey) => ({ type: 'absent', key: absentKey }) as const)
    const write = async (): ReturnType<typeof transact> => {
      const result = await this.submissions.track(definition.id, () => transact(this.options.store, absentConditions, [{ key, value }]), toAttemptOutcome)
      // A response may come after the caller was told that the outcome is unknown.
      if (result.isOk()) this.options.announceJob(definition)
      return result
    }
    const result = await writePromptly({ write, isStoreResponsive: this.options.isStoreResponsive, deadline })
    if (result.isOk()) return { type: 'accepted', alreadyStored: !result.value.committed }
    const { reason, verdict } = result.error
    return verdict === 'not-applied' ? refuse(earlier, reason) : { type: 'unknown', reason }
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
   * Cancels a job; the result is `found` once the cancellation is stored or if the job had already ended. Answers by `deadline`
   * (monotonic clock, milliseconds), and earlier if a write may have been applied and the store doesn't respond.
   */
  async cancel (id: string, deadline: number): Promise<CancelOutcome> {
    const job = await waitAtMost(readKey(this.options.store, jobKey(id)), deadline - performance.now())
    if (job === undefined || job.isErr()) return { type: 'unavailable', reason: job?.error.reason ?? 'timeout' }
    if (job.value === undefined) return await waitAtMost(this.readProgress(id, 'absent'), deadline - performance.now()) ?? { type: 'unavailable', reason: 'timeout' }
    let read: StoreEntry | undefined = job.value
    const write = (): Promise<Result<PhaseLookup, StoreFailure>> => {
      const entry = read
      read = undefined
      return this.tryCancel(id, entry)
    }
    const result = await writePromptly({ write, isStoreResponsive: this.options.isStoreResponsive, deadline })
    if (result.isOk()) return result.value
    const { reason, verdict } = result.error
    return { type: verdict === 'not-applied' ? 'unavailable' : 'unknown', reason }
  }

  /** Stores a cancellation. Reads the job unless it has just been read. */
  private async tryCancel (id: string, read: StoreEntry | undefined): Promise<Result<PhaseLookup, StoreFailure>> {
    const { store } = this.options
    const job = read === undefined ? await readKey(store, jobKey(id)) : ok(read)
    if (job.isErr()) return err({ ...job.error, verdict: 'not-applied' })
    if (job.value === undefined) return toResult(await this.readProgress(id, 'absent'))
    const result = await transact(store, [{ type: 'version', key: jobKey(id), version: job.value.version }], [{ key: cancelKey(id), value: '{}' }])
    if (result.isErr()) return err(result.error)
    this.options.announceCancellation(id)
    return ok({ type: 'found', phase: 'cancelled' })
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

function toAttemptOutcome (result: Result<unknown, StoreFailure>): AttemptOutcome {
  if (result.isOk()) return 'stored'
  switch (result.error.verdict) {
    case 'not-applied': return 'not-stored'
    case 'may-have-applied': return 'unknown'
    default: return assertNever(result.error.verdict)
  }
}

/** A lookup that could not be made has changed nothing. */
function toResult (lookup: PhaseLookup): Result<PhaseLookup, StoreFailure> {
  return lookup.type === 'unavailable' ? err({ reason: 'unavailable', verdict: 'not-applied' }) : ok(lookup)
}

/** Whether all records of a job can be stored. A leader that could not store its progress would have to give it up later. */
function hasStorableId ({ id }: JobDefinition): boolean {
  return [cancelKey(id), progressKey(id)].every((key) => Buffer.byteLength(key) <= MAX_KEY_BYTES)
}
