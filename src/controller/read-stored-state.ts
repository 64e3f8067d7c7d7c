import type { Store } from '../ports/store.ts'
import type { CellEvent } from '../workflow/event.ts'
import { readStoredJobs } from './read-stored-jobs.ts'
import { readStoredSettings } from './read-stored-settings.ts'
import type { Reporter } from './reporter.ts'
import { readPrefix } from './store-calls.ts'
import { JOB_PREFIX, PROGRESS_PREFIX, STATE_PREFIX, TARGETS_KEY } from './store-keys.ts'
import type { TargetsRecord, UnsettledTerm } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'
import { areCommandsBound } from './unsettled-terms.ts'

/** What earlier leaders have stored. */
export type StoredState = {
  /** Restores it in the scheduler, in this order. */
  readonly events: readonly CellEvent[]
  /** Targets that may hold runs of earlier leaders, without those that are closed. */
  readonly targets: readonly string[]
  readonly jobCount: number
  /** Version of the store as of which the jobs were read. */
  readonly version: number
}

export type StoredStateOptions = {
  readonly store: Store
  readonly reporter: Reporter
  /** Earlier terms whose runs may still be on targets. */
  readonly unsettled: readonly UnsettledTerm[]
}

/**
 * Reads the jobs, their progress, and the targets and settings that earlier leaders have stored; undefined if a call to the store fails.
 *
 * @example
 * const state = await readStoredState({ store, reporter, unsettled: term.unsettled })
 * for (const event of state?.events ?? []) scheduler.apply(event, performance.now())
 */
export async function readStoredState ({ store, reporter, unsettled }: StoredStateOptions): Promise<StoredState | undefined> {
  const [jobs, progress, state] = await Promise.all([readPrefix(store, JOB_PREFIX), readPrefix(store, PROGRESS_PREFIX), readPrefix(store, STATE_PREFIX)])
  if (jobs.isErr() || progress.isErr() || state.isErr()) return undefined
  const record = state.value.entries.filter(({ key }) => key === TARGETS_KEY).map(({ value }) => parseRecord<TargetsRecord>(value)).at(0)
  const targets = record?.ids ?? []
  const events: readonly CellEvent[] = [
    { type: 'closed-targets-restored', closed: record?.closed ?? {} },
    { type: 'incarnations-restored', incarnations: record?.incarnations ?? {}, unbound: readUnbound(record, unsettled) },
    { type: 'targets-stored', ids: targets },
    ...readStoredSettings(state.value.entries, (key) => reporter.log('error', 'settings-unreadable', { key })),
    ...readStoredJobs(jobs.value.entries, progress.value.entries, (message, key) => reporter.log('error', message, { key }))
  ]
  return { events, targets, jobCount: jobs.value.entries.length, version: jobs.value.version }
}

/**
 * Returns the targets whose commands were not bound to incarnations; undefined if those to any target may not have been. A leader of an
 * older release that ended before it stored its targets has left the record of the leader before it.
 */
function readUnbound (record: TargetsRecord | undefined, unsettled: readonly UnsettledTerm[]): readonly string[] | undefined {
  if (record === undefined) return []
  return areCommandsBound(unsettled) ? record.unbound : undefined
}
