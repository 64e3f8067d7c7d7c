import type { StoreEntry } from '../../ports/store.ts'
import { toJobOutline } from '../../workflow/deferred-jobs.ts'
import type { JobOutline } from '../../workflow/deferred-jobs.ts'
import type { CellEvent } from '../../workflow/event.ts'
import { HeldJobs } from '../../workflow/held-jobs.ts'
import type { JobMemory } from '../../workflow/held-jobs.ts'
import type { JobDefinition, JobPhase } from '../../workflow/job.ts'
import { parseDefinition } from './parse-definition.ts'
import type { UnreadableReport } from './parse-definition.ts'
import { isJobProgress } from './record-guards.ts'
import { CANCEL_SUFFIX, PROGRESS_PREFIX, parseCancelKey } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

type Entry = Pick<StoreEntry, 'key' | 'value'>

/** Longest record of progress that is kept while the jobs are read, in characters. */
const MAX_KEPT_RECORD = 50_000
/** Memory for the records that are kept, in characters. */
const MAX_KEPT_RECORDS = 16_000_000

/** What is kept of a job: its definition, or an outline if it is large or there is no room for more. */
type StoredJob =
  | { readonly type: 'definition', readonly definition: JobDefinition }
  | { readonly type: 'outline', readonly outline: JobOutline }

/** What is kept of a record of progress; without the record only the phase. */
type StoredProgress =
  | { readonly type: 'record', readonly value: string }
  | { readonly type: 'phase', readonly phase: JobPhase | undefined }

/**
 * Collects the jobs that previous leaders have stored, entry by entry in any order, in a bounded part of the memory whatever the
 * store holds.
 */
export class StoredJobs {
  private readonly jobs = new Map<string, StoredJob>()
  private readonly cancelled: string[] = []
  private readonly progress = new Map<string, StoredProgress>()
  private readonly heldJobs: HeldJobs
  private keptRecords = 0

  private constructor (private readonly report: UnreadableReport, memory: JobMemory | undefined) {
    this.heldJobs = HeldJobs.create(memory)
  }

  /**
   * Creates a collection of no jobs.
   *
   * @example
   * const storedJobs = StoredJobs.create(report)
   * await readPages(store, JOB_PREFIX, (entries) => entries.forEach((entry) => storedJobs.addJob(entry)))
   * for (const event of storedJobs.toEvents()) scheduler.apply(event, now)
   */
  static create (report: UnreadableReport, memory?: JobMemory): StoredJobs {
    return new StoredJobs(report, memory)
  }

  /** Number of jobs whose definitions are stored and readable. */
  get size (): number {
    return this.jobs.size
  }

  /** Adds the definition of a job or its cancellation. */
  addJob (entry: Entry): void {
    if (entry.key.endsWith(CANCEL_SUFFIX)) {
      this.cancelled.push(parseCancelKey(entry.key))
      return
    }
    for (const definition of parseDefinition(entry, this.report)) this.addDefinition(definition)
  }

  addProgress ({ key, value }: Entry): void {
    const id = key.slice(PROGRESS_PREFIX.length)
    if (value.length <= MAX_KEPT_RECORD && this.keptRecords + value.length <= MAX_KEPT_RECORDS) {
      this.keptRecords += value.length
      this.progress.set(id, { type: 'record', value })
    } else {
      this.progress.set(id, { type: 'phase', phase: parseRecord(value, isJobProgress)?.phase })
    }
  }

  /** Converts the jobs into events of the scheduler, in the order of submission. */
  toEvents (): readonly CellEvent[] {
    const events: CellEvent[] = []
    const jobs = [...this.jobs.values()].sort((left, right) => getOutline(left).submittedAtMs - getOutline(right).submittedAtMs)
    for (const job of jobs) events.push(this.restore(job))
    for (const id of this.cancelled) events.push({ type: 'job-cancelled', id })
    for (const id of this.progress.keys()) events.push(...this.restoreEnded(id))
    return events
  }

  private addDefinition (definition: JobDefinition): void {
    const outline = toJobOutline(definition)
    const isKept = !this.heldJobs.isLarge(outline.bytes) && this.heldJobs.fits(outline.bytes)
    if (isKept) this.heldJobs.add(outline)
    this.jobs.set(definition.id, isKept ? { type: 'definition', definition } : { type: 'outline', outline })
  }

  /** A job whose progress is unreadable is shown as running and not started, because its tasks may have run. */
  private restore (job: StoredJob): CellEvent {
    const { id } = getOutline(job)
    const stored = this.progress.get(id)
    const progress = stored?.type === 'record' ? parseRecord(stored.value, isJobProgress) : undefined
    const phase = stored === undefined ? 'queued' : stored.type === 'phase' ? stored.phase : progress?.phase
    if (phase === undefined) {
      this.report('progress-unreadable', `${PROGRESS_PREFIX}${id}`)
      return { type: 'ended-job-restored', id, phase: 'running' }
    }
    if (job.type === 'definition' && stored?.type !== 'phase') return { type: 'job-restored', definition: job.definition, progress }
    return { type: 'job-deferred', outline: job.type === 'outline' ? job.outline : toJobOutline(job.definition), phase, restored: true }
  }

  /** Restores the outcome of a job without a definition. */
  private restoreEnded (id: string): readonly CellEvent[] {
    const stored = this.progress.get(id)
    if (stored === undefined || this.jobs.has(id)) return []
    const phase = stored.type === 'record' ? parseRecord(stored.value, isJobProgress)?.phase : stored.phase
    if (phase !== undefined) return [{ type: 'ended-job-restored', id, phase }]
    this.report('progress-unreadable', `${PROGRESS_PREFIX}${id}`)
    return []
  }
}

function getOutline (job: StoredJob): Pick<JobDefinition, 'id' | 'submittedAtMs'> {
  return job.type === 'outline' ? job.outline : job.definition
}
