import type { StoreEntry } from '../../ports/store.ts'
import type { JobDefinition } from '../../workflow/job.ts'
import { parseJobDefinition } from './parse-job-definition.ts'

type Entry = Pick<StoreEntry, 'key' | 'value'>

/** Reports an unreadable record by its message id and key. */
export type UnreadableReport = (message: 'job-unreadable' | 'progress-unreadable' | 'settings-unreadable', key: string) => void

/** Parses the job in an entry. Returns no job if it is unreadable, so that the others can still be restored. */
export function parseDefinition ({ key, value }: Entry, report: UnreadableReport): readonly JobDefinition[] {
  const definition = parseJobDefinition(value, () => report('settings-unreadable', key))
  if (definition !== undefined) return [definition]
  report('job-unreadable', key)
  return []
}
