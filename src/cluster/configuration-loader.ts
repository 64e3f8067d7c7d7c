import type { StoreResponse, StoreEntry } from '../ports/store.ts'
import { Backoff } from './backoff.ts'
import type { ConfigurationLog } from './configuration-log.ts'
import type { Context } from './context.ts'
import { parseSnapshot } from './snapshot.ts'
import { parseRevision, revisionKey, REVISIONS_PREFIX, SNAPSHOT_PREFIX } from './store-records.ts'

type ReadResponse = Extract<StoreResponse, { readonly type: 'read' }>

/** Called when everything stored before `at` has been delivered. */
export type LoadListener = (at: number) => void

const PAGE_ENTRIES = 200

/** Reads the snapshot and the revisions after it, at the start and whenever the watch has missed revisions. */
export class ConfigurationLoader {
  private reloadRequested = false
  private callPending = false
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

  /** Whether the last load has completed and no further load is requested. */
  get isUpToDate (): boolean {
    return this.isLoaded && !this.reloadRequested
  }

  reload (): void {
    this.reloadRequested = true
    this.tick()
  }

  tick (): void {
    if (!this.reloadRequested || this.callPending || !this.backoff.isDue(this.context.now)) return
    this.snapshotEntries = []
    this.startedAt = this.context.now
    if (this.log.revision === 0 || this.log.hasGap) this.readSnapshot(undefined)
    else this.readRevisions(revisionKey(this.log.revision))
  }

  private readSnapshot (after: string | undefined): void {
    this.readPage(SNAPSHOT_PREFIX, after, (response) => {
      this.snapshotEntries.push(...response.entries)
      const last = response.entries.at(-1)
      if (response.more && last !== undefined) return this.readSnapshot(last.key)
      const snapshot = parseSnapshot(this.snapshotEntries)
      if (snapshot !== undefined) this.log.addSnapshot(snapshot)
      this.readRevisions(this.log.revision === 0 ? undefined : revisionKey(this.log.revision))
    })
  }

  private readRevisions (after: string | undefined): void {
    this.readPage(REVISIONS_PREFIX, after, (response) => {
      for (const entry of response.entries) {
        const revision = parseRevision(entry.value)
        if (revision !== undefined) this.log.add(revision)
      }
      const last = response.entries.at(-1)
      if (response.more && last !== undefined) return this.readRevisions(last.key)
      this.finishLoad()
    })
  }

  /** A gap means that revisions were replaced by a newer snapshot between the two reads; the load is then repeated. */
  private finishLoad (): void {
    if (this.log.hasGap) return this.backoff.recordFailure(this.context.now)
    this.reloadRequested = false
    this.isLoaded = true
    this.listener(this.startedAt)
  }

  private readPage (prefix: string, after: string | undefined, done: (response: ReadResponse) => void): void {
    this.callPending = true
    this.context.storeCalls.call('view', { type: 'read', prefix, after, limit: PAGE_ENTRIES }, this.context.now, (result) => {
      this.callPending = false
      if (result.isErr() || result.value.type !== 'read') return this.backoff.recordFailure(this.context.now)
      this.backoff.reset()
      done(result.value)
    })
  }
}
