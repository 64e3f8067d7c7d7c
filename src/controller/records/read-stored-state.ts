import type { Store, StoreEntry } from '../../ports/store.ts'
import type { CellEvent } from '../../workflow/event.ts'
import type { JobMemory } from '../../workflow/held-jobs.ts'
import { readStoredSettings } from './read-stored-settings.ts'
import type { Reporter } from '../reporter.ts'
import { readPages, readPrefix } from '../store-calls.ts'
import { LEARNED_RECORDS } from '../../workflow/learned-records.ts'
import { JOB_PREFIX, PROGRESS_PREFIX, STATE_PREFIX, TARGETS_KEY, learnedKey } from './store-keys.ts'
import type { TargetsRecord } from './store-keys.ts'
import { StoredJobs } from './stored-jobs.ts'
import { parseRecord } from './stored-record.ts'

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

/**
 * Reads the jobs, their progress, and the targets and settings that earlier leaders have stored; undefined if a call to the store fails.
 * `areCommandsBound`: whether all leaders of unsettled terms have bound their commands; if not, the record of targets may be that of
 * a leader before them.
 *
 * @example
 * const state = await readStoredState(store, reporter, areCommandsBound(term.unsettled))
 * for (const event of state?.events ?? []) scheduler.apply(event, performance.now())
 */
export async function readStoredState (store: Store, reporter: Reporter, areCommandsBound: boolean, jobMemory?: JobMemory): Promise<StoredState | undefined> {
  const storedJobs = StoredJobs.create((message, key) => reporter.log('error', message, { key }), jobMemory)
  const [jobs, progress, state] = await Promise.all([
    readPages(store, JOB_PREFIX, (entries) => entries.forEach((entry) => storedJobs.addJob(entry))),
    readPages(store, PROGRESS_PREFIX, (entries) => entries.forEach((entry) => storedJobs.addProgress(entry))),
    readPrefix(store, STATE_PREFIX)
  ])
  if (jobs.isErr() || progress.isErr() || state.isErr()) return undefined
  const record = state.value.entries.filter(({ key }) => key === TARGETS_KEY).map(({ value }) => parseRecord<TargetsRecord>(value)).at(0)
  const targets = record?.ids ?? []
  const events: readonly CellEvent[] = [
    { type: 'closed-targets-restored', closed: record?.closed ?? {} },
    { type: 'incarnations-restored', incarnations: record?.incarnations ?? {}, unbound: areCommandsBound ? findUnbound(record) : undefined },
    { type: 'targets-stored', ids: targets },
    ...readStoredSettings(state.value.entries, (key) => reporter.log('error', 'settings-unreadable', { key })),
    ...readLearnedRecords(state.value.entries),
    ...storedJobs.toEvents()
  ]
  return { events, targets, jobCount: storedJobs.size, version: jobs.value }
}

/** Returns the targets whose commands may have reached later incarnations; undefined if all may have. */
function findUnbound (record: TargetsRecord | undefined): readonly string[] | undefined {
  return record === undefined ? [] : record.unbound
}

function readLearnedRecords (entries: ReadonlyArray<Pick<StoreEntry, 'key' | 'value'>>): readonly CellEvent[] {
  return LEARNED_RECORDS.flatMap((record) => {
    const stored = entries.find(({ key }) => key === learnedKey(record))
    return stored === undefined ? [] : [{ type: 'learned-restored', record, value: stored.value } as const]
  })
}
