import { randomUUID } from 'node:crypto'
import type { Put, Store } from '../ports/store.ts'
import type { ProcessedCompletions } from '../workflow/event.ts'
import type { JobPhase } from '../workflow/job.ts'
import type { JobProgress } from '../workflow/progress-record.ts'
import type { RemovedSettings } from '../workflow/removed-settings.ts'
import { delay } from './delay.ts'
import type { Peer } from './member-call.ts'
import type { Reporter } from './reporter.ts'
import { computeReservedTerm } from './run-numbers.ts'
import { readKey, transact, requireUnchanged } from './store-calls.ts'
import { COMMIT_KEY, SETTINGS_KEY, TARGETS_KEY, cancelKey, jobKey, progressKey } from './store-keys.ts'
import type { CommitRecord, TargetsRecord, UnsettledTerm } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

/**
 * Maximum number of job entries in one transaction, not counting its condition, the commit key and the records of targets and
 * of removed settings.
 */
const MAX_ENTRIES = 28
/** Entries for a completed job: its progress is written, its definition and its cancellation marker are deleted. */
const ENDED_JOB_ENTRIES = 3
/** Minimum time between the starts of two commits, in milliseconds; batches completions into one call. */
const MIN_COMMIT_INTERVAL_MS = 25
const RETRY_DELAY_MS = 150

type Batch = {
  readonly nonce: string
  readonly puts: readonly Put[]
  readonly deletes: readonly string[]
  readonly phases: ReadonlyMap<string, JobPhase>
  /** Jobs whose definitions the transaction deletes. */
  readonly released: readonly string[]
  readonly completions: readonly ProcessedCompletions[]
  readonly targets: readonly string[] | undefined
}

export type CommitterOptions = {
  readonly store: Store
  readonly term: number
  readonly commitVersion: number
  readonly self: Peer
  readonly reporter: Reporter
  /** Earlier terms whose runs this leader does not know yet. */
  readonly getUnsettledTerms: () => readonly UnsettledTerm[]
  readonly getProgress: (job: string) => JobProgress | undefined
  /** Whether a new leader would need the definition of a job; otherwise it is deleted. */
  readonly needsDefinition: (job: string) => boolean
  readonly getProcessedCompletions: () => readonly ProcessedCompletions[]
  /** Number of the last run that was started. */
  readonly getLastRun: () => number
  readonly onStored: (batch: Pick<Batch, 'phases' | 'released' | 'completions' | 'targets'>) => void
  /** Called when another leader has written to the store. */
  readonly onFenced: () => void
}

/**
 * Stores the progress of jobs, one transaction at a time. Each transaction requires the version of the commit key that
 * the previous one has written. Therefore neither a previous leader nor a delayed transaction can overwrite newer records.
 */
export class Committer {
  private readonly jobsToStore = new Set<string>()
  private readonly progressToRemove = new Set<string>()
  private targetsToStore: TargetsRecord | undefined
  private settingsToStore: RemovedSettings | undefined
  private commitVersion: number
  private committing = false
  private stopped = false
  private lastCommitStartedAt = 0

  private constructor (private readonly options: CommitterOptions) {
    this.commitVersion = options.commitVersion
  }

  /**
   * Creates a committer for one term.
   *
   * @example
   * const committer = Committer.create({ store, term: 3, commitVersion: 812, reporter, getUnsettledTerms, getProgress, getProcessedCompletions, onStored, onFenced })
   * committer.storeProgress('5c0e7a21d94b36f8')
   */
  static create (options: CommitterOptions): Committer {
    return new Committer(options)
  }

  /** Stores the progress that the job has when the next transaction is created. */
  storeProgress (id: string): void {
    this.jobsToStore.add(id)
    this.startCommitting()
  }

  /** Deletes the stored progress of a job. */
  removeProgress (id: string): void {
    this.jobsToStore.delete(id)
    this.progressToRemove.add(id)
    this.startCommitting()
  }

  /** Stores the targets that may hold runs. */
  storeTargets (record: TargetsRecord): void {
    this.targetsToStore = record
    this.startCommitting()
  }

  /** Stores the last settings of what was removed while jobs refer to it. */
  storeSettings (record: RemovedSettings): void {
    this.settingsToStore = record
    this.startCommitting()
  }

  stop (): void {
    this.stopped = true
  }

  private startCommitting (): void {
    if (this.committing || this.stopped) return
    this.committing = true
    this.commitPending().catch((error: unknown) => this.options.reporter.log('error', 'commit-failed', { detail: String(error) }))
  }

  private get hasPending (): boolean {
    return this.jobsToStore.size > 0 || this.progressToRemove.size > 0 || this.targetsToStore !== undefined || this.settingsToStore !== undefined
  }

  private async commitPending (): Promise<void> {
    try {
      while (!this.stopped && this.hasPending) {
        await delay(Math.max(0, this.lastCommitStartedAt + MIN_COMMIT_INTERVAL_MS - performance.now()))
        this.lastCommitStartedAt = performance.now()
        await this.commit(this.createBatch())
      }
    } finally {
      this.committing = false
    }
  }

  private createBatch (): Batch {
    const { jobs, released, remainingEntries } = this.selectJobs()
    const removedProgress = [...this.progressToRemove].slice(0, remainingEntries)
    for (const id of removedProgress) this.progressToRemove.delete(id)
    const progress = jobs.flatMap((id) => {
      const stored = this.options.getProgress(id)
      return stored === undefined ? [] : [{ id, stored }]
    })
    const nonce = randomUUID()
    const record: CommitRecord = { term: this.options.term, nonce, leader: this.options.self, unsettled: this.options.getUnsettledTerms(), reservedTerm: computeReservedTerm(this.options.getLastRun()) }
    const puts: Put[] = [{ key: COMMIT_KEY, value: JSON.stringify(record) }]
    for (const { id, stored } of progress) puts.push({ key: progressKey(id), value: JSON.stringify(stored) })
    const { targetsToStore: targets, settingsToStore: settings } = this
    this.targetsToStore = undefined
    this.settingsToStore = undefined
    if (settings !== undefined) puts.push({ key: SETTINGS_KEY, value: JSON.stringify(settings) })
    if (targets !== undefined) puts.push({ key: TARGETS_KEY, value: JSON.stringify(targets) })
    const deletes = [...released.flatMap((id) => [jobKey(id), cancelKey(id)]), ...removedProgress.map(progressKey)]
    const phases = new Map(progress.map(({ id, stored }) => [id, stored.phase]))
    // Completions of jobs that are left for the next transaction must not be acknowledged by this one.
    const completions = this.jobsToStore.size === 0 ? this.options.getProcessedCompletions() : []
    return { nonce, puts, deletes, phases, released, completions, targets: targets?.ids }
  }

  /**
   * Selects as many jobs as fit into one transaction, those of them whose definitions are deleted, and the number of
   * unused entries.
   */
  private selectJobs (): { readonly jobs: readonly string[], readonly released: readonly string[], readonly remainingEntries: number } {
    const jobs: string[] = []
    const released: string[] = []
    let remainingEntries = MAX_ENTRIES
    for (const id of this.jobsToStore) {
      const releasesDefinition = !this.options.needsDefinition(id)
      const entries = releasesDefinition ? ENDED_JOB_ENTRIES : 1
      if (entries > remainingEntries) break
      remainingEntries -= entries
      jobs.push(id)
      if (releasesDefinition) released.push(id)
      this.jobsToStore.delete(id)
    }
    return { jobs, released, remainingEntries }
  }

  private async commit (batch: Batch): Promise<void> {
    const startedAt = performance.now()
    while (!this.stopped) {
      const version = await this.tryCommit(batch)
      if (version !== undefined) {
        this.commitVersion = version
        this.options.reporter.observe('commit', performance.now() - startedAt)
        this.options.onStored(batch)
        return
      }
      await delay(RETRY_DELAY_MS)
    }
  }

  /** Returns the version of the commit key after the transaction, or undefined if the transaction must be retried. */
  private async tryCommit (batch: Batch): Promise<number | undefined> {
    const result = await transact(this.options.store, [requireUnchanged(COMMIT_KEY, this.commitVersion)], batch.puts, batch.deletes)
    if (result.isOk() && result.value.committed) return result.value.version
    this.options.reporter.count('commit-retried', result.isOk() ? 'conflict' : result.error.reason)
    if (result.isErr() && result.error.verdict === 'not-applied') return undefined
    return this.findCommitVersion(batch)
  }

  /**
   * After a conflict or a lost response, checks the commit record for whether this transaction was applied or another
   * leader has written.
   */
  private async findCommitVersion ({ nonce }: Batch): Promise<number | undefined> {
    const entry = await readKey(this.options.store, COMMIT_KEY)
    if (entry.isErr()) return undefined
    const record = entry.value === undefined ? undefined : parseRecord<CommitRecord>(entry.value.value)
    if (record?.nonce === nonce) return entry.value!.version
    if (record?.term === this.options.term) return undefined
    this.stop()
    this.options.onFenced()
    return undefined
  }
}
