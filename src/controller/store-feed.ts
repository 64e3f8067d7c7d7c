import type { Store, StoreChange, StoreEntry } from '../ports/store.ts'
import type { CellEvent } from '../workflow/event.ts'
import type { JobDefinition } from '../workflow/job.ts'
import type { TargetEntry } from '../workflow/target-entry.ts'
import { PollInterval } from './poll-interval.ts'
import { PrefixWatcher } from './prefix-watcher.ts'
import type { Reporter } from './reporter.ts'
import { CANCEL_SUFFIX, JOB_PREFIX, idOfCancelKey } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

const TARGET_WATCH_WAIT_MS = 1_500

export type StoreFeedOptions = {
  readonly store: Store
  readonly report: Reporter
  /** Prefix of the keys under which targets publish themselves, and the reader of their values. */
  readonly targetPrefix: string
  readonly readTarget: (key: string, value: string) => TargetEntry | undefined
  readonly apply: (event: CellEvent) => void
  readonly isKnown: (job: string) => boolean
  /** All published targets have been read; called again whenever they are read anew. */
  readonly onTargetsRead: () => void
}

/** Follows published targets and stored jobs, and turns them into events of the scheduler. */
export class StoreFeed {
  private readonly watchers: PrefixWatcher[] = []
  private readonly publishedTargets = new Set<string>()
  private readonly pollInterval = PollInterval.create()

  private constructor (private readonly options: StoreFeedOptions) {}

  /**
   * @example
   * const feed = StoreFeed.create({ store, report, targetPrefix, readTarget, apply, onTargetsRead })
   * feed.follow()
   */
  static create (options: StoreFeedOptions): StoreFeed {
    return new StoreFeed(options)
  }

  /** Begins to follow targets and jobs. */
  follow (): void {
    this.watchTargets()
    this.watchJobs()
  }

  stop (): void {
    for (const watcher of this.watchers) watcher.stop()
  }

  private watchTargets (): void {
    const { store, report, targetPrefix } = this.options
    this.watchers.push(PrefixWatcher.create({
      store,
      prefix: targetPrefix,
      waitMs: TARGET_WATCH_WAIT_MS,
      report,
      onEntries: (entries) => this.replaceTargets(entries),
      onChanges: (changes) => {
        for (const change of changes) this.takeTargetChange(change)
      }
    }))
  }

  private replaceTargets (entries: readonly StoreEntry[]): void {
    const present = new Set(entries.map(({ key }) => key.slice(this.options.targetPrefix.length)))
    for (const id of [...this.publishedTargets]) {
      if (!present.has(id)) this.withdraw(id)
    }
    for (const entry of entries) this.takeTarget(entry)
    this.options.onTargetsRead()
  }

  private takeTargetChange (change: StoreChange): void {
    if (change.type === 'put') this.takeTarget(change.entry)
    else this.withdraw(change.key.slice(this.options.targetPrefix.length))
  }

  private takeTarget ({ key, value }: StoreEntry): void {
    const entry = this.options.readTarget(key, value)
    if (entry === undefined) return this.withdraw(key.slice(this.options.targetPrefix.length))
    this.publishedTargets.add(entry.id)
    this.options.apply({ type: 'target-published', entry })
  }

  private withdraw (id: string): void {
    this.publishedTargets.delete(id)
    this.options.apply({ type: 'target-withdrawn', id })
  }

  private watchJobs (): void {
    const { store, report } = this.options
    this.watchers.push(PrefixWatcher.create({
      store,
      prefix: JOB_PREFIX,
      waitMs: 0,
      // Members tell of the jobs that they store; the readings are for those that cannot reach the leader.
      pauseMs: () => this.pollInterval.pauseMs(performance.now()),
      report,
      onEntries: (entries) => entries.forEach((entry) => this.takeJob(entry)),
      onChanges: (changes) => {
        for (const change of changes) {
          if (change.type === 'put') this.takeJob(change.entry)
        }
      }
    }))
  }

  private takeJob ({ key, value }: StoreEntry): void {
    if (key.endsWith(CANCEL_SUFFIX)) this.options.apply({ type: 'job-cancelled', id: idOfCancelKey(key) })
    else this.readJob({ key, value }).forEach((definition) => this.accept(definition))
  }

  private accept (definition: JobDefinition): void {
    if (!this.options.isKnown(definition.id)) this.pollInterval.noteUntold(performance.now())
    this.options.apply({ type: 'job-accepted', definition })
  }

  /** The job in an entry; an unreadable one must not keep the others from being restored. */
  readJob ({ key, value }: Pick<StoreEntry, 'key' | 'value'>): readonly JobDefinition[] {
    const definition = parseRecord<JobDefinition>(value)
    if (definition !== undefined) return [definition]
    this.options.report.log('error', 'job-unreadable', { key })
    return []
  }
}
