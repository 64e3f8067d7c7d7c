import { randomUUID } from 'node:crypto'
import type { Put, Store } from '../ports/store.ts'
import type { ProcessedCompletions } from '../workflow/event.ts'
import type { JobPhase } from '../workflow/job.ts'
import type { JobProgress } from '../workflow/progress-record.ts'
import { delay } from './delay.ts'
import type { Peer } from './member-call.ts'
import type { Reporter } from './reporter.ts'
import { readKey, transact, unchanged } from './store-calls.ts'
import { COMMIT_KEY, TARGETS_KEY, cancelKey, jobKey, progressKey } from './store-keys.ts'
import type { CommitRecord, TargetsRecord } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

/** Entries of one transaction, less its condition, its own key and the record of targets. */
const MOST_ENTRIES = 28
/** Its progress is written; its definition and the mark of its cancelling are removed. */
const ENTRIES_OF_ENDED_JOB = 3
/** Least time between the beginnings of two commits, in milliseconds; gathers ends into one call. */
const COMMIT_INTERVAL_MS = 25
const RETRY_MS = 150

type Batch = {
  readonly nonce: string
  readonly puts: readonly Put[]
  readonly deletes: readonly string[]
  readonly phases: ReadonlyMap<string, JobPhase>
  /** Jobs whose definitions the transaction removes. */
  readonly released: readonly string[]
  readonly ends: readonly ProcessedCompletions[]
  readonly targets: readonly string[] | undefined
}

export type CommitterOptions = {
  readonly store: Store
  readonly term: number
  readonly commitVersion: number
  readonly self: Peer
  readonly report: Reporter
  readonly progressOf: (job: string) => JobProgress | undefined
  /** Whether a new leader would need the definition of a job. */
  readonly needsDefinition: (job: string) => boolean
  readonly processedEnds: () => readonly ProcessedCompletions[]
  readonly onStored: (batch: Pick<Batch, 'phases' | 'released' | 'ends' | 'targets'>) => void
  /** Another leader has written. */
  readonly onFenced: () => void
}

/**
 * Stores the progress of jobs, one transaction at a time. Each one requires the version of the commit key that the one
 * before has written, so that neither an earlier leader nor a transaction that is carried out late can overwrite newer
 * records.
 */
export class Committer {
  private readonly jobs = new Set<string>()
  private readonly forgotten = new Set<string>()
  private targets: readonly string[] | undefined
  private version: number
  private running = false
  private stopped = false
  private startedAt = 0

  private constructor (private readonly options: CommitterOptions) {
    this.version = options.commitVersion
  }

  /**
   * @example
   * const committer = Committer.create({ store, term: 3, commitVersion: 812, report, progressOf, processedEnds, onStored, onFenced })
   * committer.storeJob('5c0e7a21d94b36f8')
   */
  static create (options: CommitterOptions): Committer {
    return new Committer(options)
  }

  /** Stores the progress of a job as it is when the next transaction begins. */
  storeJob (id: string): void {
    this.jobs.add(id)
    this.wake()
  }

  forgetJob (id: string): void {
    this.jobs.delete(id)
    this.forgotten.add(id)
    this.wake()
  }

  storeTargets (ids: readonly string[]): void {
    this.targets = ids
    this.wake()
  }

  stop (): void {
    this.stopped = true
  }

  private wake (): void {
    if (this.running || this.stopped) return
    this.running = true
    this.run().catch((error: unknown) => this.options.report.log('error', 'commit-failed', { detail: String(error) }))
  }

  private async run (): Promise<void> {
    try {
      while (!this.stopped && (this.jobs.size > 0 || this.forgotten.size > 0 || this.targets !== undefined)) {
        await delay(Math.max(0, this.startedAt + COMMIT_INTERVAL_MS - performance.now()))
        this.startedAt = performance.now()
        await this.commit(this.takeBatch())
      }
    } finally {
      this.running = false
    }
  }

  private takeBatch (): Batch {
    const { jobs, released, room } = this.takeJobs()
    const forgotten = [...this.forgotten].slice(0, room)
    for (const id of forgotten) this.forgotten.delete(id)
    const progress = jobs.flatMap((id) => {
      const stored = this.options.progressOf(id)
      return stored === undefined ? [] : [{ id, stored }]
    })
    const nonce = randomUUID()
    const record: CommitRecord = { term: this.options.term, nonce, leader: this.options.self }
    const puts: Put[] = [{ key: COMMIT_KEY, value: JSON.stringify(record) }]
    for (const { id, stored } of progress) puts.push({ key: progressKey(id), value: JSON.stringify(stored) })
    const { targets } = this
    this.targets = undefined
    if (targets !== undefined) puts.push({ key: TARGETS_KEY, value: JSON.stringify({ ids: targets } satisfies TargetsRecord) })
    const deletes = [...released.flatMap((id) => [jobKey(id), cancelKey(id)]), ...forgotten.map(progressKey)]
    const phases = new Map(progress.map(({ id, stored }) => [id, stored.phase]))
    // Ends of a job that waits for the next transaction must not be acknowledged by this one.
    const ends = this.jobs.size === 0 ? this.options.processedEnds() : []
    return { nonce, puts, deletes, phases, released, ends, targets }
  }

  /** As many jobs as one transaction can hold, those of them whose definitions go, and the entries that are left. */
  private takeJobs (): { readonly jobs: readonly string[], readonly released: readonly string[], readonly room: number } {
    const jobs: string[] = []
    const released: string[] = []
    let room = MOST_ENTRIES
    for (const id of this.jobs) {
      const releases = !this.options.needsDefinition(id)
      const entries = releases ? ENTRIES_OF_ENDED_JOB : 1
      if (entries > room) break
      room -= entries
      jobs.push(id)
      if (releases) released.push(id)
      this.jobs.delete(id)
    }
    return { jobs, released, room }
  }

  private async commit (batch: Batch): Promise<void> {
    const startedAt = performance.now()
    while (!this.stopped) {
      const version = await this.attempt(batch)
      if (version !== undefined) {
        this.version = version
        this.options.report.observe('commit', performance.now() - startedAt)
        this.options.onStored(batch)
        return
      }
      await delay(RETRY_MS)
    }
  }

  /** Version of the commit key after the transaction, or undefined if it has to be tried again. */
  private async attempt (batch: Batch): Promise<number | undefined> {
    const written = await transact(this.options.store, [unchanged(COMMIT_KEY, this.version)], batch.puts, batch.deletes)
    if (written.isOk() && written.value.committed) return written.value.version
    this.options.report.count('commit-retried', written.isOk() ? 'conflict' : written.error.reason)
    if (written.isErr() && written.error.verdict === 'not-applied') return undefined
    return this.findOutcome(batch)
  }

  /** After a conflict or a lost answer: the record tells whether this transaction, or another leader, was first. */
  private async findOutcome ({ nonce }: Batch): Promise<number | undefined> {
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
