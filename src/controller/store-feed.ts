import type { Store, StoreChange, StoreEntry } from '../ports/store.ts'
import type { CellEvent } from '../workflow/event.ts'
import { toJobOutline } from '../workflow/deferred-jobs.ts'
import { isLargeJob } from '../workflow/held-jobs.ts'
import type { JobMemory } from '../workflow/held-jobs.ts'
import type { JobDefinition } from '../workflow/job.ts'
import type { TargetEntry } from '../workflow/target-entry.ts'
import { PollInterval } from './poll-interval.ts'
import { PrefixWatcher } from './prefix-watcher.ts'
import { parseDefinition } from './records/parse-definition.ts'
import type { Reporter } from './reporter.ts'
import { CANCEL_SUFFIX, JOB_PREFIX, parseCancelKey } from './records/store-keys.ts'

const TARGET_WATCH_WAIT_MS = 1_500

export type StoreFeedOptions = {
  readonly store: Store
  readonly reporter: Reporter
  /** Prefix of the keys under which targets publish themselves. */
  readonly targetPrefix: string
  /** Parses the value that a target has published; undefined if it is not a valid target. */
  readonly parseTarget: (key: string, value: string) => TargetEntry | undefined
  readonly applyEvent: (event: CellEvent) => void
  readonly jobMemory?: JobMemory | undefined
  readonly isKnownJob: (job: string) => boolean
  /** Whether no other member can have accepted a job that is not known here. */
  readonly mayAcceptJobs: () => boolean
  /** Called each time all published targets have been read. */
  readonly onTargetsRead: () => void
}

/** Watches published targets and stored jobs, and converts changes into events of the scheduler. */
export class StoreFeed {
  private readonly watchers: PrefixWatcher[] = []
  private readonly publishedTargets = new Set<string>()
  private readonly pollInterval = PollInterval.create()
  /** By id, what accepts the jobs that were read while another member may have accepted them. */
  private readonly waitingJobs = new Map<string, CellEvent>()

  private constructor (private readonly options: StoreFeedOptions) {}

  /**
   * Creates a feed that has not been started.
   *
   * @example
   * const feed = StoreFeed.create({ store, reporter, targetPrefix, parseTarget, applyEvent, isKnownJob, onTargetsRead })
   * feed.start()
   */
  static create (options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options)
  }

  /** Starts to watch targets and jobs. */
  start (): void {
    this.watchTargets()
    this.watchJobs()
  }

  stop (): void {
    for (const watcher of this.watchers) watcher.stop()
  }

  private watchTargets (): void {
    const { store, reporter, targetPrefix } = this.options
    this.watchers.push(PrefixWatcher.create({
      store,
      prefix: targetPrefix,
      waitMs: TARGET_WATCH_WAIT_MS,
      reporter,
      onEntries: (entries) => this.replaceTargets(entries),
      onChanges: (changes) => {
        for (const change of changes) this.applyTargetChange(change)
      }
    }))
  }

  private replaceTargets (entries: readonly StoreEntry[]): void {
    const present = new Set(entries.map(({ key }) => key.slice(this.options.targetPrefix.length)))
    for (const id of [...this.publishedTargets]) {
      if (!present.has(id)) this.withdrawTarget(id)
    }
    for (const entry of entries) this.applyTargetEntry(entry)
    this.options.onTargetsRead()
  }

  private applyTargetChange (change: StoreChange): void {
    if (change.type === 'put') this.applyTargetEntry(change.entry)
    else this.withdrawTarget(change.key.slice(this.options.targetPrefix.length))
  }

  private applyTargetEntry ({ key, value }: StoreEntry): void {
    const entry = this.options.parseTarget(key, value)
    if (entry === undefined) return this.withdrawTarget(key.slice(this.options.targetPrefix.length))
    this.publishedTargets.add(entry.id)
    this.options.applyEvent({ type: 'target-published', entry })
  }

  private withdrawTarget (id: string): void {
    this.publishedTargets.delete(id)
    this.options.applyEvent({ type: 'target-withdrawn', id })
  }

  private watchJobs (): void {
    const { store, reporter } = this.options
    this.watchers.push(PrefixWatcher.create({
      store,
      prefix: JOB_PREFIX,
      waitMs: 0,
      // Members announce the jobs that they store; this watch finds the jobs of members that cannot reach the leader.
      getPauseMs: () => this.pollInterval.getIntervalMs(performance.now()),
      reporter,
      // Large jobs must not be in memory all at once.
      readsByPage: true,
      onEntries: (entries) => entries.forEach((entry) => this.applyJobEntry(entry)),
      onChanges: (changes) => {
        for (const change of changes) {
          if (change.type === 'put') this.applyJobEntry(change.entry)
        }
      }
    }))
  }

  private applyJobEntry ({ key, value }: StoreEntry): void {
    if (key.endsWith(CANCEL_SUFFIX)) this.cancelJob(parseCancelKey(key))
    else if (!this.options.isKnownJob(key.slice(JOB_PREFIX.length))) parseDefinition({ key, value }, (message) => this.options.reporter.log('error', message, { key })).forEach((definition) => this.acceptJob(definition))
  }

  private cancelJob (id: string): void {
    // A cancellation applies to known jobs only.
    const waiting = this.waitingJobs.get(id)
    this.waitingJobs.delete(id)
    if (waiting !== undefined) this.options.applyEvent(waiting)
    this.options.applyEvent({ type: 'job-cancelled', id })
  }

  private acceptJob (definition: JobDefinition): void {
    const mayAccept = this.options.mayAcceptJobs()
    this.pollInterval.recordUnannouncedJob(performance.now())
    this.options.reporter.log('info', 'job-found', { job: definition.id, mayAccept })
    // Another member that leads, or has led until now, may start the job as a new one.
    if (mayAccept) this.options.applyEvent({ type: 'job-accepted', definition })
    else this.waitingJobs.set(definition.id, toAcceptance(definition, this.options.jobMemory))
  }

  /** Accepts the jobs that were read while another member may have accepted them, once none can. */
  acceptWaitingJobs (): void {
    if (this.waitingJobs.size === 0 || !this.options.mayAcceptJobs()) return
    for (const acceptance of this.waitingJobs.values()) this.options.applyEvent(acceptance)
    this.waitingJobs.clear()
  }
}

/** A large job is read again when it can be accepted, so that those that wait take little memory. */
function toAcceptance (definition: JobDefinition, memory: JobMemory | undefined): CellEvent {
  const outline = toJobOutline(definition)
  return isLargeJob(outline.bytes, memory) ? { type: 'job-deferred', outline, phase: 'queued', restored: false } : { type: 'job-accepted', definition }
}
