import type { Store, StoreChange, StoreEntry } from '../ports/store.ts'
import { delay } from './delay.ts'
import type { Reporter } from './reporter.ts'
import { callStore, readPages, readPrefix } from './store-calls.ts'

export type PrefixWatcherOptions = {
  readonly store: Store
  readonly prefix: string
  /**
   * How long one watch call waits at the store, in milliseconds. An unresponsive connection is detected within about
   * this time.
   */
  readonly waitMs: number
  /** Pause between two watch calls, in milliseconds; batches changes that are not urgent. */
  readonly getPauseMs?: () => number
  readonly reporter: Reporter
  /** Whether `onEntries` is called for each page of entries, so that they are not in memory all at once; by default it is not. */
  readonly readsByPage?: boolean
  /**
   * Called with all entries below the prefix, initially and whenever changes may have been missed, and with the version of the
   * store that they are at least as recent as.
   */
  readonly onEntries: (entries: readonly StoreEntry[], version: number) => void
  readonly onChanges: (changes: readonly StoreChange[]) => void
  /** Called when the watch starts or stops working; while it is healthy, the entries are up to date. */
  readonly onHealthChange?: (healthy: boolean) => void
}

const RETRY_DELAY_MS = 200
/** Pause after an unexpected error, in milliseconds; the same entry may cause it again. */
const FAILURE_DELAY_MS = 1_000

/**
 * Watches the entries below one prefix of the store until it is stopped. Reads all entries again when the store has
 * compacted the history that the watch needs.
 */
export class PrefixWatcher {
  private readonly stopped = new AbortController()
  private healthy: boolean | undefined

  private constructor (private readonly options: PrefixWatcherOptions) {}

  /**
   * Starts to watch a prefix.
   *
   * @example
   * const watcher = PrefixWatcher.create({ store, prefix: 'servers/', waitMs: 1_500, reporter, onEntries, onChanges })
   */
  static create (options: PrefixWatcherOptions): PrefixWatcher {
    const watcher = new PrefixWatcher(options)
    watcher.followEntries().catch((error: unknown) => watcher.reportFailure(error))
    return watcher
  }

  stop (): void {
    this.stopped.abort()
  }

  private async followEntries (): Promise<void> {
    let version: number | undefined
    while (!this.stopped.signal.aborted) {
      version = await this.continueFrom(version)
      const pauseMs = this.healthy === true ? this.options.getPauseMs?.() ?? 0 : RETRY_DELAY_MS
      if (pauseMs > 0) await delay(pauseMs, this.stopped.signal)
    }
  }

  /** Does the next call. After an unexpected error of a listener all entries are read again, because some may be missing. */
  private async continueFrom (version: number | undefined): Promise<number | undefined> {
    try {
      return version === undefined ? await this.readEntries() : await this.watch(version)
    } catch (error) {
      this.reportFailure(error)
      await delay(FAILURE_DELAY_MS, this.stopped.signal)
      return undefined
    }
  }

  private reportFailure (error: unknown): void {
    this.options.reporter.log('error', 'watch-failed', { prefix: this.options.prefix, detail: String(error) })
  }

  /** Reads all entries. Returns the version to watch from; undefined if the entries could not be read. */
  private async readEntries (): Promise<number | undefined> {
    const { store, prefix, readsByPage = false } = this.options
    if (readsByPage) return await this.readEntriesByPage()
    const snapshot = await readPrefix(store, prefix)
    if (this.stopped.signal.aborted) return undefined
    this.updateHealth(snapshot.isOk())
    if (snapshot.isErr()) return undefined
    this.options.onEntries(snapshot.value.entries, snapshot.value.version)
    return snapshot.value.version
  }

  private async readEntriesByPage (): Promise<number | undefined> {
    const version = await readPages(this.options.store, this.options.prefix, (entries, pageVersion) => {
      if (!this.stopped.signal.aborted) this.options.onEntries(entries, pageVersion)
    })
    if (this.stopped.signal.aborted) return undefined
    this.updateHealth(version.isOk())
    return version.unwrapOr(undefined)
  }

  /**
   * Waits for changes after `version`. Returns the version to watch from next; undefined if the history was compacted.
   */
  private async watch (version: number): Promise<number | undefined> {
    const { store, prefix, waitMs, reporter } = this.options
    const response = await callStore(store, { type: 'watch', prefixes: [prefix], afterVersion: version, waitMs })
    if (this.stopped.signal.aborted) return undefined
    this.updateHealth(response.isOk())
    // Changes that cannot be received at once are read page by page.
    if (response.isErr()) return response.error.reason === 'too-large' ? undefined : version
    if (response.value.compacted) {
      reporter.log('warn', 'watch-history-gone', { prefix, version })
      return undefined
    }
    if (response.value.changes.length > 0) this.options.onChanges(response.value.changes)
    return response.value.version
  }

  private updateHealth (healthy: boolean): void {
    if (this.healthy === healthy) return
    this.healthy = healthy
    this.options.reporter.log(healthy ? 'info' : 'warn', healthy ? 'watch-healthy' : 'watch-interrupted', { prefix: this.options.prefix })
    this.options.onHealthChange?.(healthy)
  }
}
