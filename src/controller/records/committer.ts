import { randomUUID } from 'node:crypto'
import type { Put, Store } from '../../ports/store.ts'
import { STORE_VALUE_LIMIT_BYTES } from '../../ports/store.ts'
import type { ProcessedCompletions } from '../../workflow/event.ts'
import type { JobPhase } from '../../workflow/job.ts'
import type { LearnedRecord } from '../../workflow/learned-records.ts'
import type { JobProgress } from '../../workflow/progress-record.ts'
import type { RemovedSettings } from '../../workflow/settings/removed-settings.ts'
import type { SilentTargetsById } from '../../workflow/takeover/silent-targets.ts'
import { countRecords } from './batch-source.ts'
import type { BatchSource } from './batch-source.ts'
import { delay } from '../delay.ts'
import type { Peer } from '../member-call.ts'
import { JobRecords } from './job-records.ts'
import type { JobRecord } from './job-records.ts'
import { RecordedTerms } from '../leadership/recorded-terms.ts'
import type { Reporter } from '../reporter.ts'
import { computeReservedTerm } from '../run-numbers.ts'
import { formatSilentTargets } from './silent-targets-record.ts'
import { readKey, transact, requireUnchanged } from '../store-calls.ts'
import { COMMIT_KEY, SETTINGS_KEY, SILENT_TARGETS_KEY, TARGETS_KEY, cancelKey, jobKey, learnedKey, progressKey } from './store-keys.ts'
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
/** Age at which the record of the term is stored again, if that is asked for, in milliseconds. */
const MAX_RECORD_AGE_MS = 1_000
/** Maximum size of the job records in one transaction; a larger one could not be sent within the timeout of a call. */
const MAX_BATCH_BYTES = STORE_VALUE_LIMIT_BYTES
/** A batch that was refused as often is at fault if the store accepts a commit without records in between. */
const SUSPICIOUS_REFUSALS = 4
/** Number of accepted commits without records that show that a batch is at fault, not the store. */
const PROOFS = 3

/** `refused`: the store has not applied the transaction and says so; it may be a passing state of the store. */
type CommitOutcome =
  | { readonly type: 'committed', readonly version: number }
  | { readonly type: 'refused' }
  | { readonly type: 'unknown' }

type Batch = {
  readonly nonce: string
  readonly unsettled: readonly UnsettledTerm[]
  readonly source: BatchSource
  readonly puts: readonly Put[]
  readonly deletes: readonly string[]
  readonly phases: ReadonlyMap<string, JobPhase>
  /** Jobs whose definitions the transaction deletes. */
  readonly released: readonly string[]
  readonly completions: readonly ProcessedCompletions[]
  readonly targets: readonly string[] | undefined
  /** Those among the targets whose commands may reach a later incarnation. */
  readonly unbound: readonly string[] | undefined
  /** The witnesses in the record of the term. */
  readonly witnesses: readonly Peer[]
  /** Targets in the record of silent targets; undefined if it is not part of the transaction. */
  readonly silentTargets: readonly string[] | undefined
}

export type CommitterOptions = {
  readonly store: Store
  readonly term: number
  readonly commitVersion: number
  readonly self: Peer
  readonly reporter: Reporter
  /** Earlier terms whose runs this leader does not know yet. */
  readonly getUnsettledTerms: () => readonly UnsettledTerm[]
  /** Those in the claim of the term; none without it. */
  readonly claimedTerms?: readonly UnsettledTerm[]
  /** Targets in the record of silent targets that the claim has repeated; none without it. */
  readonly claimedSilentTargets?: readonly string[]
  /** Members that confirm the term; without it, none do. */
  readonly getWitnesses?: () => readonly Peer[]
  readonly getProgress: (job: string) => JobProgress | undefined
  /** Whether a new leader would need the definition of a job; otherwise it is deleted. */
  readonly needsDefinition: (job: string) => boolean
  readonly getProcessedCompletions: () => readonly ProcessedCompletions[]
  /** Number of the last run that was started. */
  readonly getLastRun: () => number
  readonly onStored: (batch: Pick<Batch, 'phases' | 'released' | 'completions' | 'targets' | 'unbound' | 'witnesses' | 'silentTargets'>) => void
  /** Called when the record of silent targets is set aside, so that the store still has the one before, with these targets. */
  readonly onSilentTargetsRefused?: (storedTargets: readonly string[]) => void
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
  private readonly jobRecords: JobRecords
  private readonly recordedTerms: RecordedTerms
  /** Maximum number of records in a batch; smaller while the record that the store refuses is searched. */
  private batchLimit = MAX_ENTRIES
  private targetsToStore: TargetsRecord | undefined
  private settingsToStore: RemovedSettings | undefined
  private silentTargetsToStore: SilentTargetsById | undefined
  /** What the leader has learned since it was last stored. */
  private readonly learnedToStore = new Map<LearnedRecord, string>()
  /** Targets in the stored record of silent targets. */
  private storedSilentTargets: readonly string[]
  /** Whether the record of the term is stored although nothing else is. */
  private recordWanted = false
  private commitVersion: number
  private committing = false
  private stopped = false
  private lastCommitStartedAt = -Infinity

  private constructor (private readonly options: CommitterOptions) {
    this.commitVersion = options.commitVersion
    this.storedSilentTargets = options.claimedSilentTargets ?? []
    this.jobRecords = JobRecords.create(options)
    this.recordedTerms = RecordedTerms.create(options.claimedTerms ?? [])
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
    this.jobRecords.forget(id)
    this.progressToRemove.add(id)
    this.startCommitting()
  }

  /** Stores the targets that may hold runs. */
  storeTargets (record: TargetsRecord): void {
    this.targetsToStore = record
    this.recordedTerms.expectTargets()
    this.startCommitting()
  }

  /** Stores the last settings of what was removed while jobs refer to it. */
  storeSettings (record: RemovedSettings): void {
    this.settingsToStore = record
    this.startCommitting()
  }

  /** Stores what the leader has learned. The latest text of each record counts. */
  storeLearned (record: LearnedRecord, value: string): void {
    if (!this.jobRecords.fits(learnedKey(record), value)) return
    this.learnedToStore.set(record, value)
    this.startCommitting()
  }

  /** Stores the targets that get no leases and no starts; their waits are counted from when the transaction is created. */
  storeSilentTargets (targets: SilentTargetsById): void {
    this.silentTargetsToStore = targets
    this.startCommitting()
  }

  /** Stores the record of the term once a second, because what it says of earlier leaders is measured from its writing. */
  renewRecord (): void {
    if (performance.now() - this.lastCommitStartedAt >= MAX_RECORD_AGE_MS) this.storeRecord()
  }

  /** Stores the record of the term, although nothing else is to be stored. */
  storeRecord (): void {
    this.recordWanted = true
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
    return this.recordWanted || this.jobsToStore.size > 0 || this.progressToRemove.size > 0 || this.targetsToStore !== undefined || this.settingsToStore !== undefined || this.silentTargetsToStore !== undefined || this.learnedToStore.size > 0
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
    for (const id of this.jobRecords.takeRetries()) this.jobsToStore.add(id)
    // Terms are settled only with the targets, which a backlog must not keep out of each transaction.
    const targets = this.takeTargets()
    const limit = targets === undefined ? this.batchLimit : this.batchLimit - 1
    const { records, released, remainingEntries } = this.selectJobs(limit)
    let remainingRecords = limit - records.length
    const removedProgress = [...this.progressToRemove].slice(0, Math.min(remainingEntries, remainingRecords))
    remainingRecords -= removedProgress.length
    for (const id of removedProgress) this.progressToRemove.delete(id)
    const silentTargets = remainingRecords > 0 ? this.takeSilentTargets() : undefined
    if (silentTargets !== undefined) remainingRecords -= 1
    const settings = remainingRecords > 0 ? this.takeSettings() : undefined
    if (settings !== undefined) remainingRecords -= 1
    const learned = this.takeLearned(remainingRecords)
    const nonce = randomUUID()
    const { witnesses } = this
    this.recordWanted = false
    const unsettled = this.recordedTerms.select(this.options.getUnsettledTerms(), targets !== undefined)
    const puts = [this.createCommitPut(nonce, unsettled), ...records.map(({ id, value }): Put => ({ key: progressKey(id), value }))]
    if (settings !== undefined) puts.push({ key: SETTINGS_KEY, value: JSON.stringify(settings) })
    if (targets !== undefined) puts.push({ key: TARGETS_KEY, value: JSON.stringify(targets) })
    if (silentTargets !== undefined) puts.push({ key: SILENT_TARGETS_KEY, value: formatSilentTargets(this.options.term, silentTargets, performance.now()) })
    for (const [record, value] of learned) puts.push({ key: learnedKey(record), value })
    const deletes = [...released.flatMap((id) => [jobKey(id), cancelKey(id)]), ...removedProgress.map(progressKey)]
    const phases = new Map(records.flatMap(({ id, phase }) => phase === undefined ? [] : [[id, phase]]))
    // Completions of jobs that are left for the next transaction must not be acknowledged by this one.
    const completions = this.jobsToStore.size === 0 ? this.options.getProcessedCompletions() : []
    const source = { jobs: records.map(({ id }) => id), removedProgress, targets, settings, silentTargets, learned }
    return { nonce, unsettled, source, puts, deletes, phases, released, completions, targets: targets?.ids, unbound: targets?.unbound, witnesses, silentTargets: silentTargets === undefined ? undefined : listSilent(silentTargets) }
  }

  /** Creates a commit without records, which shows whether the store accepts this leader's commits. */
  private createProbe (): Batch {
    const nonce = randomUUID()
    const unsettled = this.recordedTerms.select(this.options.getUnsettledTerms(), false)
    const source = { jobs: [], removedProgress: [], targets: undefined, settings: undefined, silentTargets: undefined, learned: new Map<LearnedRecord, string>() }
    return { nonce, unsettled, source, puts: [this.createCommitPut(nonce, unsettled)], deletes: [], phases: new Map(), released: [], completions: [], targets: undefined, unbound: undefined, witnesses: this.witnesses, silentTargets: undefined }
  }

  private get witnesses (): readonly Peer[] {
    return this.options.getWitnesses?.() ?? []
  }

  private createCommitPut (nonce: string, unsettled: readonly UnsettledTerm[]): Put {
    const { term, self, getLastRun } = this.options
    const { witnesses } = this
    const record: CommitRecord = { term, nonce, leader: self, unsettled, reservedTerm: computeReservedTerm(getLastRun()), ...witnesses.length > 0 && { witnesses } }
    return { key: COMMIT_KEY, value: JSON.stringify(record) }
  }

  private takeTargets (): TargetsRecord | undefined {
    const { targetsToStore: record } = this
    this.targetsToStore = undefined
    return record !== undefined && this.jobRecords.fits(TARGETS_KEY, JSON.stringify(record)) ? record : undefined
  }

  private takeSilentTargets (): SilentTargetsById | undefined {
    const { silentTargetsToStore: targets } = this
    this.silentTargetsToStore = undefined
    return targets
  }

  private takeSettings (): RemovedSettings | undefined {
    const { settingsToStore: record } = this
    this.settingsToStore = undefined
    return record !== undefined && this.jobRecords.fits(SETTINGS_KEY, JSON.stringify(record)) ? record : undefined
  }

  /** Takes the records of what the leader has learned, as many as a transaction has left. */
  private takeLearned (limit: number): ReadonlyMap<LearnedRecord, string> {
    const taken = new Map([...this.learnedToStore].slice(0, Math.max(0, limit)))
    for (const record of taken.keys()) this.learnedToStore.delete(record)
    return taken
  }

  /**
   * Selects as many jobs as fit into one transaction, those of them whose definitions are deleted, and the number of
   * unused entries.
   */
  private selectJobs (limit: number): { readonly records: readonly JobRecord[], readonly released: readonly string[], readonly remainingEntries: number } {
    const records: JobRecord[] = []
    const released: string[] = []
    let remainingEntries = this.silentTargetsToStore === undefined ? MAX_ENTRIES : MAX_ENTRIES - 1
    let bytes = 0
    for (const id of this.jobsToStore) {
      if (records.length >= limit) break
      const record = this.jobRecords.build(id)
      // Without the record of its end, a job that has ended would be lost with its definition.
      const releasesDefinition = record?.phase !== undefined && !this.options.needsDefinition(id)
      const entries = releasesDefinition ? ENDED_JOB_ENTRIES : 1
      if (entries > remainingEntries) break
      bytes += record?.value.length ?? 0
      if (bytes > MAX_BATCH_BYTES && records.length > 0) break
      this.jobsToStore.delete(id)
      remainingEntries -= entries
      if (record !== undefined) records.push(record)
      if (releasesDefinition) released.push(id)
    }
    return { records, released, remainingEntries }
  }

  private async commit (batch: Batch): Promise<void> {
    const startedAt = performance.now()
    let refusals = 0
    let proofs = 0
    while (!this.stopped) {
      const outcome = await this.tryCommit(batch)
      if (outcome.type === 'committed') {
        this.commitVersion = outcome.version
        this.batchLimit = Math.min(MAX_ENTRIES, this.batchLimit + 1)
        this.recordedTerms.recordStored(batch.unsettled, batch.targets !== undefined && this.targetsToStore === undefined)
        this.storedSilentTargets = batch.silentTargets ?? this.storedSilentTargets
        this.options.reporter.observe('commit', performance.now() - startedAt)
        this.options.onStored(batch)
        return
      }
      if (outcome.type === 'refused') refusals += 1
      const isSuspicious = refusals >= SUSPICIOUS_REFUSALS || this.isSearching(batch)
      if (outcome.type === 'refused' && isSuspicious && await this.acceptsProbe()) proofs += 1
      if (proofs >= PROOFS || (proofs > 0 && this.isSearching(batch))) return this.divide(batch)
      await delay(RETRY_DELAY_MS)
    }
  }

  /** Whether a larger batch was refused that this one may be a part of; only a single record needs the full proof again. */
  private isSearching ({ source }: Batch): boolean {
    return this.batchLimit < MAX_ENTRIES && countRecords(source) > 1
  }

  /** Whether the store accepts a commit without records now. */
  private async acceptsProbe (): Promise<boolean> {
    if (this.stopped) return false
    const probe = this.createProbe()
    const outcome = await this.tryCommit(probe)
    if (outcome.type !== 'committed') return false
    this.recordedTerms.recordStored(probe.unsettled, false)
    this.commitVersion = outcome.version
    return true
  }

  /** Puts back what a refused batch was made of, to be stored in smaller batches. A single record is set aside. */
  private divide ({ source, puts }: Batch): void {
    const { jobs, removedProgress, targets, settings, silentTargets, learned } = source
    const count = countRecords(source)
    this.options.reporter.log('warn', 'batch-refused', { records: count })
    if (count > 1) {
      this.batchLimit = Math.max(1, Math.floor(count / 2))
      for (const id of removedProgress) this.progressToRemove.add(id)
      this.targetsToStore ??= targets
      this.settingsToStore ??= settings
      this.silentTargetsToStore ??= silentTargets
      for (const [record, value] of learned) this.learnedToStore.set(record, this.learnedToStore.get(record) ?? value)
    } else this.setAside(source, puts)
    for (const id of jobs) this.jobsToStore.add(id)
  }

  /** Sets the only record of a batch aside. The record of a job is replaced, unless the replacement is refused too. */
  private setAside ({ jobs, removedProgress, silentTargets }: BatchSource, puts: readonly Put[]): void {
    const [id] = jobs
    this.batchLimit = MAX_ENTRIES
    if (silentTargets !== undefined) this.options.onSilentTargetsRefused?.(this.storedSilentTargets)
    const { key, value } = puts.at(-1)!
    if (id === undefined) return this.jobRecords.reportSetAside(removedProgress[0] ?? key, 'refused', Buffer.byteLength(value))
    this.jobRecords.refuse(id, value)
  }

  private async tryCommit (batch: Batch): Promise<CommitOutcome> {
    const result = await transact(this.options.store, [requireUnchanged(COMMIT_KEY, this.commitVersion)], batch.puts, batch.deletes)
    if (result.isOk() && result.value.committed) return { type: 'committed', version: result.value.version }
    this.options.reporter.count('commit-retried', result.isOk() ? 'conflict' : result.error.reason)
    if (result.isErr() && result.error.verdict === 'not-applied') return { type: 'refused' }
    return this.findCommit(batch)
  }

  /**
   * After a conflict or a lost response, checks the commit record for whether this transaction was applied or another
   * leader has written.
   */
  private async findCommit ({ nonce }: Batch): Promise<CommitOutcome> {
    const entry = await readKey(this.options.store, COMMIT_KEY)
    if (entry.isErr()) return { type: 'unknown' }
    const record = entry.value === undefined ? undefined : parseRecord<CommitRecord>(entry.value.value)
    if (record?.nonce === nonce) return { type: 'committed', version: entry.value!.version }
    if (record?.term === this.options.term) {
      // Only this leader writes with its term: a transaction that was given up has been applied late.
      this.commitVersion = Math.max(this.commitVersion, entry.value!.version)
      return { type: 'unknown' }
    }
    this.stop()
    this.options.onFenced()
    return { type: 'unknown' }
  }
}

function listSilent (targets: SilentTargetsById): readonly string[] {
  return Object.keys(targets).filter((id) => targets[id]!.isCommanded !== true)
}
