import type { Store, StoreChange, StoreEntry } from '../ports/store.ts'
import { delay } from './delay.ts'
import type { Reporter } from './reporter.ts'
import { callStore, readAll } from './store-calls.ts'

export type PrefixWatcherOptions = {
  readonly store: Store
  readonly prefix: string
  /** How long one watch waits at the store, in milliseconds. A silent connection is noticed within about this time. */
  readonly waitMs: number
  /** Pause between two watches, in milliseconds; gathers changes where promptness does not matter. */
  readonly pauseMs?: () => number
  readonly report: Reporter
  /** All entries below the prefix; called at first and whenever changes may have been missed. */
  readonly onEntries: (entries: readonly StoreEntry[]) => void
  readonly onChanges: (changes: readonly StoreChange[]) => void
  /** Whether the prefix is known to be up to date. */
  readonly onHealth?: (healthy: boolean) => void
}

const RETRY_MS = 200

/**
 * Follows the entries below one prefix of the store until it is stopped. Reads them again when the store has dropped
 * the history.
 */
export class PrefixWatcher {
  private readonly stopped = new AbortController()
  private healthy: boolean | undefined

  private constructor (private readonly options: PrefixWatcherOptions) {}

  /**
   * Begins to follow a prefix.
   *
   * @example
   * const watcher = PrefixWatcher.create({ store, prefix: 'servers/', waitMs: 1_500, report, onEntries, onChanges })
   */
  static create (options: PrefixWatcherOptions): PrefixWatcher {
    const watcher = new PrefixWatcher(options)
    watcher.run().catch((error: unknown) => options.report.log('error', 'watch-failed', { prefix: options.prefix, detail: String(error) }))
    return watcher
  }

  stop (): void {
    this.stopped.abort()
  }

  private async run (): Promise<void> {
    let version: number | undefined
    while (!this.stopped.signal.aborted) {
      version = version === undefined ? await this.readEntries() : await this.watch(version)
      const pauseMs = this.healthy === true ? this.options.pauseMs?.() ?? 0 : RETRY_MS
      if (pauseMs > 0) await delay(pauseMs, this.stopped.signal)
    }
  }

  /** Version to watch from; undefined if the entries could not be read. */
  private async readEntries (): Promise<number | undefined> {
    const snapshot = await readAll(this.options.store, this.options.prefix)
    if (this.stopped.signal.aborted) return undefined
    this.noteHealth(snapshot.isOk())
    if (snapshot.isErr()) return undefined
    this.options.onEntries(snapshot.value.entries)
    return snapshot.value.version
  }

  /** Version to watch from next; undefined if the history is gone. */
  private async watch (version: number): Promise<number | undefined> {
    const { store, prefix, waitMs, report } = this.options
    const answer = await callStore(store, { type: 'watch', prefixes: [prefix], afterVersion: version, waitMs })
    if (this.stopped.signal.aborted) return undefined
    this.noteHealth(answer.isOk())
    if (answer.isErr()) return version
    if (answer.value.compacted) {
      report.log('warn', 'watch-history-gone', { prefix, version })
      return undefined
    }
    if (answer.value.changes.length > 0) this.options.onChanges(answer.value.changes)
    return answer.value.version
  }

  private noteHealth (healthy: boolean): void {
    if (this.healthy === healthy) return
    this.healthy = healthy
    this.options.report.log(healthy ? 'info' : 'warn', healthy ? 'watch-healthy' : 'watch-interrupted', { prefix: this.options.prefix })
    this.options.onHealth?.(healthy)
  }
}
