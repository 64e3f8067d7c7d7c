import type { StoreResponse, StoreEntry } from '../ports/store.ts'
import { Backoff } from './backoff.ts'
import type { ConfigurationLog } from './configuration-log.ts'
import type { Context } from './context.ts'
import { snapshotFrom } from './snapshot.ts'
import { parseRevision, revisionKey, REVISIONS_PREFIX, SNAPSHOT_PREFIX } from './store-records.ts'

type ReadAnswer = Extract<StoreResponse, { readonly type: 'read' }>

/** Everything stored before `at` has been delivered. */
export type LoadListener = (at: number) => void

const PAGE_ENTRIES = 200

/** Reads the snapshot and the revisions after it, at the start and whenever the watch has missed some. */
export class ConfigurationLoader {
  private wanted = false
  private busy = false
  private isLoaded = false
  private snapshotEntries: StoreEntry[] = []
  private readonly backoff: Backoff

  private startedAt = 0
  private listener: LoadListener = () => {}

  private constructor (private readonly context: Context, private readonly log: ConfigurationLog) {
    this.backoff = Backoff.create(context.random)
  }

  static create (context: Context, log: ConfigurationLog): ConfigurationLoader {
    return new ConfigurationLoader(context, log)
  }

  onLoaded (listener: LoadListener): void {
    this.listener = listener
  }

  /** Whether everything in the store up to the last read has been delivered. */
  get loaded (): boolean {
    return this.isLoaded && !this.wanted
  }

  reload (): void {
    this.wanted = true
    this.tick()
  }

  tick (): void {
    if (!this.wanted || this.busy || !this.backoff.due(this.context.now)) return
    this.snapshotEntries = []
    this.startedAt = this.context.now
    if (this.log.revision === 0 || this.log.incomplete) this.readSnapshot(undefined)
    else this.readRevisions(revisionKey(this.log.revision))
  }

  private readSnapshot (after: string | undefined): void {
    this.read(SNAPSHOT_PREFIX, after, (answer) => {
      this.snapshotEntries.push(...answer.entries)
      const last = answer.entries.at(-1)
      if (answer.more && last !== undefined) return this.readSnapshot(last.key)
      const snapshot = snapshotFrom(this.snapshotEntries)
      if (snapshot !== undefined) this.log.addSnapshot(snapshot)
      this.readRevisions(this.log.revision === 0 ? undefined : revisionKey(this.log.revision))
    })
  }

  private readRevisions (after: string | undefined): void {
    this.read(REVISIONS_PREFIX, after, (answer) => {
      for (const entry of answer.entries) {
        const revision = parseRevision(entry.value)
        if (revision !== undefined) this.log.add(revision)
      }
      const last = answer.entries.at(-1)
      if (answer.more && last !== undefined) return this.readRevisions(last.key)
      this.finish()
    })
  }

  /** A gap means that revisions were folded into a newer snapshot between the two reads. */
  private finish (): void {
    if (this.log.incomplete) return this.backoff.failed(this.context.now)
    this.wanted = false
    this.isLoaded = true
    this.listener(this.startedAt)
  }

  private read (prefix: string, after: string | undefined, done: (answer: ReadAnswer) => void): void {
    this.busy = true
    this.context.calls.call('view', { type: 'read', prefix, after, limit: PAGE_ENTRIES }, this.context.now, (result) => {
      this.busy = false
      if (result.isErr() || result.value.type !== 'read') return this.backoff.failed(this.context.now)
      this.backoff.succeeded()
      done(result.value)
    })
  }
}
