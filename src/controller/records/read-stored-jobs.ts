import type { StoreEntry } from '../../ports/store.ts'
import type { CellEvent } from '../../workflow/event.ts'
import type { JobDefinition } from '../../workflow/job.ts'
import { parseJobDefinition } from './parse-job-definition.ts'
import { isJobProgress } from './record-guards.ts'
import { CANCEL_SUFFIX, PROGRESS_PREFIX, parseCancelKey } from './store-keys.ts'
import { parseRecord } from './stored-record.ts'

type Entry = Pick<StoreEntry, 'key' | 'value'>

/** Reports an unreadable record by its message id and key. */
export type UnreadableReport = (message: 'job-unreadable' | 'progress-unreadable' | 'settings-unreadable', key: string) => void

/**
 * Converts the jobs and progress that previous leaders have stored into events of the scheduler, in the order of submission.
 * A job whose definition is unreadable is left out. One whose progress is unreadable is shown as running and not started,
 * because its tasks may have run.
 *
 * @example
 * for (const event of readStoredJobs(jobs.entries, progress.entries, report)) scheduler.apply(event, now)
 */
export function readStoredJobs (jobs: readonly Entry[], progress: readonly Entry[], report: UnreadableReport): readonly CellEvent[] {
  const progressById = new Map(progress.map((entry) => [entry.key.slice(PROGRESS_PREFIX.length), entry]))
  const events: CellEvent[] = []
  const definitions = jobs.filter(({ key }) => !key.endsWith(CANCEL_SUFFIX)).flatMap((entry) => parseDefinition(entry, report))
  for (const definition of definitions.sort((left, right) => left.submittedAtMs - right.submittedAtMs)) {
    events.push(restoreJob(definition, progressById.get(definition.id), report))
    progressById.delete(definition.id)
  }
  for (const { key } of jobs) {
    if (key.endsWith(CANCEL_SUFFIX)) events.push({ type: 'job-cancelled', id: parseCancelKey(key) })
  }
  for (const [id, entry] of progressById) {
    const ended = parseRecord(entry.value, isJobProgress)
    if (ended === undefined) report('progress-unreadable', entry.key)
    else events.push({ type: 'ended-job-restored', id, phase: ended.phase })
  }
  return events
}

/** Parses the job in an entry. Returns no job if it is unreadable, so that the others can still be restored. */
export function parseDefinition ({ key, value }: Entry, report: UnreadableReport): readonly JobDefinition[] {
  const definition = parseJobDefinition(value, () => report('settings-unreadable', key))
  if (definition !== undefined) return [definition]
  report('job-unreadable', key)
  return []
}

function restoreJob (definition: JobDefinition, stored: Entry | undefined, report: UnreadableReport): CellEvent {
  if (stored === undefined) return { type: 'job-restored', definition, progress: undefined }
  const progress = parseRecord(stored.value, isJobProgress)
  if (progress !== undefined) return { type: 'job-restored', definition, progress }
  report('progress-unreadable', stored.key)
  return { type: 'ended-job-restored', id: definition.id, phase: 'running' }
}
